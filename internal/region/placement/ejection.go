package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

// Constants of the ejection of failing servers (outlier detection).
const (
	// ejectionThreshold is the total weight of consecutive failures at which a server is ejected.
	ejectionThreshold = 3
	// failedWeight is the weight of an answer that reports a failure.
	failedWeight = 1
	// noAnswerWeight is the weight of an attempt that got no answer.
	noAnswerWeight = 2
	// unreachableWeight is the weight of an unreachable machine. It ejects the server immediately, since every further
	// request would be lost.
	unreachableWeight = ejectionThreshold
	// firstEjection is the length of a first ejection. Each further ejection without a success in between is twice as
	// long as the previous one, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// ejectionJitter is the maximum fraction by which an ejection is extended at random, so that the trial requests of
	// many proxies do not coincide.
	ejectionJitter = 0.25
	// restartSuspectedAfter is the length of an ejection at and above which the server may have been restarted in the
	// meantime, and so may be warming up.
	restartSuspectedAfter = 2 * time.Second
	// rejectionCooldown is how long a server that rejected a request is avoided while other servers are eligible.
	rejectionCooldown = 250 * time.Millisecond
	// cautiousTrialPeriod is how long after an ejection only a request that may still be sent elsewhere is the trial: a
	// new server may have taken over the address and reject all requests for the old one, which the server list shows
	// only some seconds later.
	cautiousTrialPeriod = 10 * time.Second
)

// ServerUnreachable records that a server's machine does not respond on an idle connection, and ejects the server.
func (p *Placer) ServerUnreachable(now time.Duration, serverID string) {
	if known := p.servers[serverID]; known != nil {
		known.estimate.Observe(now, 0)
		p.eject(now, known, unreachableWeight)
	}
}

// eject counts a failure, and ejects the server if its consecutive failures reach ejectionThreshold. After a long
// ejection the server may have been restarted: it is treated as warming up until the server list shows whether it is.
func (p *Placer) eject(now time.Duration, s *server, weight int) {
	s.service.walk.MovePast(s)
	if p.off(policy.Ejection) {
		return
	}
	s.failures = min(s.failures+weight, 2*ejectionThreshold)
	if s.failures < ejectionThreshold || now < s.ejectedUntil {
		return
	}
	s.ejectionPeriod = min(max(2*s.ejectionPeriod, firstEjection), maxEjection)
	jitter := 1 + ejectionJitter*p.random.Float64()
	s.ejectedUntil = now + time.Duration(float64(s.ejectionPeriod)*jitter)
	if s.ejectionPeriod >= restartSuspectedAfter {
		s.suspectedWarmingUntil = s.ejectedUntil + suspectedWarmingPeriod
	}
	p.stats.Ejections++
}

// ejected reports whether the server is ejected as far as a request is concerned: during the ejection, while its only
// trial is in flight, and for the last attempt of a request also in the cautiousTrialPeriod after the ejection.
func (s *server) ejected(now time.Duration, request *Request) bool {
	if s.failures < ejectionThreshold {
		return false
	}
	if now < s.ejectedUntil || s.trialInFlight {
		return true
	}
	return request.isLastAttempt() && now < s.ejectedUntil+cautiousTrialPeriod
}

// trialDue reports whether an ejection is over and its only trial request may be sent.
func (s *server) trialDue(now time.Duration) bool {
	return s.failures >= ejectionThreshold && now >= s.ejectedUntil && !s.trialInFlight
}
