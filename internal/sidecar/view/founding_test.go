package view

import (
	"testing"
	"time"

	"fieldrelay/internal/sidecar/member"
)

// A new group must not confirm a view before the leases of an earlier group have expired. This also applies if there is a store
// and it is empty, since its content may have been lost.
func TestFoundedGroupWaitsForLeases(t *testing.T) {
	for name, stored := range map[string]*StoredState{"no store": nil, "empty store": {}} {
		self := member.Record{Name: "a", Addr: "a", Boot: 9, Incarnation: 1}
		m, err := New(Config{Name: "a", Boot: 9, Voters: []string{"a"}, Pace: pace, Lease: 20 * pace, Drift: 0.01, Seed: 1, Stored: stored,
			Members: func() []member.Record { return []member.Record{self} }, Member: func(string) (member.Record, bool) { return self, true }}, 0)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		for !m.HoldsLease(now) && now < time.Hour {
			now = max(now+1, m.Next())
			m.Step(now, Tick{})
		}
		if bound := StalenessBound(20*pace, 0.01); now < bound || now > bound+20*pace {
			t.Errorf("%s: lease on the first view held after %v, earlier leases may last for %v", name, now, bound)
		}
	}
}
