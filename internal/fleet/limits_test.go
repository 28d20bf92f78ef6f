package fleet

import (
	"testing"
	"time"

	"fieldrelay/internal/quota"
)

// holds gives a set of limits the whole of each, for an hour.
func holds(l *limits) {
	for _, g := range l.gates {
		g.gate.Part(time.Since(l.origin), g.Limit().Most, 0, time.Hour)
	}
}

func TestAdmit(t *testing.T) {
	l := &limits{origin: time.Now()}
	leased := l.set(quota.All{
		{Name: "all", InFlight: 3, Members: 1},
		{Name: "orders of a", Class: "order", Tenant: "a", InFlight: 1, Members: 1},
		{Name: "repeats", Again: 10},
	})
	if len(leased) != 2 {
		t.Fatalf("%v are leased", leased)
	}
	holds(l)
	ends := time.Now().Add(time.Second)
	take := func(class, tenant string, again, want bool) func() {
		t.Helper()
		done, after, ok := l.admit(class, tenant, again, ends)
		if ok != want || !ok && after <= 0 {
			t.Fatalf("%s of %s: %v, %v", class, tenant, ok, after)
		}
		return done
	}
	first := take("order", "a", false, true)
	take("order", "a", false, false) // over its tenant's limit: and it holds nothing of the other one
	take("order", "b", false, true)
	last := take("look", "a", false, true)
	take("look", "b", false, false) // three are in flight
	first()
	last()
	take("order", "a", false, true)
	for range 9 + 1 { // what is saved up, and no more
		take("look", "b", true, true)()
	}
	take("look", "b", true, false)
	// What stays of a change keeps its count; what is new holds nothing before it is told a part.
	l.set(quota.All{{Name: "all", InFlight: 3, Members: 1}, {Name: "new", Class: "pay", PerSecond: 5, Members: 1}})
	if in, _ := l.demand("all", time.Since(l.origin)); in < 2 {
		t.Errorf("%d in flight after the change", in)
	}
	take("pay", "", false, true) // the one request that a gate begins with
	take("pay", "", false, false)
	if lines := l.lines(); len(lines) != 2 {
		t.Error(lines)
	}
}
