package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Tuning of admission. It acts only while answers come late and servers show that requests wait there.
const (
	// admitAllSlack is the slack from which on everything is let in.
	admitAllSlack = 0.75
	// rejectionWindow is how long a server's refusal for being full shows that requests wait.
	rejectionWindow = time.Second
	// queueingSpeed is the typical speed below which answers take so long that requests must be waiting.
	queueingSpeed = 0.5
	// waitFraction is the part of its aim that the least urgent request may be expected to wait.
	waitFraction = 0.5
	// urgencySteps are the priorities that are told apart; each step above adds half to waitFraction.
	urgencySteps    = 2
	urgencyWaitStep = 0.5
	// trickleInterval is how often a request of each route is let in however bad it looks.
	trickleInterval = 500 * time.Millisecond
	// maxTrickledRoutes bounds the routes that are remembered for that.
	maxTrickledRoutes = 4096
	// Bounds of the time after which a refused client is told to ask again.
	minOverloadRetry = 200 * time.Millisecond
	maxOverloadRetry = 2 * time.Second
)

// Admit tells whether a new request should be let in. The error is an *OverloadError: the request should be
// refused at once, because it would wait for too much of its aim; less urgent requests give way first. What comes
// back after a refusal is let in.
func (p *Placer) Admit(now time.Duration, request *Request) error {
	if p.off(policy.Admission) {
		return nil
	}
	owner := p.services[request.Service]
	if owner == nil || request.Route == nil || request.Route.Target <= 0 || !p.overloaded(now, owner) {
		return nil
	}
	if request.Returned { // refused a second time it would be lost
		return nil
	}
	p.findCandidates(now, owner, request)
	if len(p.buffers.candidates) == 0 {
		return nil // Pick tells why
	}
	expected := minExpectedLatency(p.buffers.candidates)
	wait := expected - idleLatency(owner, &p.buffers.prompt)
	excess := wait - maxWait(request.Route.Priority, request.Route.Target)
	if request.Remaining > 0 {
		excess = max(excess, expected-request.Remaining)
	}
	if excess <= 0 || (!p.off(policy.Trickle) && owner.admitTrickle(now, request.Route.Name)) {
		return nil
	}
	p.stats.Overload++
	return &OverloadError{
		Service:    owner.name,
		Expected:   expected,
		RetryAfter: min(max(excess, minOverloadRetry), maxOverloadRetry),
	}
}

// patience is the longest that a request may be expected to wait for servers.
func maxWait(priority int, target time.Duration) time.Duration {
	urgency := max(urgencySteps-priority, 0)
	part := waitFraction * (1 + urgencyWaitStep*float64(urgency))
	return time.Duration(part * float64(target))
}

// crowded tells whether answers come late and it shows that requests wait at servers. Lateness alone may have
// other causes, and a refusal while servers have room helps nobody.
func (p *Placer) overloaded(now time.Duration, owner *service) bool {
	if owner.slack.Share >= admitAllSlack {
		return false
	}
	full := owner.rejectedAt > 0 && now-owner.rejectedAt < rejectionWindow
	return full || owner.typicalSpeed(true) < queueingSpeed
}

// trickles tells whether a request of a route is due to be let in however bad it looks, and notes it.
func (s *service) admitTrickle(now time.Duration, routeName string) bool {
	last, known := s.trickledAt[routeName]
	if known && now-last < trickleInterval {
		return false
	}
	if len(s.trickledAt) >= maxTrickledRoutes {
		clear(s.trickledAt)
	}
	s.trickledAt[routeName] = now
	return true
}
