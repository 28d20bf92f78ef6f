package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/splitmix"
)

const (
	// subsetSize is the number of servers of a region that a proxy usually spreads a service's requests over: its
	// estimates stay fresh, its connections few, and a pick does not cost more in a larger region. Servers that have a
	// prefix of the prompt cached come in addition.
	subsetSize = 12
	// Requests go to another region once its servers are expected to answer sooner than those of the own region by more
	// than spillStartMargin, the round trip included, and come back when they do so by less than spillStopMargin.
	spillStartMargin = 150 * time.Millisecond
	spillStopMargin  = 50 * time.Millisecond
)

// candidate is a server that may get the request, with the predictions for it.
type candidate struct {
	server         *server
	prefillTokens  int           // prompt tokens that it has to prefill
	nominalLatency time.Duration // time to the first event at speed 1
	// likelyPrefillTokens is the most likely number of prompt tokens to prefill: prefillTokens, or all tokens if nothing
	// confirms an assumed cached prefix.
	likelyPrefillTokens int
	// prefillKnown: prefillTokens follows from this proxy's own attempts, not from where others are expected to send.
	prefillKnown    bool
	expectedLatency time.Duration // predicted time to the first event
	cost            time.Duration // expectedLatency plus what the choice costs besides, expressed as time
}

// pickBuffers holds slices that picks reuse, so that a pick does not allocate. Their content is valid for one pick.
type pickBuffers struct {
	prompt      prompt
	local       []*server // eligible in the own region
	remote      []*server // eligible in other regions
	warmingUp   []*server // held back by the slow start limiter
	coolingDown []*server
	candidates  []candidate
	walkServers []*server
	speeds      []float64
}

// findCandidates fills the buffers with the servers that may get a request and the predictions for them. It returns the
// best eligibility of any server, which explains an empty result.
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

// addCandidates makes candidates of some of the servers: the affinity server of the prompt, those that have a prefix of
// it cached, and this proxy's own subset.
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

// addCandidate adds a server to the candidates. What it is assumed to have cached is what this proxy sent there recently
// or, at the affinity server, all shared chunks, since the other proxies send them there.
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

// affinityServer is the server among servers that requests with the prompt's shared chunks are sent to first: the
// highest by rendezvous hashing of those chunks. Every proxy of the region chooses the same one, so that their prefix is
// cached there. It is nil for a prompt without chunks.
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

// spillOver adds servers of other regions while they are expected to answer sooner by more than the margin. Two margins
// make a hysteresis, so that requests do not alternate between regions.
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

// minExpectedLatency is the least expected latency of candidates, of which there must be at least one.
func minExpectedLatency(candidates []candidate) time.Duration {
	least := candidates[0].expectedLatency
	for i := range candidates {
		least = min(least, candidates[i].expectedLatency)
	}
	return least
}

// cheapest is the index of the candidate of the least cost.
func cheapest(candidates []candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].cost < candidates[least].cost {
			least = i
		}
	}
	return least
}
