package placement

import (
	"fmt"
	"time"
)

// Reason is why no server can get a request.
type Reason uint8

// The reasons, in the order in which the rules narrow the candidates: the last rule that left none is the reason.
const (
	ReasonNoServer    Reason = iota // no server of the service is known, or all are draining or gone
	ReasonEvacuated                 // those left are in evacuated zones
	ReasonHomeRegions               // those left are outside the route's home regions
	ReasonExcluded                  // those left already had the request
	ReasonWarmingUp                 // those left are warming up, and this proxy's quota share of them is used up
	ReasonFull                      // those left have all connections in use that this proxy may open
)

// String describes the reason.
func (r Reason) String() string {
	return [...]string{"no ready server", "zone evacuated", "outside home regions", "all were tried", "all cold", "all full"}[r]
}

// NoServerError reports that no server can get a request now.
type NoServerError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration // after which a retry is worthwhile
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("placement: no server of %s: %v", e.Service, e.Reason)
}

// noServerReasons gives the reason why a request gets no server, by the server that passed the most rules.
var noServerReasons = [...]Reason{
	eligibilityGone:        ReasonNoServer,
	eligibilityEvacuated:   ReasonEvacuated,
	eligibilityOutsideHome: ReasonHomeRegions,
	eligibilityExcluded:    ReasonExcluded,
	eligibilityWarmingUp:   ReasonWarmingUp,
	eligibilityFull:        ReasonFull,
	eligibilityCoolingDown: ReasonNoServer,
	eligible:               ReasonNoServer,
}

// How long a client is requested to wait before a retry when there is no server for its request.
const (
	minSlowStartRetry = 100 * time.Millisecond
	retryFull         = 250 * time.Millisecond
	retryExcluded     = 500 * time.Millisecond
	retryNoServer     = time.Second
)

// noServer counts a pick without a server and makes its error.
func (p *Placer) noServer(now time.Duration, request *Request, reason Reason) error {
	p.stats.NoServer[reason]++
	return &NoServerError{Service: request.Service, Reason: reason, RetryAfter: p.retryAfter(now, reason)}
}

// retryAfter is the time after which a retry is worthwhile.
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

// slowStartWait is the time until the slow start limiter allows a request to one of the servers that are warming up.
func (p *Placer) slowStartWait(now time.Duration) time.Duration {
	least := retryNoServer
	for _, s := range p.buffers.warmingUp {
		if wait, ok := p.slowStart.Wait(now, s.warmingServer()); ok {
			least = min(least, max(wait, minSlowStartRetry))
		}
	}
	return least
}
