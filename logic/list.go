package logic

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"fieldrelay/logic/selection"
)

const listLine = time.Millisecond // assumed work of the list's service for an entry

// server is what this sidecar knows of one server.
type server struct {
	Server
	selection.Estimate        // of work over answer time
	rank               uint64 // its place in this sidecar's own order
	out                []*attempt
	goneAt             time.Duration // since when the list calls it gone
	alive              time.Duration // last sign of life
	fails              int           // in a row
	failing            float64       // aged share of its attempts that failed
	suspect
	cell, way *suspect
	ejected   time.Duration // until then
	backoff   float64       // length of the next ejection, in ageing times
	limit     float64       // most own attempts out
	shrunk    time.Duration
	slow      float64       // aged share of slow answers
	lates     int           // answers in a row that came too late
	credit    float64       // sends a cold server may get
	releaseAt time.Duration // when its idle connections are to be closed
}

func (b *Balancer) members(ev *Event) {
	named := make(map[uint64]bool, len(ev.Servers))
	for i := range ev.Servers {
		named[ev.Servers[i].ID] = true
		b.member(&ev.Servers[i])
	}
	missing := 0
	for _, s := range slices.Clone(b.servers) {
		if ev.Complete && !named[s.ID] {
			b.gone(s)
		}
		if s.State == Gone {
			missing++
			if b.now-max(s.goneAt, s.alive) > goneKept*ageing {
				b.drop(s)
			}
		}
	}
	b.listWrong = float64(missing) > listWrong*float64(len(b.servers))
	if !ev.Stored {
		b.askAt, b.askWait = 0, 0
	} else if b.cfg.Subscribe {
		b.askIn(time.Duration(b.rng.Float64() * float64(min(b.listWork(), b.longestAsk()))))
	}
	b.release()
}

func (b *Balancer) member(e *Server) {
	s := b.byID[e.ID]
	switch {
	case e.State == Gone:
		if s != nil {
			b.gone(s)
		}
		return
	case s == nil:
		s = &server{Server: *e}
		b.byID[e.ID] = s
		b.enter(s)
	case e.Since > s.Since: // it restarted: what was learned is of another process
		b.unplace(s)
		*s = server{Server: Server{ID: e.ID}, out: s.out}
		b.enter(s)
	}
	// A list that is old makes no cold server warm and, where it may be wrong, ends no drain.
	since, drained := max(s.Since, e.Since), b.cfg.Contract.GoneIsAdvisory && s.State == Draining
	if s.Server, s.Since = *e, since; drained {
		s.State = Draining
	}
	s.way, s.cell = entry(b.ways, e.Zone), entry(b.cells, e.Cell)
}

// gone takes in that the list calls s gone or leaves it out. Where that is advice, s is kept and the own
// outcomes decide, but for one that was draining: it stays barred for good.
func (b *Balancer) gone(s *server) {
	switch {
	case !b.cfg.Contract.GoneIsAdvisory:
		b.drop(s)
	case s.State == Draining:
		b.unplace(s)
	case s.State == Ready:
		s.State, s.goneAt = Gone, b.now
	}
}

// barred tells whether the list keeps new requests off s. Called gone where that is advice, a server that has
// answered stays in use until it fails; one never tried is left, unless the list calls so many gone that the
// few others would be overrun.
func (b *Balancer) barred(s *server) bool {
	return s.State == Draining || (s.State == Gone && !s.Seeded() && !b.listWrong)
}

// coldFraction is the share of its full capacity that s has at the least.
func (b *Balancer) coldFraction(s *server) float64 {
	c, age := &b.cfg.Contract, b.now-s.Since
	if s.Since <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// enter sets up an unknown server, at random so that first polls do not meet if it is cold, and puts it into
// this sidecar's own order: by a hash of its seed and the server, so that the first polls, ties and subsets
// of many sidecars spread evenly.
func (b *Balancer) enter(s *server) {
	s.rank, s.credit = hash(b.seed, s.ID), b.rng.Float64()
	s.limit, s.backoff, s.alive = firstLimit, ejectFirst, b.now
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.ID, y.ID))
	})
	b.servers = slices.Insert(b.servers, i, s)
	b.walk.Reset()
}

// hash mixes a key and a server for rendezvous ranking.
func hash(key, id uint64) uint64 {
	h := (key ^ bits.RotateLeft64(id*0x9e3779b97f4a7c15, 31)) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>29) * 0x94d049bb133111eb
	return h ^ h>>32
}

func (b *Balancer) drop(s *server) {
	delete(b.byID, s.ID)
	b.unplace(s)
}

func (b *Balancer) unplace(s *server) {
	b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	b.walk.Reset()
}

// ask subscribes to the list. The subscription is kept up because a sidecar without one is held to a list
// that it has not seen.
func (b *Balancer) ask() {
	b.act(Action{Kind: ActWatch})
	b.askIn(2 * b.longestAsk()) // should no answer come at all
}

func (b *Balancer) longestAsk() time.Duration {
	return max(time.Duration(askShare*float64(b.cfg.Contract.ListInterval)), time.Second)
}

// listWork is how long the list's service may need for a call of each sidecar: it does not grow with them and
// works on, call by call, also at those that were given up. What it does within one wait is not spread.
func (b *Balancer) listWork() time.Duration {
	n := time.Duration(b.cfg.Balancers)
	if work := n * time.Duration(len(b.servers)) * listLine; work > b.longestAsk() {
		return work
	}
	return n * b.cfg.Tick
}

// listLost asks again after a wait that doubles and lets the calls of all others pass, so that a service in
// trouble is not kept there. Where what was missed counts as told soon, a second call has time before that.
func (b *Balancer) listLost(told time.Duration) {
	if b.cfg.Subscribe {
		work := min(b.listWork(), 2*b.longestAsk())
		b.askWait = min(max(2*b.askWait, b.longestAsk()/16, work), max(b.longestAsk(), work))
		wait := (0.5 + b.rng.Float64()/2) * float64(b.askWait)
		if told > b.now {
			wait = min(wait, b.rng.Float64()*float64(max(told-b.now, b.longestAsk()/8))/2)
		}
		b.askIn(time.Duration(wait))
	}
}

func (b *Balancer) askIn(wait time.Duration) {
	b.askAt = b.now + wait
	b.at(b.askAt, TimerList, 0)
}
