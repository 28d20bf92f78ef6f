package placement

import (
	"time"

	"fieldrelay/internal/policy"
	"fieldrelay/logic/selection"
)

// Tuning of the pick.
const (
	// seedReread is the most shared tokens that a request which seeds an estimate may have to read anew.
	seedReread = 600
	// seedPatience is how long the answer to a seeding attempt holds up the next one.
	seedPatience = time.Second
	// spillStart is by how much another region's servers must be expected to answer sooner, the way there and
	// back included, before requests go there; spillStop is by how much less they come back.
	spillStart = 150 * time.Millisecond
	spillStop  = 50 * time.Millisecond
	// seedWithin: a request seeds an estimate only where its priced time is within so many times the best.
	seedWithin = 2
	// walkWithin: the walk takes servers whose priced time is within so many times the best.
	walkWithin = 2
)

// attempt is one open attempt.
type attempt struct {
	id        AttemptID
	server    *server
	request   Request // without its slices, which belong to the caller
	sentAt    time.Duration
	cost      time.Duration // predicted time to the first event at speed 1
	unread    time.Duration // the same, had the server kept nothing; over cost only when keeping was a guess
	toRead    int
	toHold    int  // tokens that it may take of the server's memory
	alone     bool // nothing else was known to wait there, and how much it has to read was known
	trial     bool // the one after a rest
	throttled bool // counted at the gate to cold servers
	startedAt time.Duration
	started   bool
	before    memory
}

// memory is what was known of a server before an attempt's first event: should the answer turn out to be a
// failure, it counts as one and not as quick.
type memory struct {
	estimate selection.Estimate
	failures int
}

// Pick opens an attempt at the server that the design picks among those that the rules leave. The error is a
// *NoServerError.
func (p *Placer) Pick(now time.Duration, request *Request) (Decision, error) {
	owner := p.services[request.Service]
	if owner == nil {
		return Decision{}, p.none(now, request, ReasonNone)
	}
	if len(p.attempts) >= maxAttempts {
		return Decision{}, p.none(now, request, ReasonFull)
	}
	farthest := p.survey(now, owner, request)
	if len(p.scratch.chosen) == 0 {
		return Decision{}, p.none(now, request, reasons[farthest])
	}
	picked := p.decide(now, owner)
	return p.open(now, request, &p.scratch.chosen[picked]), nil
}

func (p *Placer) none(now time.Duration, request *Request, reason Reason) error {
	p.stats.None[reason]++
	return &NoServerError{Service: request.Service, Reason: reason, RetryAfter: p.retryAfter(now, reason)}
}

// survey finds the servers that may get a request and predicts for them. Without any, it tells how far the
// best of the rest came.
func (p *Placer) survey(now time.Duration, owner *service, request *Request) standing {
	p.picks++
	scratch := &p.scratch
	scratch.prompt.read(request)
	scratch.chosen = scratch.chosen[:0]
	p.keeper.mark(&scratch.prompt, p.picks)
	farthest := p.gather(now, owner, request)
	p.choose(now, p.field(now), &scratch.prompt)
	if len(scratch.chosen) > 0 && len(scratch.near) > 0 && len(scratch.far) > 0 && !p.off(policy.Spill) {
		p.spill(now, owner)
	}
	return farthest
}

// spill adds servers of other regions while they are expected to answer sooner by more than the margin.
func (p *Placer) spill(now time.Duration, owner *service) {
	scratch := &p.scratch
	near := soonest(scratch.chosen)
	margin := spillStart
	if owner.spilling {
		margin = spillStop
	}
	if near <= ownCost(owner, &scratch.prompt)+margin {
		owner.spilling = false
		return
	}
	own := len(scratch.chosen)
	p.choose(now, scratch.far, &scratch.prompt)
	far := soonest(scratch.chosen[own:])
	owner.spilling = near-far > margin
	if !owner.spilling {
		scratch.chosen = scratch.chosen[:own]
	}
}

// soonest is the least predicted time of candidates, of which there is at least one.
func soonest(candidates []candidate) time.Duration {
	least := candidates[0].expected
	for i := range candidates {
		least = min(least, candidates[i].expected)
	}
	return least
}

// decide picks one of the chosen: a server whose estimate is to be seeded or that is due for a trial, or by
// walk or softmax as the slack says.
func (p *Placer) decide(now time.Duration, owner *service) int {
	if i := p.seed(now, owner); i >= 0 {
		p.stats.Seeded++
		return i
	}
	tau, walk := owner.slack.Temperature()
	if walk && !p.off(policy.SortedWalk) {
		p.stats.Walked++
		return p.walk(now, owner)
	}
	p.stats.Drawn++
	if p.off(policy.Softmax) {
		return leastPriced(p.scratch.chosen)
	}
	speeds := p.scratch.speeds[:0]
	for i := range p.scratch.chosen {
		speeds = append(speeds, 1/p.scratch.chosen[i].priced.Seconds())
	}
	p.scratch.speeds = speeds
	return selection.Softmax(speeds, tau, p.random.Float64())
}

