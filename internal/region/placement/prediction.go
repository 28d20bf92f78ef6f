package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

// prefillTokenPrice is the price of prefilling a shared token again, expressed as time, in addition to the prefill itself,
// which is part of the predicted latency: three times initialPerToken.
const prefillTokenPrice = 78 * time.Microsecond

// predict returns a candidate with the predicted latency and cost of a prompt at a server that has a number of the
// prompt's tokens cached.
func (p *Placer) predict(now time.Duration, s *server, q *prompt, cached int) candidate {
	prefillTokens := max(q.totalTokens-cached, 0)
	nominal := p.nominalLatency(s, prefillTokens, q.memoryTokens)
	speed := p.speedAt(now, s)
	expected := time.Duration(float64(nominal)/speed) + s.busy(now)
	return candidate{
		server:          s,
		prefillTokens:   prefillTokens,
		nominalLatency:  nominal,
		expectedLatency: expected,
		cost:            expected + time.Duration(float64(p.prefillPrice(s, q, cached))/speed),
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
	return latency + p.extraRoundTrip(s)
}

// idleLatency returns the time to the first event of a prompt at an idle server that has its shared chunks cached.
func idleLatency(owner *service, q *prompt) time.Duration {
	if !owner.servesModel() {
		return owner.median
	}
	return baseLatency + owner.prefill.duration(max(q.totalTokens-q.sharedTokens, 0))
}
