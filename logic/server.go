package logic

import (
	"cmp"
	"slices"
	"time"

	"fieldrelay/logic/selection"
)

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

func (b *Balancer) removeServer(s *server) {
	delete(b.byID, s.ID)
	b.removeFromOrder(s)
}

func (b *Balancer) removeFromOrder(s *server) {
	b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	b.walk.Reset()
}

// barred tells whether the list keeps new requests off s. Called gone where that is advice, a server that has
// answered stays in use until it fails; one never tried is left, unless the list calls so many gone that the
// few others would be overrun.
func (b *Balancer) isExcluded(s *server) bool {
	return s.State == Draining || (s.State == Gone && !s.Seeded() && !b.listDistrusted)
}

// across is 1 if a send to s is charged for leaving the zone, or else 0. The subset has as many of each.
func (b *Balancer) zoneSide(s *server) int {
	if b.cfg.Prices.CrossZone > 0 && s.Zone != b.cfg.Zone {
		return 1
	}
	return 0
}

// idle plans the closing of s's idle connections once they have cost as much as a new handshake, so that
// never more than twice the least is paid. All sidecars are taken to have this one's traffic.
func (b *Balancer) scheduleIdleClose(s *server) {
	p := &b.cfg.Prices
	if len(s.inFlight) > 0 || p.Connection <= 0 {
		return
	}
	all := max(b.requestRate*float64(max(b.cfg.Balancers, 1)), 1e-3)
	s.closeIdleAt = b.now + seconds(min(p.Handshake/p.Connection*pricedConnections*float64(len(b.servers))/all, 1e6))
	b.wakeAt(s.closeIdleAt, TimerIdle, s.ID)
}
