package logic

import (
	"slices"
	"time"
)

// mayAttemptAt reports whether the class of r permits a further attempt at s now.
func (b *Balancer) mayAttemptAt(r *request, s *server) bool {
	deadline := b.dedupDeadline(r)
	return (deadline == 0 || b.now < deadline) && !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.possiblyExecuted() && (r.class.Effect == Unsafe ||
			(a.inFlight && !b.cfg.Limits.ParallelAttempts) ||
			(r.class.Effect == Keyed && !sameGroup(r.class.Group, a.server, s)))
	})
}

// dedupDeadline is the end of the window in which servers deduplicate r, or 0 if r has no such window. An
// attempt whose connection is established later must not be written.
func (b *Balancer) dedupDeadline(r *request) time.Duration {
	if i := slices.IndexFunc(r.attempts, (*attempt).possiblyExecuted); i >= 0 && r.class.Effect == Keyed {
		return r.attempts[i].sentAt + time.Duration(windowSafety*float64(r.class.Window))
	}
	return 0
}

// sameGroup reports whether servers x and y deduplicate requests together.
func sameGroup(g Group, x, y *server) bool {
	return g == GroupAll || (g == GroupZone && x.Zone == y.Zone) || (g == GroupCell && x.Cell == y.Cell)
}

// retry handles the end of an attempt a of r without a final answer: it sends another attempt, queues r, or
// gives it a final answer.
func (b *Balancer) retry(r *request, a *attempt) {
	if r.hasAttemptInFlight() || r.queued {
		return
	}
	if b.isLastAttempt(r, a) || len(r.attempts) >= b.cfg.Limits.MaxAttempts || b.wouldBeLate(r) {
		b.finish(r)
		return
	}
	if sent := b.send(r); !sent && r.mayHaveRun() {
		b.finish(r) // only a few servers may get r, so it would block requests behind it in the queue
	} else if !sent {
		b.enqueue(r)
	}
}

// isLastAttempt reports whether the outcome of a rules out another attempt of r.
func (b *Balancer) isLastAttempt(r *request, a *attempt) bool {
	// A request that may have run is sent at most once more, since repeats may double the work.
	if a.mayHaveRun && (r.class.Effect == Unsafe || len(r.attempts) > 1 || r.isAtFault()) {
		return true
	}
	// If the whole fleet is busy, another send would only add to the overload. If servers reject requests of
	// this class or tenant only, other servers may take r.
	return r.lastBusy && r.fault == suspectAll
}