// leastPriced is the place of the candidate whose priced time is least.
func leastPriced(candidates []candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].priced < candidates[least].priced {
			least = i
		}
	}
	return least
}

// seed gives a chosen server that needs a first answer or a trial, one at a time and only for a request that
// need not read much anew there; below 0: none.
func (p *Placer) seed(now time.Duration, owner *service) int {
	if p.off(policy.Seeding) {
		return -1
	}
	if owner.seedOut != nil && now-owner.seeding < seedPatience {
		return -1
	}
	limit := time.Duration(-1) // not reckoned yet
	for i := range p.scratch.chosen {
		c := &p.scratch.chosen[i]
		fresh := !c.server.estimate.Seeded() && c.server.open == 0
		if fresh && limit < 0 {
			limit = seedWithin * p.scratch.chosen[leastPriced(p.scratch.chosen)].priced
		}
		fresh = fresh && c.priced <= limit
		if !fresh && !c.server.wantsTrial(now) {
			continue
		}
		if !owner.model() || c.toRead-seedReread <= p.scratch.prompt.total-p.scratch.prompt.shared {
			return i
		}
	}
	return -1
}

// walk picks by the sorted walk among the chosen whose priced time is not far from the best.
func (p *Placer) walk(now time.Duration, owner *service) int {
	least := p.scratch.chosen[0].priced
	for i := range p.scratch.chosen {
		least = min(least, p.scratch.chosen[i].priced)
	}
	servers := p.scratch.servers[:0]
	for i := range p.scratch.chosen {
		if p.scratch.chosen[i].priced <= walkWithin*least {
			servers = append(servers, p.scratch.chosen[i].server)
		}
	}
	p.scratch.servers = servers
	speed := func(s *server) float64 { return p.speedAt(now, s) }
	at := owner.walk.Pick(owner.servers, servers, speed)
	for i := range p.scratch.chosen {
		if p.scratch.chosen[i].server == at {
			return i
		}
	}
	return 0
}

// open opens an attempt and charges its server's account.
func (p *Placer) open(now time.Duration, request *Request, c *candidate) Decision {
	s := c.server
	a := p.newAttempt(now, request, c)
	p.attempts[a.id] = a
	if a.trial {
		s.trying = true
	}
	if !s.estimate.Seeded() || a.trial {
		s.service.seeding, s.service.seedOut = now, a
	}
	if s.cold(now) {
		p.gate.Take(now, s.asCold())
		a.throttled = true
		p.stats.Cold++
	}
	s.open++
	s.held += a.toHold
	a.alone = c.known && s.ahead == 0 && s.region == p.region
	s.ahead += a.toRead // what is likely
	s.unanswered = append(s.unanswered, a)
	if s.service.model() && len(request.Chunks) > 0 && !p.off(policy.PrefixCache) {
		p.keeper.add(s, &p.scratch.prompt, p.keptCapacity(s.service))
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
		Expected:       c.expected,
		PrefillTokens:  c.toRead,
		Announce:       p.announcement(now, c),
		MaxConnections: p.maxConnections(s.service),
	}
}

func (p *Placer) newAttempt(now time.Duration, request *Request, c *candidate) *attempt {
	var a *attempt
	if last := len(p.spare) - 1; last >= 0 {
		a, p.spare = p.spare[last], p.spare[:last]
	} else {
		a = &attempt{}
	}
	p.lastID++
	*a = attempt{
		id:      p.lastID,
		server:  c.server,
		request: *request,
		sentAt:  now,
		cost:    c.cost,
		unread:  c.cost,
		toRead:  c.likely,
		toHold:  p.scratch.prompt.toHold,
		trial:   c.server.wantsTrial(now),
	}
	a.request.Chunks, a.request.Excluded = nil, nil
	if !c.known && c.server.service.model() {
		a.unread += c.server.service.engine.reading(p.scratch.prompt.total - c.toRead)
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
	if p.permitted(now, s, &a.request) != standingReady || !p.homeNow(a) {
		return false
	}
	if s.cold(now) && !a.throttled {
		if !p.gate.Allows(now, s.asCold(), false) {
			return false
		}
		p.gate.Take(now, s.asCold())
		a.throttled = true
	}
	return true
}

// homeNow tells whether the route's homes in the configuration of now allow the attempt's server too.
func (p *Placer) homeNow(a *attempt) bool {
	if a.request.Route == nil {
		return true
	}
	current, ok := p.table.Route(a.request.Route.Name)
	return !ok || current.AllowsRegion(a.server.region)
}
