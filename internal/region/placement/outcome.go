package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

// overdueFactor is the multiple of the predicted latency after which a request that its client cancels counts as
// evidence that the server is slow.
const overdueFactor = 2

// minLearnSlack is the slack (fraction of requests answered in time) below which requests are assumed to queue at
// servers.
const minLearnSlack = 0.75

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Done        Outcome = iota // a complete answer, of any status that is not a failure of the server
	Rejected                   // the server, which is full or finds the deadline too close, rejected the request without executing it
	Misdirected                // status 421: the address belongs to another server now
	Failed                     // the server answered with status 5xx or with bytes that are not a valid answer
	Reset                      // the connection could not be opened, was reset or was closed early
	TimedOut                   // no answer within the attempt's timeout
	Unreachable                // the server's machine does not respond: it is down or partitioned
	Canceled                   // canceled because the client disconnected: usually no evidence about the server
	NotSent                    // nothing was sent to the server: no effect on its estimates
)

// Started records the first event of an attempt's stream, or the first byte of any other answer. The call is optional
// for failures.
func (p *Placer) Started(now time.Duration, id AttemptID) {
	a := p.attempts[id]
	if a == nil || a.started {
		return
	}
	s := a.server
	a.started, a.startedAt = true, now
	a.beforeStart = serverSnapshot{estimate: s.estimate, failures: s.failures}
	s.removeUnanswered(a)
	s.queues.observe(now, a)
	p.releaseSeed(a)
	p.learnPrefillRate(a, now-a.sentAt)
	s.estimate.Observe(now, a.speedSample(now-a.sentAt))
	s.failures = 0
	if !s.service.inTime(a.request.Route, now-a.sentAt) {
		s.service.walk.MovePast(s)
	}
}

// learnPrefillRate adds the latency of a first event to the estimate of the prefill rate, if the number of tokens that
// the server had to prefill is known. It does nothing while answers are late, since their latency is dominated by the
// time that requests queue at the servers.
func (p *Placer) learnPrefillRate(a *attempt, latency time.Duration) {
	owner := a.server.service
	if !a.unqueued || !owner.servesModel() || owner.slack.Fraction < minLearnSlack || p.off(policy.PrefillRate) {
		return
	}
	owner.prefill.learn(a.sentAt+latency, a.prefillTokens, latency)
}

// speedSample returns the speed sample of an answer: predicted latency divided by measured latency. If the server was
// only assumed to have the prompt's prefix cached, the answer is consistent with a range of speeds, and the sample is
// the speed in that range closest to the current estimate.
func (a *attempt) speedSample(latency time.Duration) float64 {
	latency = max(latency, time.Microsecond)
	low := min(float64(a.nominalLatency)/float64(latency), maxSpeed)
	high := min(float64(a.uncachedLatency)/float64(latency), maxSpeed)
	present := 1.0
	if a.server.estimate.Seeded() {
		present = a.server.estimate.Speed()
	}
	return min(max(present, low), high)
}

// Finished closes an attempt. A second call for the same attempt has no effect.
func (p *Placer) Finished(now time.Duration, id AttemptID, outcome Outcome) {
	a := p.attempts[id]
	if a == nil {
		return
	}
	delete(p.attempts, id)
	s := a.server
	s.removeUnanswered(a)
	s.openAttempts--
	s.reservedTokens -= a.memoryTokens
	p.releaseSeed(a)
	if a.trial {
		s.trialInFlight = false
	}
	p.stats.Outcomes[outcome]++
	p.observeOutcome(now, a, outcome)
	p.releaseAttempt(a)
}

// observeOutcome updates the state of the server according to an attempt's outcome.
func (p *Placer) observeOutcome(now time.Duration, a *attempt, outcome Outcome) {
	switch outcome {
	case Done:
		p.succeeded(now, a)
	case Rejected:
		p.rejected(now, a)
	case Misdirected:
		a.server.retired = true
		p.prefixCache.removeServer(a.server)
	case Failed:
		p.failed(now, a, failedWeight)
	case Reset, TimedOut:
		p.failed(now, a, noAnswerWeight)
	case Unreachable:
		p.failed(now, a, unreachableWeight)
	case Canceled:
		p.canceled(now, a)
	case NotSent:
	}
}

// releaseSeed allows the next attempt that seeds a speed estimate, if a was the seeding attempt in flight.
func (p *Placer) releaseSeed(a *attempt) {
	if a.server.service.seedAttempt == a {
		a.server.service.seedAttempt = nil
	}
}

// succeeded records a complete answer.
func (p *Placer) succeeded(now time.Duration, a *attempt) {
	s := a.server
	owner := s.service
	if !a.started {
		a.started, a.startedAt = true, now
		s.queues.observe(now, a)
		s.estimate.Observe(now, a.speedSample(now-a.sentAt))
	}
	latency := a.startedAt - a.sentAt
	owner.leastLatency.observe(latency)
	owner.observeTail(&a.request, now-a.startedAt)
	owner.typicalOf(s.region == p.region).Observe(now, a.speedSample(latency))
	if s.region == p.region {
		owner.observeLatency(latency)
	}
	s.failures, s.ejectionPeriod, s.succeededAt = 0, 0, now
}

// rejected records that a server rejected an attempt: a speed sample of zero and a cooldown, but no failure.
func (p *Placer) rejected(now time.Duration, a *attempt) {
	a.observeFailure(now)
	if !p.off(policy.RejectionCooldown) {
		a.server.cooldownUntil = max(a.server.cooldownUntil, now+rejectionCooldown)
	}
	a.server.service.walk.MovePast(a.server)
}

// failed records a failure: a speed sample of zero, and an ejection after several consecutive failures.
func (p *Placer) failed(now time.Duration, a *attempt, weight int) {
	a.observeFailure(now)
	p.eject(now, a.server, weight)
}

// observeFailure adds a speed sample of zero. It first reverts the sample of the attempt's first byte, if no other
// sample came later.
func (a *attempt) observeFailure(now time.Duration) {
	s := a.server
	if a.started && s.estimate.SampledAt() == a.startedAt {
		s.estimate, s.failures = a.beforeStart.estimate, max(s.failures, a.beforeStart.failures)
	}
	s.estimate.Observe(now, 0)
}

// canceled records that the client disconnected. If the answer was long overdue by then, it adds a low speed sample.
func (p *Placer) canceled(now time.Duration, a *attempt) {
	waited := now - a.sentAt
	if a.started || waited <= overdueFactor*a.uncachedLatency {
		return
	}
	a.server.estimate.Observe(now, float64(a.nominalLatency)/float64(waited))
	a.server.service.walk.MovePast(a.server)
}

// RequestDone records the end of a client's request that was admitted: whether it was answered, and the latency of its
// first event or byte. It updates the slack, which is the exponentially weighted fraction of requests that were answered
// in time.
func (p *Placer) RequestDone(now time.Duration, request *Request, answered bool, latency time.Duration) {
	owner := p.services[request.Service]
	if owner == nil {
		return
	}
	inTime := answered && owner.inTime(request.Route, latency)
	owner.slack.Observe(now, inTime)
	p.slack.Observe(now, inTime)
	if inTime {
		p.stats.InTime++
	} else {
		p.stats.Late++
	}
}
