package logic

import (
	"slices"
	"time"
)

// mayAttemptAt tells whether the rules let a further attempt of r go to s now.
func (b *Balancer) mayAttemptAt(r *request, s *server) bool {
	by := b.repeatDeadline(r)
	return (by == 0 || b.now < by) && !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.possiblyExecuted() && (r.class.Effect == Unsafe || (a.inFlight && !b.cfg.Limits.ParallelAttempts) ||
			(r.class.Effect == Keyed && !sameGroup(r.class.Group, a.server, s)))
	})
}

// repeatDeadline is when the window for repeats of r ends, or 0: a connection that comes up later sends nothing.
func (b *Balancer) repeatDeadline(r *request) time.Duration {
	if i := slices.IndexFunc(r.attempts, (*attempt).possiblyExecuted); i >= 0 && r.class.Effect == Keyed {
		return r.attempts[i].sentAt + time.Duration(windowSafety*float64(r.class.Window))
	}
	return 0
}

func sameGroup(g Group, a, s *server) bool {
	return g == GroupAll || (g == GroupZone && a.Zone == s.Zone) || (g == GroupCell && a.Cell == s.Cell)
}

// again decides what follows an attempt that brought no answer.
func (b *Balancer) retry(r *request, a *attempt) {
	if r.hasAttemptInFlight() || r.queued {
		return
	}
	// What may have run is sent once more at most: it may double the work.
	ends := a.mayHaveRun && (r.class.Effect == Unsafe || len(r.attempts) > 1 || r.isAtFault())
	// Turned away as full wherever it could go: another send would only feed the jam. Where one kind of
	// request alone is turned away, other servers take it, and nothing has run.
	ends = ends || (r.lastBusy && r.fault == suspectAll)
	if ends || len(r.attempts) >= b.cfg.Limits.MaxAttempts || b.wouldBeLate(r) {
		b.finish(r)
		return
	}
	if sent := b.send(r); !sent && r.mayHaveRun() {
		b.finish(r) // held, it would block those behind it, since it may go to a few servers only
	} else if !sent {
		b.enqueue(r)
	}
}
