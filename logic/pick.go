package logic

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"fieldrelay/logic/selection"
)

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

// home gives the server of set that ranks first for the key of r: all sidecars rank alike, and a server that
// comes or goes moves its own keys only.
func affinityServer(r *request, set []*server) *server {
	return slices.MaxFunc(set, func(x, y *server) int {
		return cmp.Compare(hash(r.key, x.ID), hash(r.key, y.ID))
	})
}

// hash mixes a key and a server for rendezvous ranking.
func hash(key, id uint64) uint64 {
	h := (key ^ bits.RotateLeft64(id*0x9e3779b97f4a7c15, 31)) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>29) * 0x94d049bb133111eb
	return h ^ h>>32
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
