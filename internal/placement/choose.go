package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// homeOf is the home of a prompt among servers: the first, in the order of rendezvous hashing by its shared parts.
// Every proxy of the region sends such prompts there, where they are kept. It is nil for a prompt without parts.
func (p *Placer) homeOf(q *prompt, servers []*server) *server {
	if p.off(policy.PromptAffinity) || len(q.chains) == 0 {
		return nil
	}
	var home *server
	var most uint64
	for _, s := range servers {
		if weight := mix(uint64(q.key) ^ s.hash); home == nil || weight > most {
			home, most = s, weight
		}
	}
	return home
}

// consider puts a server among the chosen with what it is taken to keep: what this proxy sent there lately,
// or, at the home, all shared parts, since the other proxies send them there.
func (p *Placer) consider(now time.Duration, s *server, q *prompt, atHome bool) {
	kept, known := 0, true
	if s.markedBy == p.picks {
		kept = s.markedTokens
	}
	if atHome && kept < q.shared {
		kept, known = q.shared, false
	}
	made := p.predict(now, s, q, kept)
	made.known, made.likely = known, made.toRead
	if !known && !p.heardAt(now, s, q) {
		made.likely = q.total
	}
	p.scratch.chosen = append(p.scratch.chosen, made)
}

// choose predicts for the servers of a field: the prompt's home, those that keep a part of it, and this proxy's own
// subset.
func (p *Placer) choose(now time.Duration, field []*server, q *prompt) {
	home := p.homeOf(q, field)
	if home != nil {
		p.consider(now, home, q, true)
	}
	inSubset, most := 0, subsetSize
	if p.off(policy.Subset) {
		most = len(field)
	}
	for _, s := range field {
		if s == home {
			continue
		}
		marked := s.markedBy == p.picks && s.markedTokens > 0
		if inSubset >= most && !marked {
			continue
		}
		if !marked {
			inSubset++
		}
		p.consider(now, s, q, false)
	}
}
