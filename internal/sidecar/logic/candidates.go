package logic

import "slices"

// subsetSize is the number of servers that this sidecar uses: as many as its requests sample freshSamples
// times within an aging time.
func (b *Balancer) subsetSize() int {
	return max(int(b.requestRate*agingTime.Seconds()/freshSamples), minSubsetSize)
}

// findCandidates sets b.candidates to the servers that r may be sent to now: those of its subset that are
// below their limit and not expected to answer too late.
func (b *Balancer) findCandidates(r *request) {
	b.findSubset(r)
	heavy := b.isHeavy(r)
	b.candidates = slices.DeleteFunc(b.candidates, func(s *server) bool {
		n := float64(len(s.inFlight))
		return n >= max(s.limit, 1) || (heavy && n >= max(s.limit-1, 1))
	})
	b.dropLateServers(r)
}

// findSubset sets b.candidates to the subset of r: the first servers in this sidecar's own order that the
// rules allow and that are neither ejected nor tried by r before. If there is none, it is the server whose
// ejection ends first, so that the other ejected servers get no requests and recover.
func (b *Balancer) findSubset(r *request) {
	b.candidates = b.candidates[:0]
	var fallback *server
	var found [2]int // number of servers found, by zoneSide
	size := b.subsetSize()
	if b.cfg.Prices.CrossZone <= 0 {
		found[1] = size
	}
	for _, s := range b.servers {
		side := b.zoneSide(s)
		if found[0] >= size && found[1] >= size {
			break
		}
		noCredit := b.capacityFraction(s) < 1 && s.slowStartCredit < 1
		if found[side] >= size || b.isExcluded(s) || !b.mayAttemptAt(r, s) || noCredit {
			continue
		}
		if b.now >= s.ejectedUntil && !r.tried(s) {
			found[side]++
			b.candidates = append(b.candidates, s)
		} else if fallback == nil || s.ejectedUntil < fallback.ejectedUntil {
			fallback = s
		}
	}
	if len(b.candidates) == 0 && fallback != nil {
		b.candidates = append(b.candidates, fallback)
	}
}

// dropLateServers removes the candidates that are expected to answer too late for r, unless all are. A small
// fraction of the requests probes the least recently sampled late server instead. Without the removal, the
// price of crossing zones keeps requests at late servers of the same zone. Without the bound on probes, a
// thousand sidecars that each try a late server again after some time sustain its overload.
func (b *Balancer) dropLateServers(r *request) {
	left := (r.usefulUntil() - b.now).Seconds() * usableTimeLeft
	tooLate := func(s *server) bool {
		return s.consecutiveLate >= lateDropThreshold || s.Seeded() && b.effectiveSpeed(s)*left < r.work
	}
	if !slices.ContainsFunc(b.candidates, func(s *server) bool { return !tooLate(s) }) {
		return
	}
	var probe *server
	for _, s := range b.candidates {
		if tooLate(s) && len(s.inFlight) == 0 && (probe == nil || s.SampledAt() < probe.SampledAt()) {
			probe = s
		}
	}
	if probe != nil && b.rng.Float64() < lateProbeProbability {
		b.candidates = append(b.candidates[:0], probe)
		return
	}
	b.candidates = slices.DeleteFunc(b.candidates, tooLate)
}
