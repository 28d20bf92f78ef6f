package logic

import (
	"slices"
	"time"
)

// request is the state of a client's request from its arrival until it has a final answer and no attempt in
// flight. All times are on the caller's clock.
type request struct {
	id               uint64
	class            *class
	key              uint64
	hasKey           bool
	work             float64       // expected work in seconds; 1 if not known
	target           time.Duration // when an answer loses its full value, at most expires
	fullTarget       time.Duration // target not bounded by expires, by which servers are measured
	arrived          time.Duration
	expires          time.Duration // when the client stops waiting
	tenantFaultRates *faultRates
	attempts         []*attempt
	closed           bool // the request has its final answer, or its client no longer waits
	started          bool // the streamed answer has begun
	queued           bool
	lastBusy         bool    // the outcome of the last attempt was Busy
	fault            suspect // likeliest cause of the last bad outcome
}

// attempt is one send of a request to a server.
type attempt struct {
	request      *request
	number       int
	server       *server
	sentAt       time.Duration
	inFlight     bool // the attempt has no outcome yet
	mayHaveRun   bool // the outcome does not prove that the attempt never ran
	limitUsed    bool // at least limitUsedFraction of the server's limit was in use at sentAt
	canceledLate bool // the attempt was canceled because no answer came in time
}

func (a *attempt) isInFlight() bool { return a.inFlight }

// possiblyExecuted reports whether the attempt may have run or may still run.
func (a *attempt) possiblyExecuted() bool { return a.inFlight || a.mayHaveRun }

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).isInFlight)
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).possiblyExecuted)
}

// mayReject reports whether r may be rejected, which tells the client that a retry is safe.
func (r *request) mayReject() bool {
	repeatsDropped := r.class.Effect == Keyed && r.class.Group == GroupAll
	return r.class.Effect == Safe || repeatsDropped || !r.mayHaveRun()
}

// usefulUntil is the time after which an answer to r has no value.
func (r *request) usefulUntil() time.Duration {
	if r.class.LateValue > 0 {
		return r.expires
	}
	return r.target
}

// wouldBeLate reports whether an attempt of r sent now is expected to be answered too late.
func (b *Balancer) wouldBeLate(r *request) bool {
	return b.now+seconds(r.class.meanLatency) >= r.usefulUntil()
}

// enqueue queues r until a server can take it, or until its answer would most likely be too late.
func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
	needed := r.class.meanLatency + queueDeviations*r.class.latencyDeviation
	b.wakeAt(r.usefulUntil()-seconds(needed), TimerQueued, r.id)
}

// dispatchQueue sends queued requests, newest first, since these have the most time left. The timer of a
// request ends it if it is not sent in time.
func (b *Balancer) dispatchQueue() {
	for i := len(b.queue) - 1; i >= 0 && b.send(b.queue[i]); i-- {
		b.queue[i].queued = false
		b.queue = b.queue[:i]
	}
}

// finish gives r a final answer that is not a server's: a rejection if r may be retried safely, or a failure.
func (b *Balancer) finish(r *request) {
	answer := Action{Kind: ActFail, Request: r.id}
	if r.mayReject() {
		answer.Kind = ActReject
		if b.cfg.Limits.RetryAfter {
			answer.After = min(b.retryAfter(r), b.cfg.Limits.MaxRetryAfter)
		}
	}
	b.emit(answer)
	if len(r.attempts) > 0 {
		b.observeSlack(r, false)
	}
	b.close(r, false)
}

// close ends r, and cancels its attempts in flight where that is permitted.
func (b *Balancer) close(r *request, served bool) {
	if r.closed = true; !served {
		r.class.missedTarget = max(r.class.missedTarget, r.fullTarget)
	}
	if r.queued {
		r.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(o *request) bool { return o == r })
	}
	if b.cfg.Limits.Cancel && !r.started {
		for _, a := range r.attempts {
			if a.inFlight {
				a.canceledLate = b.now >= r.fullTarget-b.cfg.Tick
				b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.number})
			}
		}
	}
	b.forget(r)
}

// forget drops a closed request once none of its attempts is in flight.
func (b *Balancer) forget(r *request) {
	if r.closed && !r.hasAttemptInFlight() {
		delete(b.requests, r.id)
	}
}
