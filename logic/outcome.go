package logic

import (
	"math"
	"slices"
	"time"
)

// attempt gives the attempt that ev speaks of, or nil if there is none.
func (b *Balancer) attemptOf(ev *Event) *attempt {
	if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r.attempts[ev.Attempt]
	}
	return nil
}

func (b *Balancer) onOutcome(ev *Event) {
	a := b.attemptOf(ev)
	if a == nil || !a.inFlight {
		return
	}
	r := a.request
	a.inFlight, r.lastBusy, b.inFlight = false, ev.Outcome == Busy, b.inFlight-1
	a.server.inFlight = slices.DeleteFunc(a.server.inFlight, func(o *attempt) bool { return o == a })
	b.scheduleIdleClose(a.server)
	a.mayHaveRun = ev.Outcome != Refused && ev.Outcome != Skipped &&
		(ev.Outcome != Busy || b.cfg.Contract.BusyMayHaveRun)
	b.learn(a, ev)
	if ev.Final && !r.closed {
		if !r.started {
			b.observeSlack(r, ev.Outcome == Done)
		}
		b.close(r, ev.Outcome == Done)
	}
	if !r.closed {
		b.retry(r, a)
	}
	b.forget(r)
	b.dispatchQueue()
}

// learn takes in what an attempt tells of its server.
func (b *Balancer) learn(a *attempt, ev *Event) {
	s := a.server
	switch ev.Outcome {
	case Skipped: // tells nothing of the server
	case Done:
		if !a.request.started {
			b.recordAnswer(a, ev.Latency)
		}
	case Canceled, TimedOut:
		if a.canceledLate || (ev.Outcome == TimedOut && b.now >= a.request.fullTarget-b.cfg.Tick) {
			b.recordFailure(a, ev.Outcome)
		} else if v := a.request.work / max(ev.Latency.Seconds(), 1e-3); v < s.Speed() {
			s.Observe(b.now, v) // it had not answered by then: slower than this at best
		}
	default:
		b.recordFailure(a, ev.Outcome)
	}
}

func (b *Balancer) recordAnswer(a *attempt, latency time.Duration) {
	s, r, sec := a.server, a.request, max(latency.Seconds(), 1e-3)
	b.attribute(a, failure, false)
	own := b.attribute(a, lateness, b.now > r.fullTarget)
	s.Observe(b.now, r.work/sec)
	s.failuresInRow, s.lastResponse = 0, b.now
	s.failureShare -= meanStep * s.failureShare
	// Answers to what was sent before an ejection do not end it.
	if s.ejectBackoff > minEjectBackoff && a.sentAt >= s.ejectedUntil && b.now <= r.fullTarget {
		b.logf("server %d recovered", s.ID)
		s.ejectBackoff = minEjectBackoff
	}
	c := r.class
	if c.meanLatency == 0 {
		c.meanLatency, c.latencyDeviation, c.quickLatency = sec, sec/2, sec
	}
	if b.now <= r.fullTarget {
		c.latencyDeviation += meanStep * (math.Abs(sec-c.meanLatency) - c.latencyDeviation)
		c.meanLatency += meanStep * (sec - c.meanLatency)
	}
	c.quickLatency += quickStep * (min(sec, c.quickLatency) - c.quickLatency + max(sec-c.quickLatency, 0)/10)
	room := max((r.fullTarget-r.arrived).Seconds()-c.quickLatency, 0)
	s.slowShare -= slowStep * s.slowShare
	if sec > c.quickLatency+shrinkAbove*room {
		if own && (!a.crowded || b.now > r.fullTarget) { // else its limit answers
			s.lateInRow++
		}
		b.shrinkLimit(a)
	} else if s.lateInRow = 0; a.crowded && sec <= c.quickLatency+growBelow*room {
		s.limit += max(1/s.limit, minLimitGrowth)
	}
	if b.now > r.target {
		b.walk.Leave(s)
	}
}

// failed counts a failure as speed zero and ejects on a row of them or on a high share of errors (a fast
// failure would otherwise look like an idle server).
func (b *Balancer) recordFailure(a *attempt, o Outcome) {
	s, what := a.server, failure
	if o == TimedOut || o == Canceled {
		what = lateness
	}
	own := b.attribute(a, what, true)
	s.failureShare += meanStep * (1 - s.failureShare)
	// Late though others were answered meanwhile: a queue, which the limit is for.
	if own && (what == failure || s.lastResponse <= a.sentAt) {
		s.failuresInRow++
	}
	if !a.request.isAtFault() {
		s.Observe(b.now, 0)
		b.walk.Leave(s)
	}
	b.shrinkLimit(a)
	if what == failure {
		s.lastResponse = b.now
	} else if own {
		s.lateInRow++
	}
	// Called gone and silent: the list was right, so the longest rest follows at once.
	row := b.ejectThreshold()
	if s.State == Gone && o != Errored && o != Busy {
		s.failuresInRow, s.ejectBackoff = row, maxEjectBackoff
	}
	if s.failuresInRow >= row || s.faultShares[failure] > ejectFailureShare {
		b.eject(s)
	}
}

// tighten lowers the limit of a slow server, once for the attempts then out, by half the share of slow
// answers (as DCTCP does): spread in the work cuts little, a queue deep.
func (b *Balancer) shrinkLimit(a *attempt) {
	s := a.server
	if s.slowShare += slowStep; a.sentAt >= s.limitShrunkAt && !a.request.isAtFault() {
		s.limit, s.limitShrunkAt = max(1, s.limit*(1-s.slowShare*limitCut)), b.now
	}
}
