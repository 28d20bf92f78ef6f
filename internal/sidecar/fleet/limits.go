package fleet

import (
	"slices"
	"sync"
	"time"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
)

// limits has the gates of the fleet's limits. It is safe for concurrent use; requests that pass the gates do not wait for the
// actor.
type limits struct {
	origin time.Time

	mu             sync.Mutex
	gates          []*limitGate
	byName         map[string]*limitGate
	generalGates   []*limitGate            // gates of requests of all tenants
	tenantGates    map[string][]*limitGate // gates of requests of one tenant, by tenant
	allowanceGates []*limitGate            // gates of tenants' allowances, which are also in tenantGates
	tenants        []logic.Tenant
	withdrawn      []string     // tenants whose allowance is no longer divided by demand; to be reported by reportAllotments
	attemptGates   []*limitGate // gates of attempts at all nodes
	nodeGates      map[string][]*limitGate
	settings       quota.SettingsList
	nodes          []string
}

// limitGate is the gate of one limit. It is guarded by limits.mu.
type limitGate struct {
	quota.Settings
	gate  *quota.Gate
	share quotaShare
	// reportedAllotment is the share of an allowance that reportAllotments last reported.
	reportedAllotment quota.Unit
}

// quotaShare is this member's share of a limit: an amount until its lease expires, then a fallback.
type quotaShare struct {
	amount, fallback quota.Unit
	expiry           time.Duration
}

// set replaces the limits. The gate of a limit that stays keeps its counts. It returns the limits that the fleet divides.
func (l *limits) set(all quota.SettingsList) (list []quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = all
	return l.rebuild()
}

// setNodes replaces the listed execute nodes. It returns the limits that the fleet divides, and whether they may have changed.
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
	if !slices.ContainsFunc(l.settings, func(s quota.Settings) bool { return s.NodeInFlight > 0 }) {
		return nil, false
	}
	return l.rebuild(), true
}

// rebuild recreates the gates from the settings, the nodes and the tenants. It returns the limits that the fleet divides. The caller
// holds l.mu.
func (l *limits) rebuild() (list []quota.Limit) {
	before, allowancesBefore := l.byName, l.allowanceGates
	l.gates, l.attemptGates, l.generalGates, l.allowanceGates = nil, nil, nil, nil
	l.byName, l.nodeGates, l.tenantGates = make(map[string]*limitGate), make(map[string][]*limitGate), make(map[string][]*limitGate)
	add := func(s quota.Settings) *limitGate {
		if s.Leased() {
			list = append(list, s.Limit())
		}
		return l.addGate(s, before[s.Name])
	}
	for _, s := range l.settings {
		switch {
		case s.NodeInFlight > 0:
			for _, node := range l.nodes {
				if len(list) < quota.MaxLimits {
					l.nodeGates[node] = append(l.nodeGates[node], add(s.ForNode(node)))
				}
			}
		case s.AttemptRetryPercent > 0:
			l.attemptGates = append(l.attemptGates, add(s))
		case s.DividesAllowances:
			for _, tenant := range l.tenants {
				if tenant.Allowance > 0 && len(list) < quota.MaxLimits {
					g := add(s.ForTenant(tenant.Name, tenant.Allowance))
					l.allowanceGates = append(l.allowanceGates, g)
					l.tenantGates[tenant.Name] = append(l.tenantGates[tenant.Name], g)
				}
			}
		case s.Tenant != "":
			l.tenantGates[s.Tenant] = append(l.tenantGates[s.Tenant], add(s))
		default:
			l.generalGates = append(l.generalGates, add(s))
		}
	}
	for _, g := range allowancesBefore {
		if !slices.ContainsFunc(l.tenantGates[g.Tenant], func(gate *limitGate) bool { return gate.DividesAllowances }) {
			l.withdrawn = append(l.withdrawn, g.Tenant)
		}
	}
	return list
}

// addGate adds the gate of a limit. It reuses the limit's previous gate g, unless the kind or the burst has changed; nil: none.
func (l *limits) addGate(s quota.Settings, g *limitGate) *limitGate {
	if g == nil || g.Limit().Kind != s.Limit().Kind || g.Burst != s.Burst {
		g = &limitGate{gate: quota.NewGate(s.Limit().Kind, s.BurstTime(), time.Since(l.origin))}
	}
	g.Settings = s
	l.gates = append(l.gates, g)
	l.byName[s.Name] = g
	return g
}

// setTenants replaces the tenants. It returns the limits that the fleet divides.
func (l *limits) setTenants(tenants []logic.Tenant) (list []quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenants = tenants
	return l.rebuild()
}

// reportAllotments calls report for each tenant whose allowance this member has another share of than at the last call, with the
// share in requests per second; -1: an equal share, since the allowance is no longer divided by demand.
func (l *limits) reportAllotments(report func(tenant string, rate float64)) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, tenant := range l.withdrawn {
		report(tenant, -1)
	}
	l.withdrawn = nil
	for _, g := range l.allowanceGates {
		share := g.share.fallback
		if now < g.share.expiry {
			share = g.share.amount
		}
		if share != g.reportedAllotment {
			g.reportedAllotment = share
			report(g.Tenant, float64(share)/float64(quota.PerSecond))
		}
	}
}

// updateShares sets this member's shares at the gates.
func (l *limits) updateShares(h *quota.Holder) {
	now := time.Since(l.origin)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gates {
		if !g.Leased() {
			continue
		}
		g.share.amount, g.share.fallback, g.share.expiry = h.Share(g.Name, now)
		g.gate.SetShare(now, g.share.amount, g.share.fallback, g.share.expiry)
	}
}

// demand returns how much of a limit this member could use, and how much it has in use.
func (l *limits) demand(limit string, now time.Duration) (demand, used quota.Unit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.byName[limit]; g != nil {
		return g.gate.Demand(now), g.gate.InUse()
	}
	return 0, 0
}
