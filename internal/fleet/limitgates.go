package fleet

import (
	"fmt"
	"time"

	"fieldrelay/internal/quota"
)

// admit lets a request through all limits that it counts under, or none.
func (l *limits) admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gates := l.generalGates
	if own := l.tenantGates[tenant]; len(own) > 0 {
		gates = append(gates[:len(gates):len(gates)], own...)
	}
	return l.passGates(gates, func(g *limitGate) bool { return g.Applies(class, tenant) }, again, 1, ends)
}

// claim lets an attempt at an execute node through all limits that it counts under, or none. warm is the part of its full
// capacity that the node has now: so much of its limit may be used. Nodes that are not listed have
// no limits.
func (l *limits) claim(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.attemptGates)+len(l.nodeGates) == 0 {
		return nil, true
	}
	applies := func(g *limitGate) bool { return g.Applies(class, tenant) }
	done, _, ok = l.passGates(append(l.attemptGates[:len(l.attemptGates):len(l.attemptGates)], l.nodeGates[node]...), applies, again, warm, ends)
	return done, ok
}

// pass passes through those of some gates that apply. l.mu is held.
func (l *limits) passGates(gates []*limitGate, applies func(*limitGate) bool, again bool, warm float64, ends time.Time) (done func(), after time.Duration, ok bool) {
	now := time.Since(l.origin)
	type taken struct {
		g    *limitGate
		slot quota.Slot
	}
	var all []taken
	for _, g := range gates {
		if !applies(g) {
			continue
		}
		slot, after, ok := quota.NoSlot, time.Duration(0), false
		switch {
		case g.Shares: // what is beyond it is worth less, that is all
			g.gate.Take(now, now)
			continue
		case g.Leased():
			slot, after, ok = g.gate.TakeOf(now, ends.Sub(l.origin), g.Cold(warm))
		default:
			after, ok = g.gate.Count(again, g.Limit().Most)
		}
		if !ok {
			for _, t := range all {
				t.g.gate.Undo(t.slot)
			}
			return nil, after, false
		}
		all = append(all, taken{g, slot})
	}
	if len(all) == 0 {
		return func() {}, 0, true
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, t := range all {
			t.g.gate.Done(t.slot)
		}
	}, 0, true
}

// counts are how many requests and attempts all limits have let through, and turned back. One under several limits counts
// under each.
func (l *limits) counts() (let, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		let, refused = let+g.gate.Let, refused+g.gate.Refused
	}
	return let, refused
}

// lines has a line for each limit: its name, what is let through here, for how long, what past that, and the counts.
func (l *limits) lines() (all []string) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		limit := g.Limit()
		if !g.Leased() {
			kind := "again_pct"
			if g.Retry > 0 {
				kind = "retry_pct"
			}
			all = append(all, fmt.Sprintf("%s %s limit=%g here=%g lease=none let=%d refused=%d", g.Name, kind, g.Again+g.Retry, g.Again+g.Retry, g.gate.Let, g.gate.Refused))
			continue
		}
		kind, show := "in_flight", func(u quota.Unit) string { return fmt.Sprint(u) }
		if limit.Kind == quota.Rate {
			kind, show = "per_second", func(u quota.Unit) string { return fmt.Sprintf("%g", float64(u)/float64(quota.PerSecond)) }
		}
		lease, here := "none", g.share.fallback
		if now < g.share.expiry && g.share.expiry < time.Duration(1<<62) {
			lease, here = fmt.Sprintf("%dms", (g.share.expiry-now).Milliseconds()), g.share.amount
		}
		all = append(all, fmt.Sprintf("%s %s limit=%s here=%s lease=%s past=%s demand=%s in_use=%d let=%d refused=%d", g.Name, kind, show(limit.Most), show(here),
			lease, show(g.share.fallback), show(g.gate.Demand(now)), g.gate.InUse(), g.gate.Let, g.gate.Refused))
	}
	return all
}
