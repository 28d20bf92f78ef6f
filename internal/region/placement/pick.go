package placement

import (
	"time"

	"fieldrelay/internal/common/selection"
	"fieldrelay/internal/region/policy"
)

const (
	// maxSeedPrefill is the maximum number of shared tokens that the server may have to prefill again for a request that
	// seeds its speed estimate.
	maxSeedPrefill = 600
	// seedTimeout is how long an unanswered seeding attempt prevents the next one.
	seedTimeout = time.Second
	// seedCostFactor bounds the cost of a server whose estimate a request seeds, as a multiple of the lowest cost.
	seedCostFactor = 2
	// walkCostFactor bounds the cost of a server that the sorted walk may take, as a multiple of the lowest cost.
	walkCostFactor = 2
)

// Pick selects a server among those that the rules allow, and opens an attempt at it. Its error is a *NoServerError.
func (p *Placer) Pick(now time.Duration, request *Request) (Decision, error) {
	return p.pick(now, request, false)
}

// pick selects a server as Pick does. With onlyFree it selects none while the request would queue at each of them.
func (p *Placer) pick(now time.Duration, request *Request, onlyFree bool) (Decision, error) {
	owner := p.services[request.Service]
	if owner == nil {
		return Decision{}, p.noServer(now, request, ReasonNoServer)
	}
	if len(p.attempts) >= maxAttempts {
		return Decision{}, p.noServer(now, request, ReasonFull)
	}
	best := p.findCandidates(now, owner, request)
	if len(p.buffers.candidates) == 0 {
		return Decision{}, p.noServer(now, request, noServerReasons[best])
	}
	if onlyFree && p.queuesEverywhere(now, request) {
		return Decision{}, p.noServer(now, request, ReasonFull)
	}
	picked := p.chooseCandidate(now, owner)
	return p.openAttempt(now, request, &p.buffers.candidates[picked]), nil
}

// chooseCandidate returns the index of the candidate to which the request is sent: one whose speed estimate is to be
// seeded or whose trial is due, otherwise one chosen by the sorted walk or by softmax, depending on the slack.
func (p *Placer) chooseCandidate(now time.Duration, owner *service) int {
	if i := p.seedCandidate(now, owner); i >= 0 {
		p.stats.Seeded++
		return i
	}
	tau, walk := owner.slack.Temperature()
	if walk && !p.off(policy.SortedWalk) && !p.queuesShown() {
		p.stats.Walked++
		return p.walkCandidate(now, owner)
	}
	p.stats.Drawn++
	if p.off(policy.Softmax) {
		return cheapest(p.buffers.candidates)
	}
	speeds := p.buffers.speeds[:0]
	for i := range p.buffers.candidates {
		speeds = append(speeds, 1/p.buffers.candidates[i].cost.Seconds())
	}
	p.buffers.speeds = speeds
	return selection.Softmax(speeds, tau, p.random.Float64())
}

// seedCandidate returns the index of a candidate that needs a first speed sample or whose trial is due, or -1 if there
// is none. A service has at most one such attempt in flight, and only a request with few shared tokens to prefill again
// is used for it.
func (p *Placer) seedCandidate(now time.Duration, owner *service) int {
	if p.off(policy.Seeding) {
		return -1
	}
	if owner.seedAttempt != nil && now-owner.seedSentAt < seedTimeout {
		return -1
	}
	limit := time.Duration(-1) // not computed yet
	for i := range p.buffers.candidates {
		c := &p.buffers.candidates[i]
		unseeded := !c.server.estimate.Seeded() && c.server.openAttempts == 0
		if unseeded && limit < 0 {
			limit = seedCostFactor * p.buffers.candidates[cheapest(p.buffers.candidates)].cost
		}
		unseeded = unseeded && c.cost <= limit
		if !unseeded && !c.server.trialDue(now) {
			continue
		}
		prompt := &p.buffers.prompt
		if !owner.servesModel() || c.prefillTokens-maxSeedPrefill <= prompt.totalTokens-prompt.sharedTokens {
			return i
		}
	}
	return -1
}

// walkCandidate returns the index of the candidate that the sorted walk takes among those whose cost is close to the
// lowest.
func (p *Placer) walkCandidate(now time.Duration, owner *service) int {
	candidates := p.buffers.candidates
	least := candidates[cheapest(candidates)].cost
	servers := p.buffers.walkServers[:0]
	for i := range candidates {
		if candidates[i].cost <= walkCostFactor*least {
			servers = append(servers, candidates[i].server)
		}
	}
	p.buffers.walkServers = servers
	speed := func(s *server) float64 { return p.speedAt(now, s) }
	picked := owner.walk.Pick(owner.servers, servers, speed)
	for i := range candidates {
		if candidates[i].server == picked {
			return i
		}
	}
	return 0
}
