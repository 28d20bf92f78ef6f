package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fieldrelay/internal/quota"
	"fieldrelay/internal/verdict"
	"fieldrelay/logic"
)

// limits are the gates of the fleet's limits. Fronts pass through them from any goroutine, and never wait for the actor.
type limits struct {
	origin time.Time

	mu             sync.Mutex
	gates          []*limitGate
	byName         map[string]*limitGate
	generalGates   []*limitGate            // those of requests that are for all tenants,
	tenantGates    map[string][]*limitGate // and for one
	allowanceGates []*limitGate            // of tenants' allowances
	tenants        []logic.Tenant
	withdrawn      []string     // tenants whose allowance is no longer divided
	attemptGates   []*limitGate // those of attempts that are for all nodes,
	nodeGates      map[string][]*limitGate
	settings       quota.All
	nodes          []string
}

// limited is one limit. It belongs to who holds limits.mu.
type limitGate struct {
	quota.Settings
	gate  *quota.Gate
	share quotaShare
	// allotted is what was last told of a part of an allowance.
	reportedAllotment quota.Unit
}

// part is what was last told of this member's part.
type quotaShare struct {
	amount, fallback quota.Unit
	expiry           time.Duration
}

// set replaces the limits; one that stays as it was goes on. It gives them as the machines take them.
func (l *limits) set(all quota.All) (list []quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = all
	return l.rebuild()
}

// list takes over which execute nodes there are. changed tells whether that changes the limits.
func (l *limits) setNodes(nodes []verdict.Node) (list []quota.Limit, changed bool) {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	slices.Sort(names)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(names, l.nodes) {
		return nil, false
	}
	l.nodes = names
	if !slices.ContainsFunc(l.settings, func(s quota.Settings) bool { return s.Node > 0 }) {
		return nil, false
	}
	return l.rebuild(), true
}

// make makes the gates anew of the settings and the nodes.
func (l *limits) rebuild() (list []quota.Limit) {
	was, shared := l.byName, l.allowanceGates
	l.gates, l.attemptGates, l.generalGates, l.allowanceGates = nil, nil, nil, nil
	l.byName, l.nodeGates, l.tenantGates = map[string]*limitGate{}, map[string][]*limitGate{}, map[string][]*limitGate{}
	add := func(s quota.Settings) *limitGate {
		g := was[s.Name]
		if g == nil || g.Limit().Kind != s.Limit().Kind || g.Burst != s.Burst {
			g = &limitGate{gate: quota.NewGate(s.Limit().Kind, s.BurstTime(), time.Since(l.origin))}
		}
		g.Settings = s
		l.gates = append(l.gates, g)
		l.byName[s.Name] = g
		if s.Leased() {
			list = append(list, s.Limit())
		}
		return g
	}
	for _, s := range l.settings {
		switch {
		case s.Node > 0:
			for _, node := range l.nodes {
				if len(list) < quota.MostLimits {
					l.nodeGates[node] = append(l.nodeGates[node], add(s.At(node)))
				}
			}
		case s.Retry > 0:
			l.attemptGates = append(l.attemptGates, add(s))
		case s.Shares:
			for _, t := range l.tenants {
				if t.Allowance > 0 && len(list) < quota.MostLimits {
					g := add(s.Of(t.Name, t.Allowance))
					l.allowanceGates = append(l.allowanceGates, g)
					l.tenantGates[t.Name] = append(l.tenantGates[t.Name], g)
				}
			}
		case s.Tenant != "":
			l.tenantGates[s.Tenant] = append(l.tenantGates[s.Tenant], add(s))
		default:
			l.generalGates = append(l.generalGates, add(s))
		}
	}
	for _, g := range shared {
		if !slices.ContainsFunc(l.tenantGates[g.Tenant], func(o *limitGate) bool { return o.Shares }) {
			l.withdrawn = append(l.withdrawn, g.Tenant)
		}
	}
	return list
}

// allow takes over the tenants of the settings.
func (l *limits) setTenants(tenants []logic.Tenant) (list []quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenants = tenants
	return l.rebuild()
}

// allotted calls tell for each tenant of whose allowance another part is this member's than at the last call.
func (l *limits) reportAllotments(tell func(tenant string, rate float64)) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, tenant := range l.withdrawn {
		tell(tenant, -1) // an equal part again
	}
	l.withdrawn = nil
	for _, g := range l.allowanceGates {
		part := g.share.fallback
		if now < g.share.expiry {
			part = g.share.amount
		}
		if part != g.reportedAllotment {
			g.reportedAllotment = part
			tell(g.Tenant, float64(part)/float64(quota.PerSecond))
		}
	}
}

// tell tells the gates this member's parts.
func (l *limits) updateShares(h *quota.Holder) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		if !g.Leased() {
			continue
		}
		g.share.amount, g.share.fallback, g.share.expiry = h.Part(g.Name, now)
		g.gate.Part(now, g.share.amount, g.share.fallback, g.share.expiry)
	}
}

// demand is what this member could use of a limit, and what is in use.
func (l *limits) demand(limit string, now time.Duration) (demand, used quota.Unit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.byName[limit]; g != nil {
		return g.gate.Demand(now), g.gate.InUse()
	}
	return 0, 0
}

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
