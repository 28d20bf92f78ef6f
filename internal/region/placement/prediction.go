package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

// Constants of the predictions, and of the costs of a choice in addition to its latency.
const (
	// regionRoundTrip is the assumed round-trip time to another region. It is a constant, since the speed estimates of
	// the other region's servers absorb the difference, and a measured round-trip time does not improve the result.
	regionRoundTrip = 40 * time.Millisecond
	// prefillTokenPrice is the price of prefilling a shared token again, expressed as time, in addition to the prefill
	// itself, which is part of the predicted latency. No process knows the actual prices, so the value is fixed at three
	// times initialPerToken.
	prefillTokenPrice = 78 * time.Microsecond
	// otherZoneFactor scales the cost of a server in another zone, since traffic between zones is charged for.
	otherZoneFactor = 1.08
	// otherRegionPenalty is added to the cost of a server in another region, since traffic between regions is expensive.
	otherRegionPenalty = 110 * time.Millisecond
)

// predict returns a candidate with the predicted latency and cost of a prompt at a server that has a number of the
// prompt's tokens cached.
func (p *Placer) predict(now time.Duration, s *server, q *prompt, cached int) candidate {
	prefillTokens := max(q.totalTokens-cached, 0)
	nominal := p.nominalLatency(s, prefillTokens, q.memoryTokens)
	speed := p.speedAt(now, s)
	cost := float64(nominal+p.prefillPrice(s, q, cached)) / speed
	if s.zone != p.config.Zone && !p.off(policy.ZonePreference) {
		cost *= otherZoneFactor
	}
	if s.region != p.region {
		cost += float64(otherRegionPenalty)
	}
	return candidate{
		server:          s,
		prefillTokens:   prefillTokens,
		nominalLatency:  nominal,
		expectedLatency: time.Duration(float64(nominal)/speed) + s.busy(now),
		cost:            time.Duration(cost) + s.busy(now),
	}
}

// prefillPrice returns the price of the shared tokens that a server must prefill again, expressed as time.
func (p *Placer) prefillPrice(s *server, q *prompt, cached int) time.Duration {
	if !s.service.servesModel() || p.off(policy.PrefillPrice) {
		return 0
	}
	return time.Duration(q.sharedTokens-min(cached, q.sharedTokens)) * prefillTokenPrice
}

// nominalLatency returns the time to the first event, at speed 1, of a prompt with prefillTokens to prefill behind this
// proxy's queued attempts at the server. Tokens that do not fit into the server's memory beside this proxy's attempts
// have to wait for those attempts, and are counted as if they had to be prefilled.
func (p *Placer) nominalLatency(s *server, prefillTokens, memoryTokens int) time.Duration {
	var latency time.Duration
	if s.service.servesModel() {
		tokens := s.queuedPrefillTokens + prefillTokens
		if memory := s.service.config.Runtime.CacheTokens; memory > 0 {
			tokens += max(s.reservedTokens+memoryTokens-memory, 0)
		}
		latency = baseLatency + s.service.prefill.duration(tokens)
	} else {
		capacity := s.capacity
		if capacity <= 0 {
			capacity = defaultCapacity
		}
		latency = s.service.median + s.service.median*time.Duration(s.openAttempts)/time.Duration(capacity)
	}
	if s.region != p.region {
		latency += regionRoundTrip
	}
	return latency
}

// idleLatency returns the time to the first event of a prompt at an idle server that has its shared chunks cached.
func idleLatency(owner *service, q *prompt) time.Duration {
	if !owner.servesModel() {
		return owner.median
	}
	return baseLatency + owner.prefill.duration(max(q.totalTokens-q.sharedTokens, 0))
}
