package logic

import (
	"cmp"
	"slices"
	"time"

	"fieldrelay/internal/common/selection"
)

// server is what this sidecar knows about one server.
type server struct {
	Server
	selection.Estimate         // estimated speed: work divided by answer time
	order               uint64 // position in this sidecar's own order
	inFlight            []*attempt
	goneAt              time.Duration // since when the server has been listed as gone
	lastResponse        time.Duration // time of the server's last answer or error
	consecutiveFailures int
	failureRate         float64 // aged fraction of attempts that failed
	faultRates
	cellFaultRates, zoneFaultRates *faultRates // fault rates of its cell, and of the path to its zone
	ejectedUntil                   time.Duration
	ejectBackoff                   float64 // length of the next ejection, in aging times
	limit                          float64 // bound on this sidecar's attempts in flight at the server
	limitShrunkAt                  time.Duration
	slowFraction                   float64       // aged fraction of slow answers
	consecutiveLate                int           // consecutive late outcomes
	slowStartCredit                float64       // number of sends that the server may get during slow start
	closeIdleAt                    time.Duration // when idle connections to the server are to be closed
}

// addServer initializes a new server and inserts it into this sidecar's own order. The order is by a hash of
// the sidecar's seed and the server's id, so that the first samples, ties and subsets of many sidecars are
// spread evenly over the servers. The initial slow start credit is random, so that the first sends of many
// sidecars to a new server do not coincide.
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

// removeFromOrder stops sends to s. byID keeps s, so that its state is still known.
func (b *Balancer) removeFromOrder(s *server) {
	b.servers = slices.DeleteFunc(b.servers, func(o *server) bool { return o == s })
	b.walk.Reset()
}

// isExcluded reports whether s gets no new requests because of its state in the list. If gone is advisory, a
// server with samples that is listed as gone stays in use until it fails. A server without a sample is
// excluded, unless so many servers are listed as gone that the others would be overloaded.
func (b *Balancer) isExcluded(s *server) bool {
	return s.State == Draining || (s.State == Gone && !s.Seeded() && !b.listDistrusted)
}

// zoneSide is 1 if the price of crossing zones applies to a send to s, and 0 otherwise. A subset has up to
// subsetSize servers of each side.
func (b *Balancer) zoneSide(s *server) int {
	if b.cfg.Prices.CrossZone > 0 && s.Zone != b.cfg.Zone {
		return 1
	}
	return 0
}

// scheduleIdleClose schedules closing the idle connections to s for when keeping them has cost as much as a
// new handshake, so that the cost is at most twice the optimum (the ski rental problem). It assumes that all
// sidecars have the same traffic as this one.
func (b *Balancer) scheduleIdleClose(s *server) {
	p := &b.cfg.Prices
	if len(s.inFlight) > 0 || p.Connection <= 0 {
		return
	}
	fleetRate := max(b.requestRate*float64(max(b.cfg.Balancers, 1)), 1e-3)
	idle := min(p.Handshake/p.Connection*pricedConnections*float64(len(b.servers))/fleetRate, 1e6)
	s.closeIdleAt = b.now + seconds(idle)
	b.wakeAt(s.closeIdleAt, TimerIdle, s.ID)
}
