package logic

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"fieldrelay/internal/common/selection"
)

// send starts an attempt of r if a server can take it, and reports whether it did.
func (b *Balancer) send(r *request) bool {
	full := b.cfg.Balancers >= boundMinBalancers && float64(b.inFlight) >= b.maxInFlight()
	if n := len(r.attempts); n >= b.cfg.Limits.MaxAttempts || (n == 0 && full) {
		return false
	}
	if b.findCandidates(r); len(b.candidates) == 0 {
		return false
	}
	s, sendBefore := b.pick(r, b.candidates), b.dedupDeadline(r)
	a := &attempt{request: r, number: len(r.attempts), server: s, sentAt: b.now, inFlight: true}
	a.limitUsed = float64(len(s.inFlight)+1) >= limitUsedFraction*s.limit
	r.attempts = append(r.attempts, a)
	s.inFlight = append(s.inFlight, a)
	b.inFlight++
	if b.capacityFraction(s) < 1 {
		s.slowStartCredit--
	}
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.ID, After: r.expires - b.now, At: sendBefore})
	if c := r.class; a.number == 0 && !c.Stream && c.LateValue == 0 && r.target < r.expires {
		b.wakeAt(r.target-b.cfg.Tick, TimerTarget, r.id)
	}
	return true
}

// pick chooses one of the candidates: one without a sample if there is any, otherwise by softmax or walk as
// package selection defines them.
func (b *Balancer) pick(r *request, candidates []*server) *server {
	unseeded := func(s *server) bool { return !s.Seeded() && len(s.inFlight) == 0 }
	if i := slices.IndexFunc(candidates, unseeded); i >= 0 {
		return candidates[i]
	}
	tau, walk := b.slack.Temperature()
	if walk {
		return b.walk.Pick(b.servers, candidates, b.effectiveSpeed)
	}
	return b.pickSoftmax(r, candidates, tau)
}

// pickSoftmax draws a candidate by effective speed at temperature tau. The price of crossing zones lowers the
// weights of servers in other zones. The affinity server of the request's key gets a higher weight.
func (b *Balancer) pickSoftmax(r *request, candidates []*server, tau float64) *server {
	b.weights = b.weights[:0]
	for _, s := range candidates {
		b.weights = append(b.weights, b.effectiveSpeed(s))
	}
	if !selection.Weigh(b.weights, tau) {
		return candidates[b.rng.IntN(len(candidates))]
	}
	sideFactor := [2]float64{1, math.Exp(-crossZoneScale * b.cfg.Prices.CrossZone)}
	for i, s := range candidates {
		b.weights[i] *= sideFactor[b.zoneSide(s)]
	}
	if b.cfg.KeyAffinity && r.hasKey {
		b.weights[slices.Index(candidates, affinityServer(r, candidates))] *=
			affinityWeight * float64(len(candidates))
	}
	return candidates[selection.Draw(b.weights, b.rng.Float64())]
}

// affinityServer returns the candidate that ranks first for the key of r by rendezvous hashing: all sidecars
// use the same ranking, and when a server is added or removed, only its own keys move.
func affinityServer(r *request, candidates []*server) *server {
	return slices.MaxFunc(candidates, func(x, y *server) int {
		return cmp.Compare(hash(r.key, x.ID), hash(r.key, y.ID))
	})
}

// hash mixes a key and a server's id for rendezvous hashing (Thaler and Ravishankar, 1998).
func hash(key, id uint64) uint64 {
	h := (key ^ bits.RotateLeft64(id*0x9e3779b97f4a7c15, 31)) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>29) * 0x94d049bb133111eb
	return h ^ h>>32
}

// effectiveSpeed is the expected speed of s for the next request: its estimate, bounded by the time since its
// last response, and scaled down by the failure rates of the server, its cell and its zone,
// and by the attempts in flight there.
func (b *Balancer) effectiveSpeed(s *server) float64 {
	v := s.Speed()
	if len(s.inFlight) > 0 {
		// A hung server gives no samples, but the time without a response bounds its speed.
		if silent := b.now - max(s.lastResponse, s.inFlight[0].sentAt); silent > 0 {
			v = min(v, s.inFlight[0].request.work/silent.Seconds())
		}
	}
	v *= (1 - s.faultRates[failure]) * (1 - s.cellFaultRates[failure]) * (1 - s.zoneFaultRates[failure])
	// Answers reveal a queue only later; this sidecar's own attempts in flight reveal it at once.
	return v / (1 + float64(len(s.inFlight)))
}
