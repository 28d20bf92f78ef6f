package placement

import (
	"fmt"
	"time"

	"fieldrelay/internal/region/policy"
)

// Constants of admission control, which rejects requests only while answers are late and requests queue at servers.
const (
	// admitAllSlack is the slack (fraction of requests answered in time) at and above which every request is admitted.
	admitAllSlack = 0.75
	// rejectionWindow is how long requests are assumed to queue at servers after a server rejected a request because the
	// server was full.
	rejectionWindow = time.Second
	// queueingSpeed is the typical server speed below which requests are assumed to queue at servers: answers then take
	// more than twice the predicted time.
	queueingSpeed = 0.5
	// waitFraction is the longest expected wait at which a request of the least urgent priority is admitted, as a
	// fraction of its latency target.
	waitFraction = 0.5
	// urgencySteps is the number of priority levels above the least urgent. Each of them raises that longest wait by
	// urgencyWaitStep times waitFraction.
	urgencySteps    = 2
	urgencyWaitStep = 0.5
	// trickleInterval is the interval at which one request of each route is admitted regardless of its expected wait, so
	// that no route is starved.
	trickleInterval = 500 * time.Millisecond
	// maxTrickledRoutes bounds the number of routes for which the time of the last admission by trickleInterval is stored.
	maxTrickledRoutes = 4096
	// minOverloadRetry and maxOverloadRetry bound the RetryAfter of an OverloadError.
	minOverloadRetry = 200 * time.Millisecond
	maxOverloadRetry = 2 * time.Second
)

// OverloadError reports that a request should be rejected immediately because its expected wait is too long.
type OverloadError struct {
	Service    string
	Expected   time.Duration // predicted time to the first event at the best server
	RetryAfter time.Duration // time after which capacity is likely to be available
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("placement: request for service %s rejected due to overload: first event expected after %v", e.Service, e.Expected)
}

// Admit decides whether a new request is admitted. Its error is an *OverloadError: the request should be rejected
// immediately, because it is expected to wait longer than its priority and its latency target allow, or to miss its
// deadline. Less urgent requests are rejected first. A retry of a rejected request is always admitted.
func (p *Placer) Admit(now time.Duration, request *Request) error {
	if p.off(policy.Admission) {
		return nil
	}
	owner := p.services[request.Service]
	if owner == nil || request.Route == nil || request.Route.Target <= 0 || !p.overloaded(now, owner) {
		return nil
	}
	if request.IsRetry { // a second rejection would lose the request
		return nil
	}
	p.findCandidates(now, owner, request)
	if len(p.buffers.candidates) == 0 {
		return nil // Pick will return the reason
	}
	expected := minExpectedLatency(p.buffers.candidates)
	wait := expected - idleLatency(owner, &p.buffers.prompt)
	excess := wait - maxExpectedWait(request.Route.Priority, request.Route.Target)
	if request.Deadline > 0 {
		excess = max(excess, now+expected-request.Deadline)
	}
	if excess <= 0 || (!p.off(policy.Trickle) && owner.admitTrickle(now, request.Route.Name)) {
		return nil
	}
	p.stats.Overloaded++
	return &OverloadError{
		Service:    owner.name,
		Expected:   expected,
		RetryAfter: min(max(excess, minOverloadRetry), maxOverloadRetry),
	}
}

// maxExpectedWait returns the longest expected wait at which a request of a priority and a latency target is admitted.
func maxExpectedWait(priority int, target time.Duration) time.Duration {
	urgency := max(urgencySteps-priority, 0)
	fraction := waitFraction * (1 + urgencyWaitStep*float64(urgency))
	return time.Duration(fraction * float64(target))
}

// overloaded reports whether answers are late and there is evidence that requests queue at servers. Late answers alone
// can have other causes, and rejecting requests while servers have capacity gains nothing.
func (p *Placer) overloaded(now time.Duration, owner *service) bool {
	if owner.slack.Fraction >= admitAllSlack {
		return false
	}
	rejected := owner.rejectedAt > 0 && now-owner.rejectedAt < rejectionWindow
	return rejected || owner.typicalSpeed(true) < queueingSpeed
}

// admitTrickle reports whether a request of a route is due to be admitted regardless of its expected wait, and if so
// records the admission.
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
