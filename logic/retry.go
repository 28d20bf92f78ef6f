package logic

import (
	"slices"
	"time"
)

type attempt struct {
	req                  *request
	no                   int
	srv                  *server
	sent                 time.Duration
	out, mayRun, crowded bool
	gaveUp               bool // called off because no answer came in time
}

type request struct {
	id                    uint64
	class                 *class
	key                   uint64
	hasKey                bool
	cost                  float64       // hinted work in seconds, 1 where none is told
	aim                   time.Duration // clock time; cut short by the client's patience
	full                  time.Duration // and not cut short: what servers are judged by
	arrived, expires      time.Duration
	tenant                *suspect
	attempts              []*attempt
	closed, started, held bool
	busy                  bool // its last attempt met a full server
	fault                 int  // likeliest suspect of its last attempt that went wrong
}

// mayRepeat tells whether the rules let a further attempt of r go to s now.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	by := b.repeatBy(r)
	return (by == 0 || b.now < by) && !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.counts() && (r.class.Effect == Unsafe || (a.out && !b.cfg.Limits.ParallelAttempts) ||
			(r.class.Effect == Keyed && !sameGroup(r.class.Group, a.srv, s)))
	})
}

// repeatBy is when the window for repeats of r ends, or 0: a connection that comes up later sends nothing.
func (b *Balancer) repeatBy(r *request) time.Duration {
	if i := slices.IndexFunc(r.attempts, (*attempt).counts); i >= 0 && r.class.Effect == Keyed {
		return r.attempts[i].sent + time.Duration(windowSafety*float64(r.class.Window))
	}
	return 0
}

func (a *attempt) isOut() bool  { return a.out }
func (a *attempt) counts() bool { return a.out || a.mayRun } // it is not proved never to have run

func sameGroup(g Group, a, s *server) bool {
	return g == GroupAll || (g == GroupZone && a.Zone == s.Zone) || (g == GroupCell && a.Cell == s.Cell)
}

// hopeless tells whether an attempt sent now would be late.
func (b *Balancer) hopeless(r *request) bool { return b.now+seconds(r.class.mean) >= r.useful() }

// useful is the time after which an answer is worth nothing.
func (r *request) useful() time.Duration {
	if r.class.LateValue > 0 {
		return r.expires
	}
	return r.aim
}

// again decides what follows an attempt that brought no answer.
func (b *Balancer) again(r *request, a *attempt) {
	if r.outstanding() || r.held {
		return
	}
	// What may have run is sent once more at most: it may double the work.
	ends := a.mayRun && (r.class.Effect == Unsafe || len(r.attempts) > 1 || r.ofKind())
	// Turned away as full wherever it could go: another send would only feed the jam. Where one kind of
	// request alone is turned away, other servers take it, and nothing has run.
	ends = ends || (r.busy && r.fault == byAll)
	if ends || len(r.attempts) >= b.cfg.Limits.MaxAttempts || b.hopeless(r) {
		b.settle(r)
		return
	}
	if sent := b.send(r); !sent && r.mayHaveRun() {
		b.settle(r) // held, it would block those behind it, since it may go to a few servers only
	} else if !sent {
		b.hold(r)
	}
}

func (b *Balancer) hold(r *request) {
	r.held = true
	b.held = append(b.held, r)
	need := r.class.mean + heldSpread*r.class.dev // sent any later, most answers would be late
	b.at(r.useful()-seconds(need), TimerQueued, r.id)
}

// release sends what is held, newest first: it has the most time left. What cannot make it ends by its timer.
func (b *Balancer) release() {
	for i := len(b.held) - 1; i >= 0 && b.send(b.held[i]); i-- {
		b.held[i].held = false
		b.held = b.held[:i]
	}
}

// mayRefuse tells whether a refusal is true: a retry can do no harm.
func (r *request) mayRefuse() bool {
	return r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Group == GroupAll) || !r.mayHaveRun()
}

func (r *request) mayHaveRun() bool { return slices.ContainsFunc(r.attempts, (*attempt).counts) }

// settle gives the final answer without a server's.
func (b *Balancer) settle(r *request) {
	answer := Action{Kind: ActFail, Request: r.id}
	if r.mayRefuse() {
		answer.Kind = ActReject
		if b.cfg.Limits.RetryAfter {
			answer.After = min(b.prospect(r), b.cfg.Limits.MaxRetryAfter)
		}
	}
	b.act(answer)
	if len(r.attempts) > 0 {
		b.sample(r, false)
	}
	b.close(r, false)
}

// close ends r and calls off what is still out for it.
func (b *Balancer) close(r *request, served bool) {
	if r.closed = true; !served {
		r.class.owed = max(r.class.owed, r.full)
	}
	if r.held {
		r.held = false
		b.held = slices.DeleteFunc(b.held, func(o *request) bool { return o == r })
	}
	if b.cfg.Limits.Cancel && !r.started {
		for _, a := range r.attempts {
			if a.out {
				a.gaveUp = b.now >= r.full-b.cfg.Tick
				b.act(Action{Kind: ActCancel, Request: r.id, Attempt: a.no})
			}
		}
	}
	b.forget(r)
}

func (r *request) outstanding() bool { return slices.ContainsFunc(r.attempts, (*attempt).isOut) }

// forget drops a finished request once nothing is out for it.
func (b *Balancer) forget(r *request) {
	if r.closed && !r.outstanding() {
		delete(b.requests, r.id)
	}
}

// wake takes in that a wake-up is due.
func (b *Balancer) wake(t Timer) {
	switch s, r := b.byID[t.ID], b.requests[t.ID]; {
	case t.Kind == TimerList:
		if b.askAt > 0 && b.isDue(b.askAt) {
			b.ask()
		}
	case t.Kind == TimerIdle:
		if s != nil && len(s.out) == 0 && b.isDue(s.releaseAt) {
			b.act(Action{Kind: ActCloseIdle, Server: s.ID})
		}
	case r != nil && !r.closed && !r.started && (r.held || t.Kind != TimerQueued):
		b.settle(r)
		b.release()
	}
}
