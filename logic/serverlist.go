package logic

import (
	"slices"
	"time"
)

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
