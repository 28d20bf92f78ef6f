package placement

import (
	"fmt"
	"time"
)

// Reason says why a request cannot be sent to any server.
type Reason uint8

// The reasons, in the order in which the rules are applied. The reason is the rule that excluded the last servers.
const (
	ReasonNoServer    Reason = iota // no server of the service is known, or all are draining, expired or retired
	ReasonEvacuated                 // the remaining servers are in evacuated zones
	ReasonHomeRegions               // the remaining servers are outside the route's home regions
	ReasonExcluded                  // the request was already sent to each of the remaining servers
	ReasonWarmingUp                 // the remaining servers are warming up, and this proxy's slow start share is used up
	ReasonFull                      // all connections that this proxy may open to the remaining servers are in use
)

// String describes the reason.
func (r Reason) String() string {
	return [...]string{"no ready server", "zone evacuated", "outside home regions", "all tried", "all warming up", "all full"}[r]
}

// NoServerError reports that a request currently cannot be sent to any server.
type NoServerError struct {
	Service string
	Reason  Reason
	// RetryAfter is the time after which a retry may succeed. It is 0 if the client has no time left to come back then.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("placement: no server of service %s can take the request: %v", e.Service, e.Reason)
}

// noServerReasons maps the best eligibility among the servers to the reason why none of them can take the request.
var noServerReasons = [...]Reason{
	eligibilityUnavailable: ReasonNoServer,
	eligibilityEvacuated:   ReasonEvacuated,
	eligibilityOutsideHome: ReasonHomeRegions,
	eligibilityExcluded:    ReasonExcluded,
	eligibilityWarmingUp:   ReasonWarmingUp,
	eligibilityFull:        ReasonFull,
	eligibilityCoolingDown: ReasonNoServer,
	eligible:               ReasonNoServer,
}

const (
	// minRetryAfter is the shortest time after which a client is asked to come back.
	minRetryAfter = time.Millisecond
	// listInterval is the interval at which the server list is read, and so the time after which a change of the servers
	// may show.
	listInterval = time.Second
)

// noServer counts a pick that found no server, and returns its error. The servers in the buffers must be those of the pick.
func (p *Placer) noServer(now time.Duration, request *Request, reason Reason) error {
	p.stats.NoServer[reason]++
	retryAfter := p.retryAfter(now, request, reason)
	if now+retryAfter > p.latestStart(request) {
		retryAfter = 0
	}
	return &NoServerError{Service: request.Service, Reason: reason, RetryAfter: retryAfter}
}

// retryAfter returns the time after which a retry may succeed.
func (p *Placer) retryAfter(now time.Duration, request *Request, reason Reason) time.Duration {
	switch reason {
	case ReasonWarmingUp:
		return p.slowStartWait(now)
	case ReasonFull:
		return p.placeWait(now, request)
	case ReasonExcluded:
		return p.excludedWait(now, request)
	}
	return listInterval
}

// slowStartWait returns the time until the slow start limiter allows a request to one of the servers that are warming
// up, at most listInterval.
func (p *Placer) slowStartWait(now time.Duration) time.Duration {
	least := listInterval
	for _, s := range p.buffers.warmingUp {
		if wait, ok := p.slowStart.Wait(now, s.warmingServer()); ok {
			least = min(least, max(wait, minRetryAfter))
		}
	}
	return least
}

// placeWait returns the time until a place for a request is likely to come free at one of the service's servers: when the
// first of the open attempts ends or the shortest queue has drained, whichever is later, at most listInterval.
func (p *Placer) placeWait(now time.Duration, request *Request) time.Duration {
	owner := p.services[request.Service]
	if owner == nil {
		return listInterval
	}
	shortest, open := listInterval, 0
	for _, s := range owner.servers {
		if p.mandatoryEligibility(now, s, request) != eligible {
			continue
		}
		open += s.openAttempts
		shortest = min(shortest, p.queueDelay(now, s, request))
	}
	firstEnd := owner.leastLatency.estimate / time.Duration(max(open, 1))
	return min(max(shortest, firstEnd, minRetryAfter), listInterval)
}

// excludedWait returns the time until one of the servers that have failed a request takes requests again. A client that
// comes back is a new request, which may go to each of them.
func (p *Placer) excludedWait(now time.Duration, request *Request) time.Duration {
	least := listInterval
	for _, id := range request.Excluded {
		s := p.servers[id]
		if s == nil || p.mandatoryEligibility(now, s, request) != eligible {
			continue
		}
		least = min(least, max(s.cooldownUntil-now, s.ejectedUntil-now, minRetryAfter))
	}
	return least
}
