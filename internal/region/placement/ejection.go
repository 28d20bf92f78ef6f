package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

// Ejection of servers that fail (outlier detection).
const (
	// ejectionThreshold is the total weight of failures in a row that ejects a server.
	ejectionThreshold = 3
	// failedWeight is the weight of an answer that reports a failure.
	failedWeight = 1
	// noAnswerWeight is the weight of an attempt without any answer.
	noAnswerWeight = 2
	// unreachableWeight is the weight of an unreachable machine. It ejects at once: every further request would be lost.
	unreachableWeight = ejectionThreshold
	// firstEjection is the length of a first ejection. Each one that follows without a success between is twice as
	// long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// ejectionJitter is the greatest fraction by which an ejection is prolonged at random, so that the trials of many
	// proxies do not coincide.
	ejectionJitter = 0.25
	// restartSuspectedAfter is the ejection period from which on a server may have been restarted meanwhile and be warming up.
	restartSuspectedAfter = 2 * time.Second
	// rejectionCooldown is how long a server that rejected a request is avoided if there are others.
	rejectionCooldown = 250 * time.Millisecond
	// cautiousTrialPeriod is how long after an ejection a trial must be a request that another server may still get: the
	// server may have been replaced by another one, which rejects all of its requests, and the server list shows that
	// only some seconds later.
	cautiousTrialPeriod = 10 * time.Second
)

// ServerUnreachable reports that a server's machine does not respond, as seen on an idle connection.
func (p *Placer) ServerUnreachable(now time.Duration, serverID string) {
	if known := p.servers[serverID]; known != nil {
		known.estimate.Observe(now, 0)
		p.eject(now, known, unreachableWeight)
	}
}

// eject counts a failure, and ejects the server if the failures in a row weigh enough. A server that returns after a
// long ejection may be warming up without saying so: it is treated so until the server list can tell.
func (p *Placer) eject(now time.Duration, s *server, weight int) {
	s.service.walk.Leave(s)
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

// ejected reports whether the server is ejected for a request: until the ejection period is over and its one trial has
// ended.
func (s *server) ejected(now time.Duration, request *Request) bool {
	if s.failures < ejectionThreshold {
		return false
	}
	if now < s.ejectedUntil || s.trialInFlight {
		return true
	}
	lastAttempt := request.Route != nil && len(request.Excluded)+1 >= request.Route.MaxAttempts
	return lastAttempt && now < s.ejectedUntil+cautiousTrialPeriod
}

// trialDue reports whether an ejection period is over and the one trial may be sent.
func (s *server) trialDue(now time.Duration) bool {
	return s.failures >= ejectionThreshold && now >= s.ejectedUntil && !s.trialInFlight
}
