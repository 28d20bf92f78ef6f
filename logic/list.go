package logic

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"fieldrelay/logic/selection"
)

const listEntryTime = time.Millisecond // assumed work of the list's service for an entry

// server is what this sidecar knows of one server.
type server struct {
	Server
	selection.Estimate        // of work over answer time
	order              uint64 // its place in this sidecar's own order
	inFlight           []*attempt
	goneAt             time.Duration // since when the list calls it gone
	lastResponse       time.Duration // last sign of life
	failuresInRow      int           // in a row
	failureShare       float64       // aged share of its attempts that failed
	faultShares
	cellShares, zoneShares *faultShares
	ejectedUntil           time.Duration // until then
	ejectBackoff           float64       // length of the next ejection, in ageing times
	limit                  float64       // most own attempts out
	limitShrunkAt          time.Duration
	slowShare              float64       // aged share of slow answers
	lateInRow              int           // answers in a row that came too late
	slowStartCredit        float64       // sends a cold server may get
	closeIdleAt            time.Duration // when its idle connections are to be closed
}

func (b *Balancer) onMembers(ev *Event) {
	named := make(map[uint64]bool, len(ev.Servers))
	for i := range ev.Servers {
		named[ev.Servers[i].ID] = true
		b.applyMember(&ev.Servers[i])
	}
	missing := 0
	for _, s := range slices.Clone(b.servers) {
		if ev.Complete && !named[s.ID] {
			b.markGone(s)
		}
		if s.State == Gone {
			missing++
			if b.now-max(s.goneAt, s.lastResponse) > goneRetention*agingTime {
				b.removeServer(s)
			}
		}
	}
	b.listDistrusted = float64(missing) > listDistrustShare*float64(len(b.servers))
	if !ev.Stored {
		b.listRequestAt, b.listBackoff = 0, 0
	} else if b.cfg.Subscribe {
		b.scheduleListRequest(time.Duration(b.rng.Float64() * float64(min(b.listServiceTime(), b.maxListWait()))))
	}
	b.dispatchQueue()
}

func (b *Balancer) applyMember(e *Server) {
	s := b.byID[e.ID]
	switch {
	case e.State == Gone:
		if s != nil {
			b.markGone(s)
		}
		return
	case s == nil:
		s = &server{Server: *e}
		b.byID[e.ID] = s
		b.addServer(s)
	case e.Since > s.Since: // it restarted: what was learned is of another process
		b.removeFromOrder(s)
		*s = server{Server: Server{ID: e.ID}, inFlight: s.inFlight}
		b.addServer(s)
	}
	// A list that is old makes no cold server warm and, where it may be wrong, ends no drain.
	since, drained := max(s.Since, e.Since), b.cfg.Contract.GoneIsAdvisory && s.State == Draining
	if s.Server, s.Since = *e, since; drained {
		s.State = Draining
	}
	s.zoneShares, s.cellShares = sharesOf(b.zones, e.Zone), sharesOf(b.cells, e.Cell)
}

// gone takes in that the list calls s gone or leaves it out. Where that is advice, s is kept and the own
// outcomes decide, but for one that was draining: it stays barred for good.
func (b *Balancer) markGone(s *server) {
	switch {
	case !b.cfg.Contract.GoneIsAdvisory:
		b.removeServer(s)
	case s.State == Draining:
		b.removeFromOrder(s)
	case s.State == Ready:
		s.State, s.goneAt = Gone, b.now
	}
}

// barred tells whether the list keeps new requests off s. Called gone where that is advice, a server that has
// answered stays in use until it fails; one never tried is left, unless the list calls so many gone that the
// few others would be overrun.
func (b *Balancer) isExcluded(s *server) bool {
	return s.State == Draining || (s.State == Gone && !s.Seeded() && !b.listDistrusted)
}

// capacityFraction is the share of its full capacity that s has at the least.
func (b *Balancer) capacityFraction(s *server) float64 {
	c, age := &b.cfg.Contract, b.now-s.Since
	if s.Since <= 0 || c.SlowStartWindow <= 0 || age >= c.SlowStartWindow {
		return 1
	}
	return c.SlowStartMinCapacity + (1-c.SlowStartMinCapacity)*float64(max(age, 0))/float64(c.SlowStartWindow)
}

// enter sets up an unknown server, at random so that first polls do not meet if it is cold, and puts it into
// this sidecar's own order: by a hash of its seed and the server, so that the first polls, ties and subsets
// of many sidecars spread evenly.
func (b *Balancer) addServer(s *server) {
	s.order, s.slowStartCredit = hash(b.seed, s.ID), b.rng.Float64()
	s.limit, s.ejectBackoff, s.lastResponse = initialLimit, minEjectBackoff, b.now
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.ID, y.ID))
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

func (b *Balancer) removeServer(s *server) {
	delete(b.byID, s.ID)
	b.removeFromOrder(s)
}

func (b *Balancer) removeFromOrder(s *server) {
	b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	b.walk.Reset()
}

// ask subscribes to the list. The subscription is kept up because a sidecar without one is held to a list
// that it has not seen.
func (b *Balancer) requestList() {
	b.emit(Action{Kind: ActWatch})
	b.scheduleListRequest(2 * b.maxListWait()) // should no answer come at all
}

func (b *Balancer) maxListWait() time.Duration {
	return max(time.Duration(listWaitShare*float64(b.cfg.Contract.ListInterval)), time.Second)
}

// listServiceTime is how long the list's service may need for a call of each sidecar: it does not grow with them and
// works on, call by call, also at those that were given up. What it does within one wait is not spread.
func (b *Balancer) listServiceTime() time.Duration {
	n := time.Duration(b.cfg.Balancers)
	if work := n * time.Duration(len(b.servers)) * listEntryTime; work > b.maxListWait() {
		return work
	}
	return n * b.cfg.Tick
}

// onListLost asks again after a wait that doubles and lets the calls of all others pass, so that a service in
// trouble is not kept there. Where what was missed counts as told soon, a second call has time before that.
func (b *Balancer) onListLost(told time.Duration) {
	if b.cfg.Subscribe {
		work := min(b.listServiceTime(), 2*b.maxListWait())
		b.listBackoff = min(max(2*b.listBackoff, b.maxListWait()/16, work), max(b.maxListWait(), work))
		wait := (0.5 + b.rng.Float64()/2) * float64(b.listBackoff)
		if told > b.now {
			wait = min(wait, b.rng.Float64()*float64(max(told-b.now, b.maxListWait()/8))/2)
		}
		b.scheduleListRequest(time.Duration(wait))
	}
}

func (b *Balancer) scheduleListRequest(wait time.Duration) {
	b.listRequestAt = b.now + wait
	b.wakeAt(b.listRequestAt, TimerList, 0)
}
