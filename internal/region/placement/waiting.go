package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/policy"
)

// minCheckInterval and maxCheckInterval bound the interval at which waiting requests are placed again without a report
// to the Placer: servers become available also as time passes, such as the next request to a server that is warming up.
const (
	minCheckInterval = 5 * time.Millisecond
	maxCheckInterval = 50 * time.Millisecond
)

// Placement is the answer to a request for a server: a decision, or the ticket of a request that waits for one.
type Placement struct {
	Decision Decision
	Wait     WaitID // 0: Decision is valid
	// LatestStart is the last instant at which a start of the waiting request is in time. The caller withdraws the
	// request then.
	LatestStart time.Duration
}

// Assignment is the end of a wait: a decision, or an error if the request gave way to others in a full queue.
type Assignment struct {
	Wait     WaitID
	Decision Decision
	Err      error
}

// Place picks a server for a request, as Pick does. If no server can take the request now, or it would queue at each of
// them for longer than its own work takes, but one may come free while a start is still in time, the request waits: it gets
// a ticket, and a later call of Advance assigns a server. A request that can't be answered in the time that its client has
// left gets a *TooLateError, and one that waiting can't help a *NoServerError. The request must stay unchanged while it
// waits. displaced ends the wait of another request that gave way.
//
// First attempts, clients' retries and further attempts of one request are treated alike. A caller that reports every
// change and calls Advance before Place never lets a request overtake one that waits.
func (p *Placer) Place(now time.Duration, request *Request) (placed Placement, displaced *Assignment, err error) {
	latest, err := p.checkTimeLeft(now, request)
	if err != nil {
		return Placement{}, nil, err
	}
	if joined := p.waiting.laneOf(request); joined != nil && joined.isServedBefore(request, latest) {
		// The first request of the lane found no server when Advance was last called.
		return p.wait(now, request, latest, joined.reason)
	}
	decision, err := p.pick(now, request, !p.off(policy.CapacityWait))
	if err == nil {
		return Placement{Decision: decision}, nil, nil
	}
	var none *NoServerError
	if !errors.As(err, &none) || !none.mayComeFree() || p.off(policy.CapacityWait) {
		return Placement{}, nil, err
	}
	return p.wait(now, request, latest, none.Reason)
}

// checkTimeLeft returns the latest start of a request, or a *TooLateError if that has passed.
func (p *Placer) checkTimeLeft(now time.Duration, request *Request) (latest time.Duration, err error) {
	latest = p.latestStart(request)
	if now <= latest || p.off(policy.Admission) {
		return latest, nil
	}
	p.stats.TooLate++
	left := request.timeLeft(now)
	return latest, &TooLateError{Service: request.Service, TimeLeft: left, WorkLeft: now + left - latest}
}

// wait adds a request to the queue.
func (p *Placer) wait(now time.Duration, request *Request, latest time.Duration, reason Reason) (Placement, *Assignment, error) {
	added, gaveWay := p.waiting.add(request, latest)
	if gaveWay == added {
		return Placement{}, nil, p.waitEnded(request, reason, p.placeWait(now, request))
	}
	if added.lane.checkAt == 0 {
		added.lane.reason, added.lane.checkAt = reason, now+p.checkInterval(now, request, reason)
	}
	p.stats.Waited++
	placed := Placement{Wait: added.id, LatestStart: latest}
	if gaveWay == nil {
		return placed, nil, nil
	}
	return placed, &Assignment{Wait: gaveWay.id, Err: p.waitEnded(gaveWay.request, gaveWay.lane.reason, p.placeWait(now, gaveWay.request))}, nil
}

// Advance assigns servers to waiting requests, in their order: by rank, then by least slack. It returns the requests
// whose wait has ended, also those whose latest start has passed. The caller calls it after each report that may free a
// place, and when the time that NextCheck returns has come.
func (p *Placer) Advance(now time.Duration) []Assignment {
	var assigned []Assignment
	blocked := p.buffers.blocked[:0]
	for {
		next := p.waiting.first(blocked)
		if next == nil {
			break
		}
		first := next.waiters[0]
		if now > first.latestStart {
			p.waiting.remove(first)
			assigned = append(assigned, Assignment{Wait: first.id, Err: p.waitEnded(first.request, next.reason, 0)})
			continue
		}
		decision, err := p.pick(now, first.request, true)
		var none *NoServerError
		if errors.As(err, &none) && none.mayComeFree() {
			next.reason = none.Reason
			next.checkAt = now + p.checkInterval(now, first.request, none.Reason)
			blocked = append(blocked, next)
			continue
		}
		p.waiting.remove(first)
		assigned = append(assigned, Assignment{Wait: first.id, Decision: decision, Err: err})
	}
	clear(blocked)
	p.buffers.blocked = blocked[:0]
	return assigned
}

// Withdraw ends the wait of a request whose client left or whose latest start has come. reason says why the request got
// no server. withdrawn is false if the wait had ended before: then Advance or Place has returned its Assignment.
func (p *Placer) Withdraw(id WaitID) (withdrawn bool, reason error) {
	w := p.waiting.byID[id]
	if w == nil {
		return false, nil
	}
	p.waiting.remove(w)
	return true, p.waitEnded(w.request, w.lane.reason, 0)
}

// waitEnded counts a wait that ended without a server, and returns its error.
func (p *Placer) waitEnded(request *Request, reason Reason, retryAfter time.Duration) error {
	p.stats.NoServer[reason]++
	return &NoServerError{Service: request.Service, Reason: reason, RetryAfter: retryAfter}
}

// Waiting returns the number of requests that wait for a server.
func (p *Placer) Waiting() int { return len(p.waiting.byID) }

// NextCheck returns the time at which Advance is to be called even if nothing is reported until then. ok is false if no
// request waits.
func (p *Placer) NextCheck() (at time.Duration, ok bool) {
	for _, each := range p.waiting.lanes {
		if !ok || each.checkAt < at {
			at, ok = each.checkAt, true
		}
	}
	return at, ok
}

// checkInterval returns the time after which a server may be able to take a request that found none for a reason.
func (p *Placer) checkInterval(now time.Duration, request *Request, reason Reason) time.Duration {
	return min(max(p.retryAfter(now, request, reason), minCheckInterval), maxCheckInterval)
}

// mayComeFree reports whether a server may be able to take the request later.
func (e *NoServerError) mayComeFree() bool {
	switch e.Reason {
	case ReasonFull, ReasonWarmingUp, ReasonNoServer:
		return true
	default:
		return false
	}
}
