package placement

import (
	"time"

	"fieldrelay/internal/policy"
	"fieldrelay/logic/selection"
)

// Tuning of the pick.
const (
	// maxSeedPrefill is the most shared tokens that a request which seeds an estimate may have to read anew.
	maxSeedPrefill = 600
	// seedTimeout is how long the answer to a seeding attempt holds up the next one.
	seedTimeout = time.Second
	// spillStartMargin is by how much another region's servers must be expected to answer sooner, the way there and
	// back included, before requests go there; spillStopMargin is by how much less they come back.
	spillStartMargin = 150 * time.Millisecond
	spillStopMargin  = 50 * time.Millisecond
	// seedCostFactor: a request seeds an estimate only where its priced time is within so many times the best.
	seedCostFactor = 2
	// walkCostFactor: the walk takes servers whose priced time is within so many times the best.
	walkCostFactor = 2
)

// attempt is one open attempt.
type attempt struct {
	id                 AttemptID
	server             *server
	request            Request // without its slices, which belong to the caller
	sentAt             time.Duration
	nominalLatency     time.Duration // predicted time to the first event at speed 1
	uncachedLatency    time.Duration // the same, had the server kept nothing; over cost only when keeping was a guess
	prefillTokens      int
	memoryTokens       int  // tokens that it may take of the server's memory
	unqueued           bool // nothing else was known to wait there, and how much it has to read was known
	trial              bool // the one after a rest
	countedBySlowStart bool // counted at the gate to cold servers
	startedAt          time.Duration
	started            bool
	beforeStart        serverSnapshot
}

// memory is what was known of a server before an attempt's first event: should the answer turn out to be a
// failure, it counts as one and not as quick.
type serverSnapshot struct {
	estimate selection.Estimate
	failures int
}

// Pick opens an attempt at the server that the design picks among those that the rules leave. The error is a
// *NoServerError.
func (p *Placer) Pick(now time.Duration, request *Request) (Decision, error) {
	owner := p.services[request.Service]
	if owner == nil {
		return Decision{}, p.noServer(now, request, ReasonNone)
	}
	if len(p.attempts) >= maxAttempts {
		return Decision{}, p.noServer(now, request, ReasonFull)
	}
	farthest := p.findCandidates(now, owner, request)
	if len(p.buffers.candidates) == 0 {
		return Decision{}, p.noServer(now, request, noServerReasons[farthest])
	}
	picked := p.chooseCandidate(now, owner)
	return p.openAttempt(now, request, &p.buffers.candidates[picked]), nil
}

func (p *Placer) noServer(now time.Duration, request *Request, reason Reason) error {
	p.stats.None[reason]++
	return &NoServerError{Service: request.Service, Reason: reason, RetryAfter: p.retryAfter(now, reason)}
}

// survey finds the servers that may get a request and predicts for them. Without any, it tells how far the
// best of the rest came.
func (p *Placer) findCandidates(now time.Duration, owner *service, request *Request) eligibility {
	p.pickNumber++
	scratch := &p.buffers
	scratch.prompt.reset(request)
	scratch.candidates = scratch.candidates[:0]
	p.prefixCache.match(&scratch.prompt, p.pickNumber)
	farthest := p.classifyServers(now, owner, request)
	p.addCandidates(now, p.preferredServers(now), &scratch.prompt)
	if len(scratch.candidates) > 0 && len(scratch.local) > 0 && len(scratch.remote) > 0 && !p.off(policy.Spill) {
		p.spillOver(now, owner)
	}
	return farthest
}

// spill adds servers of other regions while they are expected to answer sooner by more than the margin.
func (p *Placer) spillOver(now time.Duration, owner *service) {
	scratch := &p.buffers
	near := minExpectedLatency(scratch.candidates)
	margin := spillStartMargin
	if owner.spillingOver {
		margin = spillStopMargin
	}
	if near <= idleLatency(owner, &scratch.prompt)+margin {
		owner.spillingOver = false
		return
	}
	own := len(scratch.candidates)
	p.addCandidates(now, scratch.remote, &scratch.prompt)
	far := minExpectedLatency(scratch.candidates[own:])
	owner.spillingOver = near-far > margin
	if !owner.spillingOver {
		scratch.candidates = scratch.candidates[:own]
	}
}

// soonest is the least predicted time of candidates, of which there is at least one.
func minExpectedLatency(candidates []candidate) time.Duration {
	least := candidates[0].expectedLatency
	for i := range candidates {
		least = min(least, candidates[i].expectedLatency)
	}
	return least
}

// decide picks one of the chosen: a server whose estimate is to be seeded or that is due for a trial, or by
// walk or softmax as the slack says.
func (p *Placer) chooseCandidate(now time.Duration, owner *service) int {
	if i := p.seedCandidate(now, owner); i >= 0 {
		p.stats.Seeded++
		return i
	}
	tau, walk := owner.slack.Temperature()
	if walk && !p.off(policy.SortedWalk) {
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

// cheapest is the place of the candidate whose priced time is least.
func cheapest(candidates []candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].cost < candidates[least].cost {
			least = i
		}
	}
	return least
}

