package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Tuning of admission. It acts only while answers come late and servers show that requests wait there.
const (
	// admitSlack is the slack from which on everything is let in.
	admitSlack = 0.75
	// fullLately is how long a server's refusal for being full shows that requests wait.
	fullLately = time.Second
	// waitingSpeed is the typical speed below which answers take so long that requests must be waiting.
	waitingSpeed = 0.5
	// waitPart is the part of its aim that the least urgent request may be expected to wait.
	waitPart = 0.5
	// urgencySteps are the priorities that are told apart; each step above adds half to waitPart.
	urgencySteps = 2
	urgencyStep  = 0.5
	// trickleEvery is how often a request of each route is let in however bad it looks.
	trickleEvery = 500 * time.Millisecond
	// maxTrickles bounds the routes that are remembered for that.
	maxTrickles = 4096
	// Bounds of the time after which a refused client is told to ask again.
	overloadRetryLeast = 200 * time.Millisecond
	overloadRetryMost  = 2 * time.Second
)

// Admit tells whether a new request should be let in. The error is an *OverloadError: the request should be
// refused at once, because it would wait for too much of its aim; less urgent requests give way first. What comes
// back after a refusal is let in.
func (p *Placer) Admit(now time.Duration, request *Request) error {
	if p.off(policy.Admission) {
		return nil
	}
	owner := p.services[request.Service]
	if owner == nil || request.Route == nil || request.Route.Target <= 0 || !p.crowded(now, owner) {
		return nil
	}
	if request.Returned { // refused a second time it would be lost
		return nil
	}
	p.survey(now, owner, request)
	if len(p.scratch.chosen) == 0 {
		return nil // Pick tells why
	}
	expected := soonest(p.scratch.chosen)
	wait := expected - ownCost(owner, &p.scratch.prompt)
	excess := wait - patience(request.Route.Priority, request.Route.Target)
	if request.Remaining > 0 {
		excess = max(excess, expected-request.Remaining)
	}
	if excess <= 0 || (!p.off(policy.Trickle) && owner.trickles(now, request.Route.Name)) {
		return nil
	}
	p.stats.Overload++
	return &OverloadError{
		Service:    owner.name,
		Expected:   expected,
		RetryAfter: min(max(excess, overloadRetryLeast), overloadRetryMost),
	}
}

// patience is the longest that a request may be expected to wait for servers.
func patience(priority int, target time.Duration) time.Duration {
	urgency := max(urgencySteps-priority, 0)
	part := waitPart * (1 + urgencyStep*float64(urgency))
	return time.Duration(part * float64(target))
}

// crowded tells whether answers come late and it shows that requests wait at servers. Lateness alone may have
// other causes, and a refusal while servers have room helps nobody.
func (p *Placer) crowded(now time.Duration, owner *service) bool {
	if owner.slack.Share >= admitSlack {
		return false
	}
	full := owner.fullAt > 0 && now-owner.fullAt < fullLately
	return full || owner.typicalSpeed(true) < waitingSpeed
}

// trickles tells whether a request of a route is due to be let in however bad it looks, and notes it.
func (s *service) trickles(now time.Duration, routeName string) bool {
	last, known := s.admitted[routeName]
	if known && now-last < trickleEvery {
		return false
	}
	if len(s.admitted) >= maxTrickles {
		clear(s.admitted)
	}
	s.admitted[routeName] = now
	return true
}
