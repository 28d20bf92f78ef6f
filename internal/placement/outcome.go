package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Ejection of servers that fail.
const (
	// ejectAfter is the weight of failures in a row that ejects a server.
	ejectAfter = 3
	// failedWeight is that of an answer that tells of a failure; noAnswerWeight that of none at all; unreachableWeight
	// that of a machine out of reach, where every further request would be lost.
	failedWeight      = 1
	noAnswerWeight    = 2
	unreachableWeight = ejectAfter
	firstEjection     = time.Second
	maxEjection       = 8 * time.Second
	// ejectionJitter is the part by which a rest may be longer, so that trials of many proxies do not meet.
	ejectionJitter = 0.25
	// suspectEjection is the rest from which on a server may have been away for long enough to come back cold.
	suspectEjection = 2 * time.Second
	// rejectionCooldown is how long a server that refused is left alone if there are others.
	rejectionCooldown = 250 * time.Millisecond
	// overdueFactor: a client that left after so many times the predicted time tells of a slow server.
	overdueFactor = 2
	// maxFreeAttempts is the most closed attempts that are kept to be used again.
	maxFreeAttempts = 256
)

// Started tells that the first event of an attempt's stream came, or the first byte of any other answer. It
// need not be called for failures.
func (p *Placer) Started(now time.Duration, id AttemptID) {
	a := p.attempts[id]
	if a == nil || a.started {
		return
	}
	s := a.server
	a.started, a.startedAt = true, now
	a.beforeStart = serverSnapshot{estimate: s.estimate, failures: s.failures}
	s.removeUnanswered(a)
	p.releaseSeed(a)
	p.learnPrefillRate(a, now-a.sentAt)
	s.estimate.Observe(now, a.speedSample(now-a.sentAt))
	s.failures = 0
	if !s.service.inTime(a.request.Route, now-a.request.Arrived) {
		s.service.walk.Leave(s)
	}
}

// learnPrefillRate takes in a first event that came after a known number of tokens was read. While answers come late it
// learns nothing: then they tell of what waits at the servers.
func (p *Placer) learnPrefillRate(a *attempt, latency time.Duration) {
	owner := a.server.service
	if !a.unqueued || !owner.servesModel() || owner.slack.Share < admitAllSlack || p.off(policy.PrefillRate) {
		return
	}
	owner.prefill.learn(a.sentAt+latency, a.prefillTokens, latency)
}

// sample is the speed that an answer after latency shows: cost over latency. Where it was a guess that the
// prompt is kept there, the answer proves no more than a range.
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

// Finished closes an attempt.
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
	switch outcome {
	case Done:
		p.succeeded(now, a)
	case Refused:
		p.rejected(now, a)
	case Misdirected:
		s.gone = true
		p.prefixCache.removeServer(s)
	case Failed:
		p.failed(now, a, failedWeight)
	case Reset, TimedOut:
		p.failed(now, a, noAnswerWeight)
	case Unreachable:
		p.failed(now, a, unreachableWeight)
	case ClientGone:
		p.canceled(now, a)
	case NotSent:
	}
	p.releaseAttempt(a)
}

// seeded frees the way for the next attempt that seeds an estimate.
func (p *Placer) releaseSeed(a *attempt) {
	if a.server.service.seedAttempt == a {
		a.server.service.seedAttempt = nil
	}
}

func (p *Placer) releaseAttempt(a *attempt) {
	if len(p.freeAttempts) < maxFreeAttempts {
		*a = attempt{}
		p.freeAttempts = append(p.freeAttempts, a)
	}
}

func (p *Placer) succeeded(now time.Duration, a *attempt) {
	s := a.server
	owner := s.service
	if !a.started {
		a.started, a.startedAt = true, now
		s.estimate.Observe(now, a.speedSample(now-a.sentAt))
	}
	latency := a.startedAt - a.sentAt
	owner.typicalOf(s.region == p.region).Observe(now, a.speedSample(latency))
	if s.region == p.region {
		owner.observeLatency(latency)
	}
	s.failures, s.ejectionPeriod, s.succeededAt = 0, 0, now
}

// refused takes in that a server was full: speed zero, but no failure.
func (p *Placer) rejected(now time.Duration, a *attempt) {
	a.observeFailure(now)
	if !p.off(policy.RejectionCooldown) {
		a.server.cooldownUntil = max(a.server.cooldownUntil, now+rejectionCooldown)
	}
	a.server.service.rejectedAt = now
	a.server.service.walk.Leave(a.server)
}

// failed takes in a failure: speed zero, and rest after some in a row. A server that comes back after a while
// may be cold without a word, so it is treated as cold until the list can tell.
func (p *Placer) failed(now time.Duration, a *attempt, weight int) {
	a.observeFailure(now)
	p.eject(now, a.server, weight)
}

// ServerUnreachable takes in that a server's machine does not answer, as seen on an idle connection.
func (p *Placer) ServerUnreachable(now time.Duration, serverID string) {
	if known := p.servers[serverID]; known != nil {
		known.estimate.Observe(now, 0)
		p.eject(now, known, unreachableWeight)
	}
}

// eject counts a failure, and lets the server rest if that is one too many.
func (p *Placer) eject(now time.Duration, s *server, weight int) {
	s.service.walk.Leave(s)
	if p.off(policy.Ejection) {
		return
	}
	s.failures = min(s.failures+weight, 2*ejectAfter)
	if s.failures < ejectAfter || now < s.ejectedUntil {
		return
	}
	s.ejectionPeriod = min(max(2*s.ejectionPeriod, firstEjection), maxEjection)
	spread := 1 + ejectionJitter*p.random.Float64()
	s.ejectedUntil = now + time.Duration(float64(s.ejectionPeriod)*spread)
	if s.ejectionPeriod >= suspectEjection {
		s.suspectedColdUntil = s.ejectedUntil + suspectedColdPeriod
	}
	p.stats.Ejections++
}

// zero takes a sample of speed zero in the place of what the attempt's first byte seemed to show.
func (a *attempt) observeFailure(now time.Duration) {
	s := a.server
	if a.started && s.estimate.SampledAt() == a.startedAt {
		s.estimate, s.failures = a.beforeStart.estimate, max(s.failures, a.beforeStart.failures)
	}
	s.estimate.Observe(now, 0)
}

// abandoned takes in that a client left: long after an answer was due, it tells of the server.
func (p *Placer) canceled(now time.Duration, a *attempt) {
	waited := now - a.sentAt
	if a.started || waited <= overdueFactor*a.uncachedLatency {
		return
	}
	a.server.estimate.Observe(now, float64(a.nominalLatency)/float64(waited))
	a.server.service.walk.Leave(a.server)
}

// RequestDone tells the end of a client's request that was let in: whether it was answered, and after which
// time its first event or byte came. The aged share of those in time is the slack.
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
