package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
)

// grantAll gives each gate a share of its whole limit, leased for an hour.
func grantAll(l *limits) {
	for _, g := range l.gates {
		g.gate.SetShare(time.Since(l.origin), g.Limit().Total, 0, time.Hour)
	}
}

func TestAdmit(t *testing.T) {
	l := &limits{origin: time.Now()}
	leased := l.set(quota.SettingsList{
		{Name: "all", InFlight: 3, Members: 1},
		{Name: "orders of a", Class: "order", Tenant: "a", InFlight: 1, Members: 1},
		{Name: "repeats", ClientRetryPercent: 10},
	})
	if len(leased) != 2 {
		t.Fatalf("leased limits are %v instead of the first two", leased)
	}
	grantAll(l)
	deadline := time.Now().Add(time.Second)
	take := func(class, tenant string, again, want bool) func() {
		t.Helper()
		done, after, ok := l.admit(class, tenant, again, deadline)
		if ok != want || !ok && after <= 0 {
			t.Fatalf("request of class %s of tenant %s: admitted %v, retry after %v", class, tenant, ok, after)
		}
		return done
	}
	first := take("order", "a", false, true)
	take("order", "a", false, false) // rejected by its tenant's limit, so that it does not count for the other limit
	take("order", "b", false, true)
	last := take("look", "a", false, true)
	take("look", "b", false, false) // the limit of three in flight is reached
	first()
	last()
	take("order", "a", false, true)
	for range 9 + 1 { // all retries that the gate has saved
		take("look", "b", true, true)()
	}
	take("look", "b", true, false)
	// A limit that stays keeps its count; a new limit has no share at first.
	l.set(quota.SettingsList{{Name: "all", InFlight: 3, Members: 1}, {Name: "new", Class: "pay", PerSecond: 5, Members: 1}})
	if in, _ := l.demand("all", time.Since(l.origin)); in < 2 {
		t.Errorf("limit all: demand %d after the change of the limits, expected at least 2", in)
	}
	take("pay", "", false, true) // a new gate admits one request
	take("pay", "", false, false)
	if lines := l.statusLines(); len(lines) != 2 {
		t.Error(lines)
	}
}

// Ten thousand tenants take bounded memory, a request passes only the gates of its own tenant, and a report has only the limits in
// use.
func TestTenThousandTenants(t *testing.T) {
	var tenants []logic.Tenant
	for i := range 10_000 {
		tenants = append(tenants, logic.Tenant{Name: fmt.Sprint("tenant-", i), Allowance: 10})
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	l := &limits{origin: time.Now(), tenants: tenants}
	list := l.set(quota.SettingsList{{Name: "shares", DividesAllowances: true, Members: 8}})
	h := quota.NewHolder(quota.Times{ReportInterval: time.Second, Lease: time.Minute}, 1, 0, quota.NoMutation)
	h.SetLimits(list)
	l.updateShares(h)
	allocated := heap() - before
	t.Logf("%d limits, %.1f MB, %d bytes each", len(list), float64(allocated)/1e6, int(allocated)/len(list))
	if len(list) != 10_000 || allocated > 10<<20 {
		t.Errorf("%d limits in %d bytes", len(list), allocated)
	}
	for i := range 3000 {
		if _, _, ok := l.admit("look", tenants[i].Name, false, time.Now()); !ok {
			t.Fatal("request rejected by an allowance, which must reject nothing")
		}
	}
	for _, name := range h.Names() {
		demand, used := l.demand(name, time.Since(l.origin))
		h.SetDemand(name, demand)
		h.SetInUse(name, used)
	}
	r := h.Report(time.Since(l.origin))
	b, err := peer.Encode(peer.Frame{Report: &r})
	if err != nil || len(r.Limits) == 0 || len(r.Limits) > 1024 {
		t.Errorf("%d claims, %d bytes, %v", len(r.Limits), len(b), err)
	}
	t.Logf("a report of %d claims has %d bytes", len(r.Limits), len(b))
	reported := map[string]float64{}
	report := func(tenant string, rate float64) { reported[tenant] = rate }
	l.reportAllotments(report)
	if len(reported) != 10_000 || reported["tenant-7"] != 1.25 { // without a lease each member has an equal share
		t.Errorf("%d reported, tenant-7 %g", len(reported), reported["tenant-7"])
	}
	clear(reported)
	h.ReceiveGrant(time.Since(l.origin), quota.Grant{Seq: r.Seq, Shares: []quota.Share{{Limit: "shares/tenant-7", Amount: 9 * quota.PerSecond}}})
	l.updateShares(h)
	if l.reportAllotments(report); len(reported) != 1 || reported["tenant-7"] != 9 {
		t.Errorf("%v reported after a grant", reported)
	}
	clear(reported)
	l.set(nil) // the settings no longer divide allowances, so shares are equal again
	if l.reportAllotments(report); len(reported) != 10_000 || reported["tenant-7"] != -1 {
		t.Errorf("%d reported, tenant-7 %g", len(reported), reported["tenant-7"])
	}
}

// Limits of attempts: each listed node has its own limit, and a node that is removed from the list has none.
func TestClaimsAtNodes(t *testing.T) {
	l := &limits{origin: time.Now()}
	l.set(quota.SettingsList{{Name: "each", NodeInFlight: 2, Members: 1}, {Name: "retries", AttemptRetryPercent: 10}})
	list, changed := l.setNodes([]verdict.Node{{Name: "a"}, {Name: "b"}})
	if !changed || len(list) != 2 || list[0].Name != "each/a" {
		t.Fatalf("%v", list)
	}
	grantAll(l)
	deadline := time.Now().Add(time.Second)
	claim := func(node string, again, want bool) func() {
		t.Helper()
		done, ok := l.admitAttempt(node, "order", "", again, 1, deadline)
		if ok != want {
			t.Errorf("attempt at node %s, retry %v: admitted %v", node, again, ok)
		}
		return done
	}
	first := claim("a", false, true)
	claim("a", false, true)
	claim("a", false, false)
	claim("b", false, true)
	claim("c", false, true) // not listed, so it has no limit
	first()
	claim("a", false, true)
	for range 10 { // all retries that the gate has saved
		claim("c", true, true)
	}
	claim("c", true, false)
	if list, changed := l.setNodes([]verdict.Node{{Name: "b"}}); !changed || len(list) != 1 {
		t.Errorf("%v", list)
	}
	claim("a", false, true)
}
