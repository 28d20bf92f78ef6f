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
	// otherZone scales the time of a server in another zone of the region: bytes between zones are priced.
	otherZone = 1.08
	// otherRegion is added to the time of a server in another region: bytes between regions are dear.
	otherRegion = 110 * time.Millisecond
)

// predict gives what is to be expected of a server for a prompt of which it keeps a number of tokens.
func (p *Placer) predict(now time.Duration, s *server, q *prompt, kept int) candidate {
	toRead := max(q.total-kept, 0)
	cost := p.cost(s, toRead, q.toHold)
	speed := p.speedAt(now, s)
	priced := float64(cost+p.priceOfReading(s, q, kept)) / speed
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
func (p *Placer) priceOfReading(s *server, q *prompt, kept int) time.Duration {
	if !s.service.model() || p.off(policy.PrefillPrice) {
		return 0
	}
	return time.Duration(q.shared-min(kept, q.shared)) * rereadPrice
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
