package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// affinityServer is the home of a prompt among servers: the first, in the order of rendezvous hashing by its shared parts.
// Every proxy of the region sends such prompts there, where they are kept. It is nil for a prompt without parts.
func (p *Placer) affinityServer(q *prompt, servers []*server) *server {
	if p.off(policy.PromptAffinity) || len(q.prefixes) == 0 {
		return nil
	}
	var home *server
	var most uint64
	for _, s := range servers {
		if weight := mix(uint64(q.affinityKey) ^ s.hash); home == nil || weight > most {
			home, most = s, weight
		}
	}
	return home
}

// consider puts a server among the chosen with what it is taken to keep: what this proxy sent there lately,
// or, at the home, all shared parts, since the other proxies send them there.
func (p *Placer) addCandidate(now time.Duration, s *server, q *prompt, atHome bool) {
	kept, known := 0, true
	if s.matchedPick == p.pickNumber {
		kept = s.matchedTokens
	}
	if atHome && kept < q.sharedTokens {
		kept, known = q.sharedTokens, false
	}
	made := p.predict(now, s, q, kept)
	made.prefillKnown, made.likelyPrefillTokens = known, made.prefillTokens
	if !known && !p.prefixAnnouncedAt(now, s, q) {
		made.likelyPrefillTokens = q.totalTokens
	}
	p.buffers.candidates = append(p.buffers.candidates, made)
}

// choose predicts for the servers of a field: the prompt's home, those that keep a part of it, and this proxy's own
// subset.
func (p *Placer) addCandidates(now time.Duration, field []*server, q *prompt) {
	home := p.affinityServer(q, field)
	if home != nil {
		p.addCandidate(now, home, q, true)
	}
	inSubset, most := 0, subsetSize
	if p.off(policy.Subset) {
		most = len(field)
	}
	for _, s := range field {
		if s == home {
			continue
		}
		marked := s.matchedPick == p.pickNumber && s.matchedTokens > 0
		if inSubset >= most && !marked {
			continue
		}
		if !marked {
			inSubset++
		}
		p.addCandidate(now, s, q, false)
	}
}
