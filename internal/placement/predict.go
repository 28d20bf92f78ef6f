package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Tuning of predictions and of what a choice costs besides.
const (
	// regionRoundTrip is the way to another region and back, as long as answers have not told better.
	regionRoundTrip = 40 * time.Millisecond
	// prefillTokenPrice is the time that stands for the price of a shared token that must be read anew; the reading itself
	// is in the prediction.
	prefillTokenPrice = 78 * time.Microsecond
	// otherZoneFactor scales the time of a server in another zone of the region: bytes between zones are priced.
	otherZoneFactor = 1.08
	// otherRegionPenalty is added to the time of a server in another region: bytes between regions are dear.
	otherRegionPenalty = 110 * time.Millisecond
)

// predict gives what is to be expected of a server for a prompt of which it keeps a number of tokens.
func (p *Placer) predict(now time.Duration, s *server, q *prompt, kept int) candidate {
	toRead := max(q.totalTokens-kept, 0)
	cost := p.nominalLatency(s, toRead, q.memoryTokens)
	speed := p.speedAt(now, s)
	priced := float64(cost+p.prefillPrice(s, q, kept)) / speed
	if s.zone != p.config.Zone && !p.off(policy.ZonePreference) {
		priced *= otherZoneFactor
	}
	if s.region != p.region {
		priced += float64(otherRegionPenalty)
	}
	return candidate{
		server:          s,
		prefillTokens:   toRead,
		nominalLatency:  cost,
		expectedLatency: time.Duration(float64(cost)/speed) + s.busy(now),
		cost:            time.Duration(priced) + s.busy(now),
	}
}

// prefillPrice is the time that stands for the price of the shared tokens that a server must read anew.
func (p *Placer) prefillPrice(s *server, q *prompt, kept int) time.Duration {
	if !s.service.servesModel() || p.off(policy.PrefillPrice) {
		return 0
	}
	return time.Duration(q.sharedTokens-min(kept, q.sharedTokens)) * prefillTokenPrice
}

// cost is the time to the first event at speed 1, for a prompt of which so many tokens are to be read after
// those of the own attempts that wait there. What does not fit into memory beside the own attempts waits for
// them.
func (p *Placer) nominalLatency(s *server, toRead, toHold int) time.Duration {
	var cost time.Duration
	if s.service.servesModel() {
		tokens := s.queuedPrefillTokens + toRead
		if memory := s.service.config.Runtime.CacheTokens; memory > 0 {
			tokens += max(s.reservedTokens+toHold-memory, 0)
		}
		cost = baseLatency + s.service.prefill.duration(tokens)
	} else {
		capacity := s.capacity
		if capacity <= 0 {
			capacity = defaultCapacity
		}
		cost = s.service.median + s.service.median*time.Duration(s.openAttempts)/time.Duration(capacity)
	}
	if s.region != p.region {
		cost += regionRoundTrip
	}
	return cost
}

// idleLatency is the time that a prompt would take at a server that keeps its shared parts and where nothing waits.
func idleLatency(owner *service, q *prompt) time.Duration {
	if !owner.servesModel() {
		return owner.median
	}
	return baseLatency + owner.prefill.duration(max(q.totalTokens-q.sharedTokens, 0))
}
