package logic

import (
	"cmp"
	"math"
	"slices"

	"fieldrelay/logic/selection"
)

// width is the size of the subset: as many servers as the own requests keep fresh within δ.
func (b *Balancer) width() int { return max(int(b.rate*ageing.Seconds()/freshen), subsetLeast) }

// candidates sets b.set to the servers r may go to: the first in this sidecar's order, as many as its width,
// that the rules allow, neither ejected nor tried (if none, one of those, so others rest), under their limit.
func (b *Balancer) candidates(r *request) {
	b.set = b.set[:0]
	var last *server
	var fit [2]int // of the near servers and of those across
	width := b.width()
	if b.cfg.Prices.CrossZone <= 0 {
		fit[1] = width
	}
	for _, s := range b.servers {
		zone := b.across(s)
		if fit[0] >= width && fit[1] >= width {
			break
		}
		spent := b.coldFraction(s) < 1 && s.credit < 1
		if fit[zone] >= width || b.barred(s) || !b.mayRepeat(r, s) || spent {
			continue
		}
		if b.now >= s.ejected && !r.tried(s) {
			fit[zone]++
			b.set = append(b.set, s)
		} else if last == nil || s.ejected < last.ejected {
			last = s
		}
	}
	if len(b.set) == 0 && last != nil {
		b.set = append(b.set, last)
	}
	heavy := b.heavy(r)
	b.set = slices.DeleteFunc(b.set, func(s *server) bool {
		n := float64(len(s.out))
		return n >= max(s.limit, 1) || (heavy && n >= max(s.limit-1, 1))
	})
	b.leaveLate(r)
}

// heavy tells whether r is so much work beside what else comes that light requests would wait for its like
// alone: a limit counts attempts, and a burst of long ones took every place for as long as they lasted.
func (b *Balancer) heavy(r *request) bool {
	return slices.ContainsFunc(b.kinds, func(c *class) bool {
		lately := c.asked * (1 - selection.Alpha(b.now-c.askedAt)) * ageing.Seconds()
		return lately > inUse && r.cost*c.asked > heavyTimes*c.work
	})
}

// leaveLate takes the servers that lately answered too late for r out of its candidates, unless that leaves
// none. The price of crossing would keep requests there, and a thousand sidecars that each tried again after
// a time would hold a jam up: a small share of the own requests tries the one heard of least lately.
func (b *Balancer) leaveLate(r *request) {
	left := (r.useful() - b.now).Seconds() * lateRoom
	tooLate := func(s *server) bool {
		return s.lates >= lateRow || s.Seeded() && b.effective(s)*left < r.cost
	}
	if !slices.ContainsFunc(b.set, func(s *server) bool { return !tooLate(s) }) {
		return
	}
	var again *server
	for _, s := range b.set {
		if tooLate(s) && len(s.out) == 0 && (again == nil || s.SampledAt() < again.SampledAt()) {
			again = s
		}
	}
	if again != nil && b.rng.Float64() < lateAgain {
		b.set = append(b.set[:0], again)
		return
	}
	b.set = slices.DeleteFunc(b.set, tooLate)
}

// across is 1 if a send to s is charged for leaving the zone, or else 0. The subset has as many of each.
func (b *Balancer) across(s *server) int {
	if b.cfg.Prices.CrossZone > 0 && s.Zone != b.cfg.Zone {
		return 1
	}
	return 0
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// effective is the speed that s is expected to show to the next request: its estimate, bounded by its
// silence, scaled by its crowding and its errors.
func (b *Balancer) effective(s *server) float64 {
	v := s.Speed()
	if len(s.out) > 0 {
		// A hung server answers nothing: its silence while work is out bounds its speed.
		if silent := b.now - max(s.alive, s.out[0].sent); silent > 0 {
			v = min(v, s.out[0].req.cost/silent.Seconds())
		}
	}
	// Answers tell late of a queue; the own attempts out tell at once.
	v *= (1 - s.suspect[failed]) * (1 - s.cell[failed]) * (1 - s.way[failed])
	return v / (1 + float64(len(s.out)))
}

// pick chooses among the candidates: seeding first, then by the paper's rule.
func (b *Balancer) pick(r *request, set []*server) *server {
	if i := slices.IndexFunc(set, func(s *server) bool { return !s.Seeded() && len(s.out) == 0 }); i >= 0 {
		return set[i]
	}
	tau, walk := b.slack.Temperature()
	if walk {
		return b.walk.Pick(b.servers, set, b.effective)
	}
	return b.softmax(r, set, tau)
}

// home gives the server of set that ranks first for the key of r: all sidecars rank alike, and a server that
// comes or goes moves its own keys only.
func home(r *request, set []*server) *server {
	return slices.MaxFunc(set, func(x, y *server) int {
		return cmp.Compare(hash(r.key, x.ID), hash(r.key, y.ID))
	})
}

// softmax draws by the speeds of set; price and a key's home scale the weights.
func (b *Balancer) softmax(r *request, set []*server, tau float64) *server {
	b.weights = b.weights[:0]
	for _, s := range set {
		b.weights = append(b.weights, b.effective(s))
	}
	if !selection.Weigh(b.weights, tau) {
		return set[b.rng.IntN(len(set))]
	}
	far := [2]float64{1, math.Exp(-crossScale * b.cfg.Prices.CrossZone)}
	for i, s := range set {
		b.weights[i] *= far[b.across(s)]
	}
	if b.cfg.KeyAffinity && r.hasKey {
		b.weights[slices.Index(set, home(r, set))] *= warmPull * float64(len(set))
	}
	return set[selection.Draw(b.weights, b.rng.Float64())]
}

// send starts an attempt of r, if a server can take it.
func (b *Balancer) send(r *request) bool {
	full := b.cfg.Balancers >= limitsHold && float64(b.out) >= b.most()
	if n := len(r.attempts); n >= b.cfg.Limits.MaxAttempts || (n == 0 && full) {
		return false
	}
	if b.candidates(r); len(b.set) == 0 {
		return false
	}
	s, by := b.pick(r, b.set), b.repeatBy(r)
	a := &attempt{req: r, no: len(r.attempts), srv: s, sent: b.now, out: true}
	a.crowded = float64(len(s.out)+1) >= crowded*s.limit
	r.attempts = append(r.attempts, a)
	s.out = append(s.out, a)
	b.out++
	if b.coldFraction(s) < 1 {
		s.credit--
	}
	b.act(Action{Kind: ActSend, Request: r.id, Server: s.ID, After: r.expires - b.now, At: by})
	if c := r.class; a.no == 0 && !c.Stream && c.LateValue == 0 && r.aim < r.expires {
		b.at(r.aim-b.cfg.Tick, TimerTarget, r.id)
	}
	return true
}

// earn gives the cold servers of the subset, and no others, their parts of a request that came in. The sum
// over all sidecars keeps the rule: each server is in as many subsets as any other. Sends would not do as a
// measure: with most of a fleet cold, each would allow less than one.
func (b *Balancer) earn() {
	width := min(b.width(), len(b.servers))
	var met [2]int
	var able [2]float64 // what the subset can do, in servers
	var cold []*server
	for _, s := range b.servers {
		zone := b.across(s)
		if met[zone] >= width || b.barred(s) || b.now < s.ejected {
			continue
		}
		met[zone]++
		able[zone] += b.coldFraction(s)
		if b.coldFraction(s) < 1 {
			cold = append(cold, s)
		}
	}
	for _, s := range cold {
		part := b.coldFraction(s) / max(able[b.across(s)], coldLeast*float64(width))
		s.credit = min(s.credit+coldShare*part, coldBurst)
	}
}
