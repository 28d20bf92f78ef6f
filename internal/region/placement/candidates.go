package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/splitmix"
)

const (
	// subsetSize is the number of servers of a region over which a proxy usually distributes a service's requests. The
	// bound keeps the speed estimates recent and the connections few, and the cost of a pick independent of the region's
	// size. Servers that have a prefix of the prompt cached are candidates in addition.
	subsetSize = 12
	// Requests spill over to another region once its servers are expected to answer sooner than the local servers by more
	// than spillStartMargin, the round trip included, and stop doing so when the difference falls below
	// spillStopMargin.
	spillStartMargin = 150 * time.Millisecond
	spillStopMargin  = 50 * time.Millisecond
)

// candidate is a server to which the request may be sent, with the predictions for it.
type candidate struct {
	server         *server
	prefillTokens  int           // prompt tokens that the server has to prefill
	nominalLatency time.Duration // time to the first event at speed 1
	// likelyPrefillTokens is the most likely number of prompt tokens to prefill: prefillTokens, or all tokens if the
	// prefix is only assumed to be cached and no announcement confirms that.
	likelyPrefillTokens int
	// prefillKnown: prefillTokens follows from this proxy's own attempts, not from the assumption that other proxies
	// send the prompt's shared chunks to the affinity server.
	prefillKnown    bool
	expectedLatency time.Duration // predicted time to the first event
	cost            time.Duration // expectedLatency plus the other costs of the choice, expressed as time
}

// pickBuffers holds slices that are reused between picks, so that a pick does not allocate. Their content is valid for
// one pick.
type pickBuffers struct {
	prompt      prompt
	local       []*server // eligible servers in this proxy's region
	remote      []*server // eligible servers in other regions
	warmingUp   []*server // servers that the slow start limiter excludes
	coolingDown []*server // servers that are ejected or avoided
	candidates  []candidate
	walkServers []*server
	speeds      []float64
	blocked     []*lane // lanes whose first request found no server
}

// findCandidates fills the buffers with the candidates for a request and the predictions for them. It returns the best
// eligibility of any server, which explains an empty result.
func (p *Placer) findCandidates(now time.Duration, owner *service, request *Request) eligibility {
	p.pickNumber++
	buffers := &p.buffers
	buffers.prompt.reset(request)
	buffers.candidates = buffers.candidates[:0]
	p.prefixCache.match(&buffers.prompt, p.pickNumber)
	best := p.classifyServers(now, owner, request)
	p.addCandidates(now, p.preferredServers(now), &buffers.prompt)
	if len(buffers.candidates) > 0 && len(buffers.local) > 0 && len(buffers.remote) > 0 && !p.off(policy.Spill) {
		p.spillOver(now, owner)
	}
	return best
}

// addCandidates adds some of the servers to the candidates: the affinity server of the prompt, the servers that have a
// prefix of the prompt cached, and this proxy's subset.
func (p *Placer) addCandidates(now time.Duration, servers []*server, q *prompt) {
	byAffinity := p.affinityServer(q, servers)
	if byAffinity != nil {
		p.addCandidate(now, byAffinity, q, true)
	}
	inSubset, limit := 0, subsetSize
	if p.off(policy.Subset) {
		limit = len(servers)
	}
	for _, s := range servers {
		if s == byAffinity {
			continue
		}
		cached := s.matchedPick == p.pickNumber && s.matchedTokens > 0
		if inSubset >= limit && !cached {
			continue
		}
		if !cached {
			inSubset++
		}
		p.addCandidate(now, s, q, false)
	}
}

// addCandidate adds a server to the candidates. The server is assumed to have cached the prefixes that this proxy sent
// it recently. The affinity server is assumed to have cached all shared chunks, since the other proxies send them
// there.
func (p *Placer) addCandidate(now time.Duration, s *server, q *prompt, hasAffinity bool) {
	cached, known := 0, true
	if s.matchedPick == p.pickNumber {
		cached = s.matchedTokens
	}
	if hasAffinity && cached < q.sharedTokens {
		cached, known = q.sharedTokens, false
	}
	c := p.predict(now, s, q, cached)
	c.prefillKnown, c.likelyPrefillTokens = known, c.prefillTokens
	if !known && !p.prefixAnnouncedAt(now, s, q) {
		c.likelyPrefillTokens = q.totalTokens
	}
	p.buffers.candidates = append(p.buffers.candidates, c)
}

// affinityServer returns the preferred server for the prompt's shared chunks: the one with the highest weight by
// rendezvous hashing of those chunks. Every proxy of the region chooses the same server, so that the prefix is cached
// there. The result is nil for a prompt without chunks.
func (p *Placer) affinityServer(q *prompt, servers []*server) *server {
	if p.off(policy.PromptAffinity) || len(q.prefixes) == 0 {
		return nil
	}
	var highestServer *server
	var highest uint64
	for _, s := range servers {
		if weight := splitmix.Mix(uint64(q.affinityKey) ^ s.hash); highestServer == nil || weight > highest {
			highestServer, highest = s, weight
		}
	}
	return highestServer
}

// spillOver adds servers of other regions to the candidates while they are expected to answer sooner by more than a
// margin. The two margins provide hysteresis, so that requests do not alternate between regions.
func (p *Placer) spillOver(now time.Duration, owner *service) {
	buffers := &p.buffers
	local := minExpectedLatency(buffers.candidates)
	margin := spillStartMargin
	if owner.spillingOver {
		margin = spillStopMargin
	}
	if local <= idleLatency(owner, &buffers.prompt)+margin {
		owner.spillingOver = false
		return
	}
	localCount := len(buffers.candidates)
	p.addCandidates(now, buffers.remote, &buffers.prompt)
	remote := minExpectedLatency(buffers.candidates[localCount:])
	owner.spillingOver = local-remote > margin
	if !owner.spillingOver {
		buffers.candidates = buffers.candidates[:localCount]
	}
}

// minExpectedLatency returns the lowest expected latency of the candidates, of which there must be at least one.
func minExpectedLatency(candidates []candidate) time.Duration {
	least := candidates[0].expectedLatency
	for i := range candidates {
		least = min(least, candidates[i].expectedLatency)
	}
	return least
}

// cheapest returns the index of the candidate with the lowest cost.
func cheapest(candidates []candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].cost < candidates[least].cost {
			least = i
		}
	}
	return least
}
