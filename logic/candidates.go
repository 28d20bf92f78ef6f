package logic

import "slices"

// width is the size of the subset: as many servers as the own requests keep fresh within δ.
func (b *Balancer) subsetSize() int {
	return max(int(b.requestRate*agingTime.Seconds()/freshSamples), minSubsetSize)
}

// candidates sets b.set to the servers r may go to: the first in this sidecar's order, as many as its width,
// that the rules allow, neither ejected nor tried (if none, one of those, so others rest), under their limit.
func (b *Balancer) findCandidates(r *request) {
	b.candidates = b.candidates[:0]
	var last *server
	var fit [2]int // of the near servers and of those across
	width := b.subsetSize()
	if b.cfg.Prices.CrossZone <= 0 {
		fit[1] = width
	}
	for _, s := range b.servers {
		zone := b.zoneSide(s)
		if fit[0] >= width && fit[1] >= width {
			break
		}
		spent := b.capacityFraction(s) < 1 && s.slowStartCredit < 1
		if fit[zone] >= width || b.isExcluded(s) || !b.mayAttemptAt(r, s) || spent {
			continue
		}
		if b.now >= s.ejectedUntil && !r.tried(s) {
			fit[zone]++
			b.candidates = append(b.candidates, s)
		} else if last == nil || s.ejectedUntil < last.ejectedUntil {
			last = s
		}
	}
	if len(b.candidates) == 0 && last != nil {
		b.candidates = append(b.candidates, last)
	}
	heavy := b.isHeavy(r)
	b.candidates = slices.DeleteFunc(b.candidates, func(s *server) bool {
		n := float64(len(s.inFlight))
		return n >= max(s.limit, 1) || (heavy && n >= max(s.limit-1, 1))
	})
	b.dropLateServers(r)
}

// dropLateServers takes the servers that lately answered too late for r out of its candidates, unless that leaves
// none. The price of crossing would keep requests there, and a thousand sidecars that each tried again after
// a time would hold a jam up: a small share of the own requests tries the one heard of least lately.
func (b *Balancer) dropLateServers(r *request) {
	left := (r.usefulUntil() - b.now).Seconds() * usableTimeLeft
	tooLate := func(s *server) bool {
		return s.lateInRow >= lateRunLimit || s.Seeded() && b.effectiveSpeed(s)*left < r.work
	}
	if !slices.ContainsFunc(b.candidates, func(s *server) bool { return !tooLate(s) }) {
		return
	}
	var again *server
	for _, s := range b.candidates {
		if tooLate(s) && len(s.inFlight) == 0 && (again == nil || s.SampledAt() < again.SampledAt()) {
			again = s
		}
	}
	if again != nil && b.rng.Float64() < lateProbeShare {
		b.candidates = append(b.candidates[:0], again)
		return
	}
	b.candidates = slices.DeleteFunc(b.candidates, tooLate)
}
