package fleet

import (
	"fmt"
	"sync"
	"time"

	"fieldrelay/internal/quota"
)

// limits are the gates of the fleet's limits. Fronts pass through them from any goroutine, and never wait for the actor.
type limits struct {
	origin time.Time

	mu    sync.Mutex
	gates []*limited
}

// limited is one limit. It belongs to who holds limits.mu.
type limited struct {
	quota.Settings
	gate *quota.Gate
	told part
}

// part is what was last told of this member's part.
type part struct {
	now, past quota.Unit
	until     time.Duration
}

// set replaces the limits; one that stays as it was goes on. It gives them as the machines take them.
func (l *limits) set(all quota.All) (list []quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := map[string]*limited{}
	for _, g := range l.gates {
		was[g.Name] = g
	}
	l.gates = nil
	for _, s := range all {
		g := was[s.Name]
		if g == nil || g.Limit().Kind != s.Limit().Kind || g.Burst != s.Burst {
			g = &limited{gate: quota.NewGate(s.Limit().Kind, s.BurstTime(), time.Since(l.origin))}
		}
		g.Settings = s
		l.gates = append(l.gates, g)
		if s.Leased() {
			list = append(list, s.Limit())
		}
	}
	return list
}

// tell tells the gates this member's parts.
func (l *limits) tell(h *quota.Holder) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		if !g.Leased() {
			continue
		}
		g.told.now, g.told.past, g.told.until = h.Part(g.Name, now)
		g.gate.Part(now, g.told.now, g.told.past, g.told.until)
	}
}

// demand is what this member could use of a limit, and what is in use.
func (l *limits) demand(limit string, now time.Duration) (demand, used quota.Unit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		if g.Name == limit {
			return g.gate.Demand(now), g.gate.InUse()
		}
	}
	return 0, 0
}

// admit lets a request through all limits that it counts under, or none.
func (l *limits) admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	type taken struct {
		g    *limited
		slot quota.Slot
	}
	var all []taken
	for _, g := range l.gates {
		if !g.Applies(class, tenant) {
			continue
		}
		slot, after, ok := quota.NoSlot, time.Duration(0), false
		if g.Leased() {
			slot, after, ok = g.gate.Take(now, ends.Sub(l.origin))
		} else {
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

// lines has a line for each limit: its name, what is let through here, for how long, what past that, and the counts.
func (l *limits) lines() (all []string) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		limit := g.Limit()
		if !g.Leased() {
			all = append(all, fmt.Sprintf("%s again_pct limit=%g here=%g lease=none let=%d refused=%d", g.Name, g.Again, g.Again, g.gate.Let, g.gate.Refused))
			continue
		}
		kind, show := "in_flight", func(u quota.Unit) string { return fmt.Sprint(u) }
		if limit.Kind == quota.Rate {
			kind, show = "per_second", func(u quota.Unit) string { return fmt.Sprintf("%g", float64(u)/float64(quota.PerSecond)) }
		}
		lease, here := "none", g.told.past
		if now < g.told.until && g.told.until < time.Duration(1<<62) {
			lease, here = fmt.Sprintf("%dms", (g.told.until-now).Milliseconds()), g.told.now
		}
		all = append(all, fmt.Sprintf("%s %s limit=%s here=%s lease=%s past=%s demand=%s in_use=%d let=%d refused=%d", g.Name, kind, show(limit.Most), show(here),
			lease, show(g.told.past), show(g.gate.Demand(now)), g.gate.InUse(), g.gate.Let, g.gate.Refused))
	}
	return all
}