// seed gives a chosen server that needs a first answer or a trial, one at a time and only for a request that
// need not read much anew there; below 0: none.
func (p *Placer) seedCandidate(now time.Duration, owner *service) int {
	if p.off(policy.Seeding) {
		return -1
	}
	if owner.seedAttempt != nil && now-owner.seedSentAt < seedTimeout {
		return -1
	}
	limit := time.Duration(-1) // not reckoned yet
	for i := range p.buffers.candidates {
		c := &p.buffers.candidates[i]
		fresh := !c.server.estimate.Seeded() && c.server.openAttempts == 0
		if fresh && limit < 0 {
			limit = seedCostFactor * p.buffers.candidates[cheapest(p.buffers.candidates)].cost
		}
		fresh = fresh && c.cost <= limit
		if !fresh && !c.server.trialDue(now) {
			continue
		}
		if !owner.servesModel() || c.prefillTokens-maxSeedPrefill <= p.buffers.prompt.totalTokens-p.buffers.prompt.sharedTokens {
			return i
		}
	}
	return -1
}

// walk picks by the sorted walk among the chosen whose priced time is not far from the best.
func (p *Placer) walkCandidate(now time.Duration, owner *service) int {
	least := p.buffers.candidates[0].cost
	for i := range p.buffers.candidates {
		least = min(least, p.buffers.candidates[i].cost)
	}
	servers := p.buffers.walkServers[:0]
	for i := range p.buffers.candidates {
		if p.buffers.candidates[i].cost <= walkCostFactor*least {
			servers = append(servers, p.buffers.candidates[i].server)
		}
	}
	p.buffers.walkServers = servers
	speed := func(s *server) float64 { return p.speedAt(now, s) }
	at := owner.walk.Pick(owner.servers, servers, speed)
	for i := range p.buffers.candidates {
		if p.buffers.candidates[i].server == at {
			return i
		}
	}
	return 0
}

// open opens an attempt and charges its server's account.
func (p *Placer) openAttempt(now time.Duration, request *Request, c *candidate) Decision {
	s := c.server
	a := p.newAttempt(now, request, c)
	p.attempts[a.id] = a
	if a.trial {
		s.trialInFlight = true
	}
	if !s.estimate.Seeded() || a.trial {
		s.service.seedSentAt, s.service.seedAttempt = now, a
	}
	if s.warmingUp(now) {
		p.slowStart.Take(now, s.warmingServer())
		a.countedBySlowStart = true
		p.stats.Cold++
	}
	s.openAttempts++
	s.reservedTokens += a.memoryTokens
	a.unqueued = c.prefillKnown && s.queuedPrefillTokens == 0 && s.region == p.region
	s.queuedPrefillTokens += a.prefillTokens // what is likely
	s.unanswered = append(s.unanswered, a)
	if s.service.servesModel() && len(request.Chunks) > 0 && !p.off(policy.PrefixCache) {
		p.prefixCache.insert(s, &p.buffers.prompt, p.prefixCacheTokens(s.service))
	}
	if s.region != p.region {
		p.stats.OtherRegion++
	}
	p.stats.Attempts++
	return Decision{
		Attempt:        a.id,
		ServerID:       s.id,
		Address:        s.address,
		Zone:           s.zone,
		Region:         s.region,
		Expected:       c.expectedLatency,
		PrefillTokens:  c.prefillTokens,
		Announce:       p.announce(now, c),
		MaxConnections: p.maxConnections(s.service),
	}
}

func (p *Placer) newAttempt(now time.Duration, request *Request, c *candidate) *attempt {
	var a *attempt
	if last := len(p.freeAttempts) - 1; last >= 0 {
		a, p.freeAttempts = p.freeAttempts[last], p.freeAttempts[:last]
	} else {
		a = &attempt{}
	}
	p.lastID++
	*a = attempt{
		id:              p.lastID,
		server:          c.server,
		request:         *request,
		sentAt:          now,
		nominalLatency:  c.nominalLatency,
		uncachedLatency: c.nominalLatency,
		prefillTokens:   c.likelyPrefillTokens,
		memoryTokens:    p.buffers.prompt.memoryTokens,
		trial:           c.server.trialDue(now),
	}
	a.request.Chunks, a.request.Excluded = nil, nil
	if !c.prefillKnown && c.server.service.servesModel() {
		a.uncachedLatency += c.server.service.prefill.duration(p.buffers.prompt.totalTokens - c.prefillTokens)
	}
	return a
}

// StillAllowed tells whether an attempt may be sent: to be asked just before its first byte. If not, the
// attempt is to be finished as NotSent and a server picked anew.
func (p *Placer) StillAllowed(now time.Duration, id AttemptID) bool {
	a := p.attempts[id]
	if a == nil {
		return false
	}
	s := a.server
	if p.mandatoryEligibility(now, s, &a.request) != eligible || !p.stillInHomeRegions(a) {
		return false
	}
	if s.warmingUp(now) && !a.countedBySlowStart {
		if !p.slowStart.Allows(now, s.warmingServer(), false) {
			return false
		}
		p.slowStart.Take(now, s.warmingServer())
		a.countedBySlowStart = true
	}
	return true
}

// stillInHomeRegions tells whether the route's homes in the configuration of now allow the attempt's server too.
func (p *Placer) stillInHomeRegions(a *attempt) bool {
	if a.request.Route == nil {
		return true
	}
	current, ok := p.table.Route(a.request.Route.Name)
	return !ok || current.AllowsRegion(a.server.region)
}
