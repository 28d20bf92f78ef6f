package fleet

import (
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
