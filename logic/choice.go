package logic

import (
	"cmp"
	"math"
	"slices"

	"fieldrelay/logic/selection"
)

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

// heavy tells whether r is so much work beside what else comes that light requests would wait for its like
// alone: a limit counts attempts, and a burst of long ones took every place for as long as they lasted.
func (b *Balancer) isHeavy(r *request) bool {
	return slices.ContainsFunc(b.classOrder, func(c *class) bool {
		lately := c.requestRate * (1 - selection.Alpha(b.now-c.ratesUpdated)) * agingTime.Seconds()
		return lately > minRecentRequests && r.work*c.requestRate > heavyFactor*c.workRate
	})
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

// across is 1 if a send to s is charged for leaving the zone, or else 0. The subset has as many of each.
func (b *Balancer) zoneSide(s *server) int {
	if b.cfg.Prices.CrossZone > 0 && s.Zone != b.cfg.Zone {
		return 1
	}
	return 0
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.server == s })
}

// effective is the speed that s is expected to show to the next request: its estimate, bounded by its
// silence, scaled by its crowding and its errors.
func (b *Balancer) effectiveSpeed(s *server) float64 {
	v := s.Speed()
	if len(s.inFlight) > 0 {
		// A hung server answers nothing: its silence while work is out bounds its speed.
		if silent := b.now - max(s.lastResponse, s.inFlight[0].sentAt); silent > 0 {
			v = min(v, s.inFlight[0].request.work/silent.Seconds())
		}
	}
	// Answers tell late of a queue; the own attempts out tell at once.
	v *= (1 - s.faultShares[failure]) * (1 - s.cellShares[failure]) * (1 - s.zoneShares[failure])
	return v / (1 + float64(len(s.inFlight)))
}

// pick chooses among the candidates: seeding first, then by the paper's rule.
func (b *Balancer) pick(r *request, set []*server) *server {
	if i := slices.IndexFunc(set, func(s *server) bool { return !s.Seeded() && len(s.inFlight) == 0 }); i >= 0 {
		return set[i]
	}
	tau, walk := b.slack.Temperature()
	if walk {
		return b.walk.Pick(b.servers, set, b.effectiveSpeed)
	}
	return b.pickSoftmax(r, set, tau)
}

// home gives the server of set that ranks first for the key of r: all sidecars rank alike, and a server that
// comes or goes moves its own keys only.
func affinityServer(r *request, set []*server) *server {
	return slices.MaxFunc(set, func(x, y *server) int {
		return cmp.Compare(hash(r.key, x.ID), hash(r.key, y.ID))
	})
}

// softmax draws by the speeds of set; price and a key's home scale the weights.
func (b *Balancer) pickSoftmax(r *request, set []*server, tau float64) *server {
	b.weights = b.weights[:0]
	for _, s := range set {
		b.weights = append(b.weights, b.effectiveSpeed(s))
	}
	if !selection.Weigh(b.weights, tau) {
		return set[b.rng.IntN(len(set))]
	}
	far := [2]float64{1, math.Exp(-crossZoneScale * b.cfg.Prices.CrossZone)}
	for i, s := range set {
		b.weights[i] *= far[b.zoneSide(s)]
	}
	if b.cfg.KeyAffinity && r.hasKey {
		b.weights[slices.Index(set, affinityServer(r, set))] *= affinityWeight * float64(len(set))
	}
	return set[selection.Draw(b.weights, b.rng.Float64())]
}

// send starts an attempt of r, if a server can take it.
func (b *Balancer) send(r *request) bool {
	full := b.cfg.Balancers >= boundMinBalancers && float64(b.inFlight) >= b.maxInFlight()
	if n := len(r.attempts); n >= b.cfg.Limits.MaxAttempts || (n == 0 && full) {
		return false
	}
	if b.findCandidates(r); len(b.candidates) == 0 {
		return false
	}
	s, by := b.pick(r, b.candidates), b.repeatDeadline(r)
	a := &attempt{request: r, number: len(r.attempts), server: s, sentAt: b.now, inFlight: true}
	a.crowded = float64(len(s.inFlight)+1) >= crowdedFraction*s.limit
	r.attempts = append(r.attempts, a)
	s.inFlight = append(s.inFlight, a)
	b.inFlight++
	if b.capacityFraction(s) < 1 {
		s.slowStartCredit--
	}
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.ID, After: r.expires - b.now, At: by})
	if c := r.class; a.number == 0 && !c.Stream && c.LateValue == 0 && r.target < r.expires {
		b.wakeAt(r.target-b.cfg.Tick, TimerTarget, r.id)
	}
	return true
}

// earn gives the cold servers of the subset, and no others, their parts of a request that came in. The sum
// over all sidecars keeps the rule: each server is in as many subsets as any other. Sends would not do as a
// measure: with most of a fleet cold, each would allow less than one.
func (b *Balancer) grantSlowStartCredit() {
	width := min(b.subsetSize(), len(b.servers))
	var met [2]int
	var able [2]float64 // what the subset can do, in servers
	var cold []*server
	for _, s := range b.servers {
		zone := b.zoneSide(s)
		if met[zone] >= width || b.isExcluded(s) || b.now < s.ejectedUntil {
			continue
		}
		met[zone]++
		able[zone] += b.capacityFraction(s)
		if b.capacityFraction(s) < 1 {
			cold = append(cold, s)
		}
	}
	for _, s := range cold {
		part := b.capacityFraction(s) / max(able[b.zoneSide(s)], slowStartMinSubset*float64(width))
		s.slowStartCredit = min(s.slowStartCredit+slowStartShare*part, slowStartMaxCredit)
	}
}
