package logic

import (
	"slices"
	"time"
)

type request struct {
	id                      uint64
	class                   *class
	key                     uint64
	hasKey                  bool
	work                    float64       // hinted work in seconds, 1 where none is told
	target                  time.Duration // clock time; cut short by the client's patience
	fullTarget              time.Duration // and not cut short: what servers are judged by
	arrived, expires        time.Duration
	tenantShares            *faultShares
	attempts                []*attempt
	closed, started, queued bool
	lastBusy                bool // its last attempt met a full server
	fault                   int  // likeliest suspect of its last attempt that went wrong
}

type attempt struct {
	request                       *request
	number                        int
	server                        *server
	sentAt                        time.Duration
	inFlight, mayHaveRun, crowded bool
	canceledLate                  bool // called off because no answer came in time
}

func (a *attempt) isInFlight() bool { return a.inFlight }

func (a *attempt) possiblyExecuted() bool { return a.inFlight || a.mayHaveRun } // it is not proved never to have run

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).isInFlight)
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).possiblyExecuted)
}

// mayReject tells whether a refusal is true: a retry can do no harm.
func (r *request) mayReject() bool {
	return r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Group == GroupAll) || !r.mayHaveRun()
}

// useful is the time after which an answer is worth nothing.
func (r *request) usefulUntil() time.Duration {
	if r.class.LateValue > 0 {
		return r.expires
	}
	return r.target
}

// hopeless tells whether an attempt sent now would be late.
func (b *Balancer) wouldBeLate(r *request) bool {
	return b.now+seconds(r.class.meanLatency) >= r.usefulUntil()
}

func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
	need := r.class.meanLatency + queueDeviations*r.class.latencyDeviation // sent any later, most answers would be late
	b.wakeAt(r.usefulUntil()-seconds(need), TimerQueued, r.id)
}

// release sends what is held, newest first: it has the most time left. What cannot make it ends by its timer.
func (b *Balancer) dispatchQueue() {
	for i := len(b.queue) - 1; i >= 0 && b.send(b.queue[i]); i-- {
		b.queue[i].queued = false
		b.queue = b.queue[:i]
	}
}

// settle gives the final answer without a server's.
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

// close ends r and calls off what is still out for it.
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

// forget drops a finished request once nothing is out for it.
func (b *Balancer) forget(r *request) {
	if r.closed && !r.hasAttemptInFlight() {
		delete(b.requests, r.id)
	}
}
