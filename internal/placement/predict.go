package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Tuning of predictions and of what a choice costs besides.
const (
	// regionWay is the way to another region and back, as long as answers have not told better.
	regionWay = 40 * time.Millisecond
	// rereadPrice is the time that stands for the price of a shared token that must be read anew; the reading itself
	// is in the prediction.
	rereadPrice = 78 * time.Microsecond
	// keptDoubt is the part of the shared tokens kept away from a prompt's homes that counts as read anew: other
	// proxies do not send there, so they may have given way, and a second copy takes memory.
	keptDoubt = 0.3
	// otherZone scales the time of a server in another zone of the region: bytes between zones are priced.
	otherZone = 1.08
	// otherRegion is added to the time of a server in another region: bytes between regions are dear.
	otherRegion = 110 * time.Millisecond
)

// homes are the first two servers, in the order of rendezvous hashing by a prompt's shared parts, that may get
// it. Every proxy of the region sends such prompts to the first, where they are kept, and those that are too
// many for it rather to the second than to any other.
type homes struct {
	first, second *server
}

// homesOf draws a prompt's homes from the servers that are left.
func (p *Placer) homesOf(q *prompt, servers []*server) homes {
	var drawn homes
	if p.off(policy.PromptHomes) || (q.shared == 0 && len(q.chains) == 0) {
		return drawn
	}
	var best, next uint64
	for _, s := range servers {
		weight := mix(uint64(q.key) ^ s.hash)
		switch {
		case drawn.first == nil || weight > best:
			drawn.second, next = drawn.first, best
			drawn.first, best = s, weight
		case drawn.second == nil || weight > next:
			drawn.second, next = s, weight
		}
	}
	if p.off(policy.SecondHome) {
		drawn.second = nil
	}
	return drawn
}

// predict gives what is to be expected of a server for a prompt of which it keeps a number of tokens.
func (p *Placer) predict(now time.Duration, s *server, q *prompt, kept int, as place) candidate {
	toRead := max(q.total-kept, 0)
	cost := p.cost(s, toRead, q.toHold)
	speed := p.speedAt(now, s)
	priced := float64(cost+p.priceOfReading(s, q, kept, as)) / speed
	if s.zone != p.config.Zone && !p.off(policy.ZonePreference) {
		priced *= otherZone
	}
	if s.region != p.region {
		priced += float64(otherRegion)
	}
	return candidate{
		server:   s,
		toRead:   toRead,
		cost:     cost,
		expected: time.Duration(float64(cost)/speed) + s.busy(now),
		priced:   time.Duration(priced) + s.busy(now),
	}
}

// priceOfReading is the time that stands for the price of the shared tokens that a server must read anew.
func (p *Placer) priceOfReading(s *server, q *prompt, kept int, as place) time.Duration {
	if !s.service.model() {
		return 0
	}
	keptShared := min(kept, q.shared)
	var price time.Duration
	if !p.off(policy.RereadPrice) {
		price = time.Duration(q.shared-keptShared) * rereadPrice
	}
	if as == elsewhere && !p.off(policy.KeptDoubt) {
		price += time.Duration(keptDoubt * float64(keptShared) * float64(rereadPrice+s.service.engine.perToken))
	}
	return price
}

// cost is the time to the first event at speed 1, for a prompt of which so many tokens are to be read after
// those of the own attempts that wait there. What does not fit into memory beside the own attempts waits for
// them.
func (p *Placer) cost(s *server, toRead, toHold int) time.Duration {
	var cost time.Duration
	if s.service.model() {
		tokens := s.ahead + toRead
		if memory := s.service.config.Runtime.CacheTokens; memory > 0 {
			tokens += max(s.held+toHold-memory, 0)
		}
		cost = engineBase + s.service.engine.reading(tokens)
	} else {
		capacity := s.capacity
		if capacity <= 0 {
			capacity = defaultCapacity
		}
		cost = s.service.median + s.service.median*time.Duration(s.open)/time.Duration(capacity)
	}
	if s.region != p.region {
		cost += regionWay
	}
	return cost
}

// ownCost is the time that a prompt would take at a server that keeps its shared parts and where nothing waits.
func ownCost(owner *service, q *prompt) time.Duration {
	if !owner.model() {
		return owner.median
	}
	return engineBase + owner.engine.reading(max(q.total-q.shared, 0))
}

// place tells what a server is to a prompt.
type place uint8

const (
	elsewhere place = iota
	secondHome
	firstHome
)

// consider puts a server among the chosen with what it is taken to keep: what this proxy sent there lately,
// or, at the first home, all shared parts, since the other proxies send them there.
func (p *Placer) consider(now time.Duration, s *server, q *prompt, as place) {
	kept, known := 0, true
	if s.markedBy == p.picks {
		kept = s.markedTokens
	}
	if as == firstHome && kept < q.shared {
		kept, known = q.shared, false
	}
	made := p.predict(now, s, q, kept, as)
	made.known, made.likely = known, made.toRead
	if !known && !p.heardAt(now, s, q) {
		made.likely = q.total
	}
	p.scratch.chosen = append(p.scratch.chosen, made)
}

// choose predicts for the servers of a field: the prompt's homes, those that keep a part of it, and this
// proxy's own subset.
func (p *Placer) choose(now time.Duration, field []*server, q *prompt) {
	drawn := p.homesOf(q, field)
	if drawn.first != nil {
		p.consider(now, drawn.first, q, firstHome)
	}
	if drawn.second != nil {
		p.consider(now, drawn.second, q, secondHome)
	}
	inSubset, most := 0, subsetSize
	if p.off(policy.Subset) {
		most = len(field)
	}
	for _, s := range field {
		if s == drawn.first || s == drawn.second {
			continue
		}
		marked := s.markedBy == p.picks && s.markedTokens > 0
		if inSubset >= most && !marked {
			continue
		}
		if !marked {
			inSubset++
		}
		p.consider(now, s, q, elsewhere)
	}
}
