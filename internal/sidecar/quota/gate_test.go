package quota

import (
	"strings"
	"testing"
	"time"
)

// offerLoad sends requests to a gate at a constant rate and returns how many were admitted.
func offerLoad(g *Gate, from, to time.Duration, rate float64) (admitted int) {
	for at := from; at < to; at += time.Duration(float64(time.Second) / rate) {
		if _, after, ok := g.Take(at, at+time.Second); ok {
			admitted++
		} else if after <= 0 {
			panic("request rejected without a retry delay")
		}
	}
	return admitted
}

func TestRateGate(t *testing.T) {
	const s = time.Second
	g := NewGate(Rate, 100*time.Millisecond, 0)
	g.SetShare(0, 50*PerSecond, 5*PerSecond, 10*s)
	if n := offerLoad(g, 0, 5*s, 200); n < 249 || n > 256 { // 250, and the burst
		t.Errorf("%d admitted in 5 s, want about 250", n)
	}
	if d := g.Demand(5 * s); d < 200*PerSecond || d > 300*PerSecond {
		t.Errorf("demand %d, want 200 to 300 times PerSecond", d)
	}
	// The lease ends in the middle of the next 10 s: 5 s at 50 per second, then 5 s at the fallback's 5.
	if n := offerLoad(g, 5*s, 15*s, 200); n < 270 || n > 282 {
		t.Errorf("%d admitted across the end of the lease, want about 275", n)
	}
	g.SetShare(15*s, 50*PerSecond, 5*PerSecond, 100*s)
	offerLoad(g, 15*s, 16*s, 1)
	g.SetShare(16*s, 5*PerSecond, 5*PerSecond, 100*s) // tokens accumulated at 50 are dropped with the share
	if n := offerLoad(g, 16*s, 17*s, 1000); n > 6 {
		t.Errorf("%d admitted after the share was reduced, want about 5", n)
	}
	g.Take(17*s, 18*s)
	if _, after, ok := g.Take(17*s, 18*s); ok || after > 210*time.Millisecond {
		t.Errorf("retry delay %v, admitted %v; want a rejection with a delay of at most 0.21 s", after, ok)
	}
}

func TestInFlightGate(t *testing.T) {
	const s = time.Second
	g := NewGate(InFlight, 0, 0)
	g.SetShare(0, 5, 2, 10*s)
	var slots []Slot
	for range 5 {
		slot, _, ok := g.Take(0, s)
		if !ok {
			t.Fatal("request rejected while a slot is free")
		}
		slots = append(slots, slot)
	}
	if _, after, ok := g.Take(0, s); ok || after <= 0 || g.InUse() != 5 {
		t.Error("sixth request admitted with a share of five, or no retry delay, or a wrong count in flight")
	}
	for _, slot := range slots {
		g.Done(slot)
	}
	// Near the end of the lease, requests that would outlive it are admitted by the fallback alone.
	for i := range 3 {
		if _, _, ok := g.Take(9500*time.Millisecond, 11*s); ok != (i < 2) {
			t.Errorf("request %d: admitted %t, want only the first two admitted", i, ok)
		}
	}
	if d := g.Demand(9500 * time.Millisecond); d < 3 || d > 7 {
		t.Errorf("demand %d, want 3 to 7", d)
	}
}

// TestRetriesAreAFractionOfRequests checks that retries are limited to a fraction of the other requests, and the accumulated
// tokens.
func TestRetriesAreAFractionOfRequests(t *testing.T) {
	share := Settings{ClientRetryPercent: 20}.Limit().Total
	g := NewGate(Retries, 0, 0)
	admitted := 0
	for i := range 1000 {
		if after, ok := g.AdmitByRetryBudget(true, share); ok {
			admitted++
		} else if after <= 0 {
			t.Fatal("retry rejected without a retry delay")
		}
		if i%2 == 0 { // 500 first requests among 1,000 retries
			g.AdmitByRetryBudget(false, share)
		}
	}
	if admitted != 100+maxSavedRetries {
		t.Errorf("%d retries admitted beside 500 first requests, want 100 and the accumulated tokens", admitted)
	}
}

func TestSettings(t *testing.T) {
	good := Settings{Name: "a", PerSecond: 100, Floor: 20, Members: 8}
	for name, c := range map[string]struct {
		all   SettingsList
		fleet bool
		keys  string
	}{
		"a rate, a limit in flight, retries": {SettingsList{good, {Name: "b", InFlight: 4, Members: 2, Policy: "available"}, {Name: "c", ClientRetryPercent: 10}}, true, ""},
		"without a fleet":                    {SettingsList{good}, false, "[0].name "},
		"a name twice":                       {SettingsList{good, good}, true, "[1].name "},
		"two kinds in one":                   {SettingsList{{Name: "a", PerSecond: 1, InFlight: 1, Members: 1}}, true, "[0].per_second "},
		"nothing but a name":                 {SettingsList{{Name: "a"}}, true, "[0].per_second [0].members "},
		"out of range":                       {SettingsList{{Name: "a", ClientRetryPercent: -1, Floor: 101, Members: -1, Policy: "lax", Burst: -1}}, true, "[0].per_second [0].floor_pct [0].members [0].policy [0].burst_ms "},
	} {
		keys := ""
		c.all.Check(c.fleet, func(key string, read any, allowed string) { keys += key + " " })
		if keys != c.keys {
			t.Errorf("%s: faults for the keys %q", name, keys)
		}
	}
	if b := good.Bound(); !strings.Contains(b, "2.5 a second of it for each of 8 members") || !strings.Contains(b, "never exceeded") {
		t.Error(b)
	}
}

// TestOutstandingGrantsAreBounded checks that reports of forged processes add outstanding grants up to maxHolders and no more.
func TestOutstandingGrantsAreBounded(t *testing.T) {
	g := NewGranter(Times{ReportInterval: time.Second, Lease: 10 * time.Second, ActTimeout: 100 * time.Second}, NoMutation)
	g.SetLimits([]Limit{{Name: "x", Total: 1000, MaxMembers: 4}})
	g.Lead(0, Term{Term: 1}, 0)
	g.Lead(110*time.Second, Term{Term: 1}, 110*time.Second)
	for i := range maxHolders + 50 {
		g.ReceiveReport(120*time.Second, Process{Name: "n", Boot: uint64(i + 1)}, Report{Seq: 1, Limits: []LimitReport{{Limit: "x", Total: 1000}}})
	}
	if n := len(g.outstanding["x"]); n != maxHolders {
		t.Errorf("%d outstanding grants, %d at most", n, maxHolders)
	}
}

// TestReducedShareOfWarmingNode checks that fewer requests may be in flight at a node that is warming up, but one of each member
// if the reduced limit allows that.
func TestReducedShareOfWarmingNode(t *testing.T) {
	s := Settings{Name: "n", NodeInFlight: 40, Members: 4}
	for _, c := range []struct {
		warm float64
		want int
	}{{1, 10}, {0.5, 5}, {0.31, 3}, {0.1, 1}, {0.05, 0}} {
		g := NewGate(InFlight, 0, 0)
		g.SetShare(0, 10, 0, time.Hour)
		got := 0
		for range 20 {
			if _, _, ok := g.TakeReduced(0, time.Second, s.Reduced(c.warm)); ok {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%d of 10 admitted at %g of the capacity, want %d", got, c.warm, c.want)
		}
	}
}
