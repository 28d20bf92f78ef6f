package logic

import (
	"slices"
	"time"
)

// onServerList applies the server list or a change to it, and dispatches the queue, since there may be new
// servers.
func (b *Balancer) onServerList(ev *Event) {
	listed := make(map[uint64]bool, len(ev.Servers))
	for i := range ev.Servers {
		listed[ev.Servers[i].ID] = true
		b.applyEntry(&ev.Servers[i])
	}
	gone := 0
	for _, s := range slices.Clone(b.servers) {
		if ev.Complete && !listed[s.ID] {
			b.markGone(s)
		}
		if s.State == Gone {
			gone++
			if b.now-max(s.goneAt, s.lastResponse) > goneRetention*agingTime {
				b.removeServer(s)
			}
		}
	}
	b.listDistrusted = float64(gone) > listDistrustFraction*float64(len(b.servers))
	if !ev.Stored {
		b.listRequestAt, b.listBackoff = 0, 0
	} else if b.cfg.Subscribe {
		spread := float64(min(b.listServiceTime(), b.maxListWait()))
		b.scheduleListRequest(time.Duration(b.rng.Float64() * spread))
	}
	b.dispatchQueue()
}

// applyEntry applies one entry of the list.
func (b *Balancer) applyEntry(e *Server) {
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
	case e.Since > s.Since: // the server has restarted: the measurements are of its previous process
		b.removeFromOrder(s)
		*s = server{Server: Server{ID: e.ID}, inFlight: s.inFlight}
		b.addServer(s)
	}
	// An outdated entry must not end a slow start or, if gone is advisory, a drain.
	since := max(s.Since, e.Since)
	staysDraining := b.cfg.Contract.GoneIsAdvisory && s.State == Draining
	if s.Server, s.Since = *e, since; staysDraining {
		s.State = Draining
	}
	s.zoneFaultRates, s.cellFaultRates = faultRatesOf(b.zones, e.Zone), faultRatesOf(b.cells, e.Cell)
}

// markGone records that s is listed as gone or left out of a complete list. If gone is advisory, s stays in
// use until it fails, unless it was draining: then it gets no requests until it has restarted.
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
