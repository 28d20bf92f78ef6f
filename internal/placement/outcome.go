package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Ejection of servers that fail.
const (
	// ejectAfter is the weight of failures in a row that ejects a server.
	ejectAfter = 3
	// failedWeight is that of an answer that tells of a failure; severedWeight that of none at all; silentWeight
	// that of a machine out of reach, where every further request would be lost.
	failedWeight  = 1
	severedWeight = 2
	silentWeight  = ejectAfter
	restFirst     = time.Second
	restMost      = 8 * time.Second
	// restSpread is the part by which a rest may be longer, so that trials of many proxies do not meet.
	restSpread = 0.25
	// suspectRest is the rest from which on a server may have been away for long enough to come back cold.
	suspectRest = 2 * time.Second
	// fullFor is how long a server that refused is left alone if there are others.
	fullFor = 250 * time.Millisecond
	// overdueTimes: a client that left after so many times the predicted time tells of a slow server.
	overdueTimes = 2
	// maxSpare is the most closed attempts that are kept to be used again.
	maxSpare = 256
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
	a.before = memory{estimate: s.estimate, failures: s.failures}
	s.answered(a)
	p.seeded(a)
	p.learnReading(a, now-a.sentAt)
	s.estimate.Observe(now, a.sample(now-a.sentAt))
	s.failures = 0
	if !s.service.inTime(a.request.Route, now-a.request.Arrived) {
		s.service.walk.Leave(s)
	}
}

// learnReading takes in a first event that came after a known number of tokens was read. While answers come late it
// learns nothing: then they tell of what waits at the servers.
func (p *Placer) learnReading(a *attempt, latency time.Duration) {
	owner := a.server.service
	if !a.alone || !owner.model() || owner.slack.Share < admitSlack || p.off(policy.PrefillRate) {
		return
	}
	owner.engine.learn(a.sentAt+latency, a.toRead, latency)
}

// sample is the speed that an answer after latency shows: cost over latency. Where it was a guess that the
// prompt is kept there, the answer proves no more than a range.
func (a *attempt) sample(latency time.Duration) float64 {
	latency = max(latency, time.Microsecond)
	low := min(float64(a.cost)/float64(latency), mostSpeed)
	high := min(float64(a.unread)/float64(latency), mostSpeed)
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
	s.answered(a)
	s.open--
	s.held -= a.toHold
	p.seeded(a)
	if a.trial {
		s.trying = false
	}
	p.stats.Outcomes[outcome]++
	switch outcome {
	case Done:
		p.succeeded(now, a)
	case Refused:
		p.refused(now, a)
	case Misdirected:
		s.gone = true
		p.keeper.forget(s)
	case Failed:
		p.failed(now, a, failedWeight)
	case Reset, TimedOut:
		p.failed(now, a, severedWeight)
	case Unreachable:
		p.failed(now, a, silentWeight)
	case ClientGone:
		p.abandoned(now, a)
	case NotSent:
	}
	p.recycle(a)
}

// seeded frees the way for the next attempt that seeds an estimate.
func (p *Placer) seeded(a *attempt) {
	if a.server.service.seedOut == a {
		a.server.service.seedOut = nil
	}
}

func (p *Placer) recycle(a *attempt) {
	if len(p.spare) < maxSpare {
		*a = attempt{}
		p.spare = append(p.spare, a)
	}
}

func (p *Placer) succeeded(now time.Duration, a *attempt) {
	s := a.server
	owner := s.service
	if !a.started {
		a.started, a.startedAt = true, now
		s.estimate.Observe(now, a.sample(now-a.sentAt))
	}
	latency := a.startedAt - a.sentAt
	owner.typicalOf(s.region == p.region).Observe(now, a.sample(latency))
	if s.region == p.region {
		owner.observeLatency(latency)
	}
	s.failures, s.rest, s.succeededAt = 0, 0, now
}

// refused takes in that a server was full: speed zero, but no failure.
func (p *Placer) refused(now time.Duration, a *attempt) {
	a.zero(now)
	if !p.off(policy.RejectionCooldown) {
		a.server.avoidUntil = max(a.server.avoidUntil, now+fullFor)
	}
	a.server.service.fullAt = now
	a.server.service.walk.Leave(a.server)
}

// failed takes in a failure: speed zero, and rest after some in a row. A server that comes back after a while
// may be cold without a word, so it is treated as cold until the list can tell.
func (p *Placer) failed(now time.Duration, a *attempt, weight int) {
	a.zero(now)
	p.eject(now, a.server, weight)
}

// ServerUnreachable takes in that a server's machine does not answer, as seen on an idle connection.
func (p *Placer) ServerUnreachable(now time.Duration, serverID string) {
	if known := p.servers[serverID]; known != nil {
		known.estimate.Observe(now, 0)
		p.eject(now, known, silentWeight)
	}
}

// eject counts a failure, and lets the server rest if that is one too many.
func (p *Placer) eject(now time.Duration, s *server, weight int) {
	s.service.walk.Leave(s)
	if p.off(policy.Ejection) {
		return
	}
	s.failures = min(s.failures+weight, 2*ejectAfter)
	if s.failures < ejectAfter || now < s.restUntil {
		return
	}
	s.rest = min(max(2*s.rest, restFirst), restMost)
	spread := 1 + restSpread*p.random.Float64()
	s.restUntil = now + time.Duration(float64(s.rest)*spread)
	if s.rest >= suspectRest {
		s.suspectUntil = s.restUntil + suspectFor
	}
	p.stats.Ejections++
}

// zero takes a sample of speed zero in the place of what the attempt's first byte seemed to show.
func (a *attempt) zero(now time.Duration) {
	s := a.server
	if a.started && s.estimate.SampledAt() == a.startedAt {
		s.estimate, s.failures = a.before.estimate, max(s.failures, a.before.failures)
	}
	s.estimate.Observe(now, 0)
}

// abandoned takes in that a client left: long after an answer was due, it tells of the server.
func (p *Placer) abandoned(now time.Duration, a *attempt) {
	waited := now - a.sentAt
	if a.started || waited <= overdueTimes*a.unread {
		return
	}
	a.server.estimate.Observe(now, float64(a.cost)/float64(waited))
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
