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
	Service    string
	Reason     Reason
	RetryAfter time.Duration // time after which a retry may succeed
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

// Times after which a client should retry a request that no server can take.
const (
	minSlowStartRetry = 100 * time.Millisecond
	retryFull         = 250 * time.Millisecond
	retryExcluded     = 500 * time.Millisecond
	retryNoServer     = time.Second
)

// noServer counts a pick that found no server, and returns its error.
func (p *Placer) noServer(now time.Duration, request *Request, reason Reason) error {
	p.stats.NoServer[reason]++
	return &NoServerError{Service: request.Service, Reason: reason, RetryAfter: p.retryAfter(now, reason)}
}

// retryAfter returns the time after which a retry may succeed.
func (p *Placer) retryAfter(now time.Duration, reason Reason) time.Duration {
	switch reason {
	case ReasonWarmingUp:
		return p.slowStartWait(now)
	case ReasonFull:
		return retryFull
	case ReasonExcluded:
		return retryExcluded
	}
	return retryNoServer
}

// slowStartWait returns the time until the slow start limiter allows a request to one of the servers that are warming
// up, between minSlowStartRetry and retryNoServer.
func (p *Placer) slowStartWait(now time.Duration) time.Duration {
	least := retryNoServer
	for _, s := range p.buffers.warmingUp {
		if wait, ok := p.slowStart.Wait(now, s.warmingServer()); ok {
			least = min(least, max(wait, minSlowStartRetry))
		}
	}
	return least
}
