package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/policy"
)

const (
	// capacityWaitFraction is the part of the route's aim (one in capacityWaitFraction) for which a request waits for a place: a
	// refusal within a quarter of the aim costs least.
	capacityWaitFraction = 5
	// defaultCapacityWait is how long a request waits for a place when the route has no aim.
	defaultCapacityWait = 100 * time.Millisecond
	// retriedWaitFraction is the part of the time left (one in retriedWaitFraction) for which a request waits that was refused
	// or failed before: its client seldom has another try left. maxRetriedWait bounds that time.
	retriedWaitFraction = 2
	maxRetriedWait      = 2500 * time.Millisecond
	// resumptionWait is how long a stream that was cut waits for a server that takes it up.
	resumptionWait = time.Second
	// minPickInterval and maxPickInterval bound the time between two looks for a place.
	minPickInterval = 5 * time.Millisecond
	maxPickInterval = 50 * time.Millisecond
)

var errClientCanceled = errors.New("the client is gone")

// pick opens an attempt at a server. While none has room, it waits for a short time.
func (x *exchange) pickServer() (placement.Decision, error) {
	waitEnd := x.capacityWaitEnd()
	if x.handler.disabled.Off(policy.CapacityWait) {
		waitEnd = x.arrived
	}
	for {
		decision, err := x.handler.dispatcher.pick(&x.placement, x.deadline)
		if err == nil {
			return decision, nil
		}
		delay, worthwhile := pickRetryDelay(err)
		if !worthwhile || time.Now().Add(delay).After(waitEnd) {
			return placement.Decision{}, err
		}
		if !x.sleep(delay) {
			return placement.Decision{}, errClientCanceled
		}
	}
}

// patience is the moment until which the request waits for a place.
func (x *exchange) capacityWaitEnd() time.Time {
	if x.stream != nil {
		return earlier(time.Now().Add(resumptionWait), x.deadline)
	}
	if x.placement.Returned {
		return x.arrived.Add(min(x.deadline.Sub(x.arrived)/retriedWaitFraction, maxRetriedWait))
	}
	wait := x.route.Target / capacityWaitFraction
	if wait <= 0 {
		wait = defaultCapacityWait
	}
	return earlier(x.arrived.Add(wait), x.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pickRetryDelay tells after which time it is worth looking for a place again, and whether it is at all.
func pickRetryDelay(err error) (time.Duration, bool) {
	var none *placement.NoServerError
	if !errors.As(err, &none) {
		return 0, false
	}
	switch none.Reason {
	case placement.ReasonFull, placement.ReasonWarmingUp, placement.ReasonNone:
		return min(max(none.RetryAfter, minPickInterval), maxPickInterval), true
	default:
		return 0, false
	}
}

// sleep waits; it returns false when the client left in the meantime.
func (x *exchange) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.request.Context().Done():
		return false
	}
}

// unplaced takes in that there is no server for the request.
func (x *exchange) noServer(err error) attemptOutcome {
	if x.isCanceled() {
		return outcomeCanceled
	}
	var none *placement.NoServerError
	if errors.As(err, &none) {
		x.retryAfter = none.RetryAfter
	}
	return outcomeNoServer
}
