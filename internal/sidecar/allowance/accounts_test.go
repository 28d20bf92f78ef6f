package allowance

import (
	"math"
	"testing"
	"time"
)

const agingTime = 3 * time.Second

// fill counts, for each tenant, a minute of requests at its rate per second. It returns the time at the end and the sum
// of the rates.
func fill(a *Accounts, rates map[string]float64) (now time.Duration, own float64) {
	for name, rate := range rates {
		own += rate
		step := time.Duration(float64(time.Second) / rate)
		for at := time.Duration(0); at < time.Minute; at += step {
			a.Count(at, name)
		}
	}
	return time.Minute, own
}

func TestRequestsBeyondTheAllowanceHaveLittleValue(t *testing.T) {
	a := New([]Tenant{{Name: "novakovi", Share: 0.4, Allowance: 80}, {Name: "kucerovi", Share: 0.2, Allowance: 40},
		{Name: "horakovi", Share: 0.4}}, 4, 0.05, agingTime)
	// Each of the four sidecars has an equal part of the allowances: 20 requests per second of novakovi, 10 of kucerovi.
	now, own := fill(a, map[string]float64{"novakovi": 40, "kucerovi": 10, "horakovi": 10, "": 10})
	mix := a.Mix(now, own)
	// horakovi has no allowance, and less than its share of this sidecar's requests.
	want := []MixEntry{{40.0 / 70, 1 - 0.95*0.5}, {10.0 / 70, 1}, {10.0 / 70, 1}, {10.0 / 70, 1}}
	if len(mix) != len(want) {
		t.Fatalf("parts %v, want %v", mix, want)
	}
	for i := range want {
		if math.Abs(mix[i].Fraction-want[i].Fraction) > 0.02 || math.Abs(mix[i].Value-want[i].Value) > 0.02 {
			t.Fatalf("parts %v, want %v", mix, want)
		}
	}
	for name, value := range map[string]float64{"novakovi": want[0].Value, "kucerovi": 1, "acme": 1, "": 1} {
		if got := a.Value(name); math.Abs(got-value) > 0.02 {
			t.Errorf("value of a request of tenant %q is %v, want %v", name, got, value)
		}
	}
}

// A tenant without an allowance is measured by its share of this sidecar's requests, whose rates are aged.
func TestShareOfOwnRequestsAndAging(t *testing.T) {
	a := New([]Tenant{{Name: "a", Share: 0.25}, {Name: "b", Share: 0.75}}, 1, 0, agingTime)
	now, own := fill(a, map[string]float64{"a": 50, "b": 50})
	if mix := a.Mix(now, own); math.Abs(mix[0].Value-0.5) > 0.02 || mix[1].Value != 1 || mix[2].Fraction > 0.02 {
		t.Fatalf("parts %v, want value 0.5 for a, which sends twice its share, and 1 for b", mix)
	}
	// After a minute without requests, the rate of a has aged to almost 0, and its requests have full value again.
	if mix := a.Mix(now+time.Minute, 1); mix[0].Fraction > 1e-6 || mix[0].Value != 1 {
		t.Fatalf("parts %v after a minute without requests, want almost no requests of a, at full value", mix)
	}
}

// Only the tenants of the settings have an account, however many names the requests have. Otherwise clients could
// exhaust the memory.
func TestNamesNotInTheSettingsTakeNoMemory(t *testing.T) {
	a := New([]Tenant{{Name: "a", Share: 1}, {Name: "a", Share: 0.5}}, 1, 0.1, agingTime)
	for i := range 10000 {
		a.Count(time.Duration(i)*time.Millisecond, string(rune('b'+i%1000)))
	}
	if len(a.byName) != 1 || len(a.Mix(10*time.Second, 100)) != 2 {
		t.Fatalf("%d tenants have an account, want 1", len(a.byName))
	}
}

// After a reload of the settings, a tenant that stays keeps its rate, a new one starts with a rate of 0, and requests
// of a removed one are counted among those without a tenant.
func TestSetKeepsWhatStays(t *testing.T) {
	a := New([]Tenant{{Name: "a", Share: 0.25}, {Name: "b", Share: 0.75}}, 1, 0, agingTime)
	now, own := fill(a, map[string]float64{"a": 50, "b": 50})
	a.Set([]Tenant{{Name: "c", Share: 0.5}, {Name: "a", Share: 0.25}}, 0.5)
	mix := a.Mix(now, own)
	if len(mix) != 3 || mix[0].Fraction != 0 || math.Abs(mix[1].Fraction-0.5) > 0.02 || math.Abs(mix[1].Value-0.75) > 0.02 ||
		math.Abs(mix[2].Fraction-0.5) > 0.02 || a.Value("b") != 1 {
		t.Fatalf("parts %v after the reload, want 0 for c, 0.5 with value 0.75 for a, and 0.5 for the rest, with b", mix)
	}
}
