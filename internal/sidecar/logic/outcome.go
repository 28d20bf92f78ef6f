package logic

import (
	"math"
	"slices"
	"time"
)

// attemptOf returns the attempt that ev is about, or nil if it is not known.
func (b *Balancer) attemptOf(ev *Event) *attempt {
	if r := b.requests[ev.Request]; r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		return r.attempts[ev.Attempt]
	}
	return nil
}

// onOutcome ends an attempt, retries or ends its request, and dispatches the queue.
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

// learn updates the measurements of the server of a with the outcome of a.
func (b *Balancer) learn(a *attempt, ev *Event) {
	s := a.server
	switch ev.Outcome {
	case Skipped: // the attempt never reached the server
	case Done:
		if !a.request.started {
			b.recordAnswer(a, ev.Latency)
		}
	case Canceled, TimedOut:
		if a.canceledLate || (ev.Outcome == TimedOut && b.now >= a.request.fullTarget-b.cfg.Tick) {
			b.recordFailure(a, ev.Outcome)
		} else if v := a.request.work / max(ev.Latency.Seconds(), 1e-3); v < s.Speed() {
			s.Observe(b.now, v) // upper bound of the speed: no answer came in this time
		}
	default:
		b.recordFailure(a, ev.Outcome)
	}
}

// recordAnswer updates the estimates of the server and the class with an answer after latency.
func (b *Balancer) recordAnswer(a *attempt, latency time.Duration) {
	s, r, took := a.server, a.request, max(latency.Seconds(), 1e-3)
	onTime := b.now <= r.fullTarget
	b.attribute(a, failure, false)
	serverAtFault := b.attribute(a, lateness, !onTime)
	s.Observe(b.now, r.work/took)
	s.consecutiveFailures, s.lastResponse = 0, b.now
	s.failureRate -= meanStep * s.failureRate
	// The answer to an attempt sent before the end of an ejection does not reset the backoff.
	if s.ejectBackoff > minEjectBackoff && a.sentAt >= s.ejectedUntil && onTime {
		b.logf("server %d recovered", s.ID)
		s.ejectBackoff = minEjectBackoff
	}
	r.class.recordLatency(took, onTime)
	b.adjustLimit(a, took, serverAtFault)
	if b.now > r.target {
		b.walk.MovePast(s)
	}
}

// recordLatency updates the latency estimates of c with an answer after took seconds.
func (c *class) recordLatency(took float64, onTime bool) {
	if c.meanLatency == 0 {
		c.meanLatency, c.latencyDeviation, c.quickLatency = took, took/2, took
	}
	if onTime {
		c.latencyDeviation += meanStep * (math.Abs(took-c.meanLatency) - c.latencyDeviation)
		c.meanLatency += meanStep * (took - c.meanLatency)
	}
	quicker, slower := min(took, c.quickLatency)-c.quickLatency, max(took-c.quickLatency, 0)
	c.quickLatency += quickStep * (quicker + slower/10)
}

// adjustLimit adapts the limit of a's server to an answer after took seconds. A slow answer lowers it. A
// quick answer raises it if at least limitUsedFraction of the limit was in use when a was sent.
func (b *Balancer) adjustLimit(a *attempt, took float64, serverAtFault bool) {
	s, r := a.server, a.request
	quick := r.class.quickLatency
	targetRange := max((r.fullTarget-r.arrived).Seconds()-quick, 0) // range from quick latency to target
	s.slowFraction -= slowStep * s.slowFraction
	if took > quick+shrinkAbove*targetRange {
		// A slow answer in time, with much of the limit in use, is a queue, which the lower limit corrects.
		if serverAtFault && (!a.limitUsed || b.now > r.fullTarget) {
			s.consecutiveLate++
		}
		b.shrinkLimit(a)
	} else if s.consecutiveLate = 0; a.limitUsed && took <= quick+growBelow*targetRange {
		s.limit += max(1/s.limit, minLimitGrowth)
	}
}

// shrinkLimit lowers the limit of a slow server by half the fraction of its slow answers, as DCTCP does, and
// only once for all attempts in flight at that time. Occasional slow answers lower the limit a little; a
// queue, which makes most answers slow, lowers it a lot.
func (b *Balancer) shrinkLimit(a *attempt) {
	s := a.server
	if s.slowFraction += slowStep; a.sentAt >= s.limitShrunkAt && !a.request.isAtFault() {
		s.limit, s.limitShrunkAt = max(1, s.limit*(1-s.slowFraction*limitDecreaseFactor)), b.now
	}
}

// recordFailure records a failure as a sample of speed zero, since a server that fails quickly would
// otherwise look idle. Enough consecutive failures, or a high failure rate, eject the server.
func (b *Balancer) recordFailure(a *attempt, outcome Outcome) {
	s, kind := a.server, failure
	if outcome == TimedOut || outcome == Canceled {
		kind = lateness
	}
	serverAtFault := b.attribute(a, kind, true)
	s.failureRate += meanStep * (1 - s.failureRate)
	// A late server that has responded to other attempts since is not hung but has a queue, which a lower
	// limit corrects.
	if serverAtFault && (kind == failure || s.lastResponse <= a.sentAt) {
		s.consecutiveFailures++
	}
	if !a.request.isAtFault() {
		s.Observe(b.now, 0)
		b.walk.MovePast(s)
	}
	b.shrinkLimit(a)
	if kind == failure {
		s.lastResponse = b.now
	} else if serverAtFault {
		s.consecutiveLate++
	}
	threshold := b.ejectThreshold()
	// A server that is listed as gone and does not respond has stopped: eject it for the longest time.
	if s.State == Gone && outcome != Errored && outcome != Busy {
		s.consecutiveFailures, s.ejectBackoff = threshold, maxEjectBackoff
	}
	if s.consecutiveFailures >= threshold || s.faultRates[failure] > ejectFailureRate {
		b.eject(s)
	}
}
