package placement

import (
	"fmt"
	"time"
)

// Reason tells why no server can get a request.
type Reason uint8

// The reasons, from the first to the last rule that narrows the candidates: the last rule that left none is told.
const (
	ReasonNone      Reason = iota // no server of the service is known, or all are draining or gone
	ReasonEvacuated               // those left are in evacuated zones
	ReasonHome                    // those left are outside the route's home regions
	ReasonExcluded                // those left had the request already
	ReasonWarmingUp               // those left are cold and this proxy's share of them is used up
	ReasonFull                    // those left have all connections or places in use that this proxy may take
)

// String gives the reason in words.
func (r Reason) String() string {
	return [...]string{"no ready server", "zone evacuated", "outside home regions", "all were tried", "all cold", "all full"}[r]
}

// NoServerError tells that no server can get a request now.
type NoServerError struct {
	Service    string
	Reason     Reason
	RetryAfter time.Duration // when it is worth asking again
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("placement: no server of %s: %v", e.Service, e.Reason)
}

// OverloadError tells that a request should be refused at once because it would not be answered in time.
type OverloadError struct {
	Service    string
	Expected   time.Duration // predicted time to the first event at the best server
	RetryAfter time.Duration // when there is likely to be room
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("placement: %s is overloaded: first event expected after %v", e.Service, e.Expected)
}
