// Package allowance accounts for the requests of each tenant against its quota share, so that package logic can weigh
// requests by value under load shedding: a request beyond its tenant's share has only a small part of its class's value.
// The package makes no decisions, does no I/O, reads no clock and starts no goroutine; its caller passes the times. See
// docs/sidecar/tenant-allowances.md for its use by operators.
package allowance

import (
	"math"
	"time"
)

// Tenant is a caller with a quota share of the fleet's capacity. Its requests beyond the share have a reduced value.
type Tenant struct {
	Name      string
	Share     float64 // quota share: a fraction of the fleet's capacity, 0 to 1
	Allowance float64 // requests per second within the share, over all sidecars; 0: not set
}

// MixEntry describes the requests of one tenant, or all requests without an account.
type MixEntry struct {
	Fraction float64 // the tenant's fraction of this sidecar's requests, 0 to 1
	Value    float64 // value of one of these requests, as a fraction of its class's value
}

// tenant is the account of one tenant.
type tenant struct {
	Tenant
	rate        float64 // requests per second at this sidecar, aged as of rateUpdated
	rateUpdated time.Duration
	allotted    float64 // this sidecar's part of the allowance, requests per second; below 0: an equal part
	value       float64 // value of a request, as of the last call of Mix
}

// Accounts are the accounts of the tenants at one sidecar. Only tenants of the settings have an account, which bounds
// the memory: all other requests, with another tenant or none, are treated alike. Accounts are not safe for concurrent
// use.
type Accounts struct {
	named          []*tenant // in the order of the settings
	byName         map[string]*tenant
	sidecars       float64
	overShareValue float64
	agingTime      time.Duration
	mix            []MixEntry // buffer of Mix
}

// New returns the accounts of tenants at one of a number of sidecars. A request beyond its tenant's share has
// overShareValue (0 to 1) of its class's value. Rates are aged with the time constant agingTime, which must be positive.
func New(tenants []Tenant, sidecars int, overShareValue float64, agingTime time.Duration) *Accounts {
	a := &Accounts{byName: make(map[string]*tenant, len(tenants)), sidecars: float64(max(sidecars, 1)),
		overShareValue: min(max(overShareValue, 0), 1), agingTime: max(agingTime, time.Millisecond)}
	for _, t := range tenants {
		if a.byName[t.Name] == nil {
			a.named = append(a.named, &tenant{Tenant: t, value: 1, allotted: -1})
			a.byName[t.Name] = a.named[len(a.named)-1]
		}
	}
	return a
}

// Set replaces the tenants and the value of requests beyond a share. A tenant that was known before keeps its rate and
// its part of the allowance.
func (a *Accounts) Set(tenants []Tenant, overShareValue float64) {
	previous := a.byName
	*a = *New(tenants, int(a.sidecars), overShareValue, a.agingTime)
	for name, t := range a.byName {
		if p := previous[name]; p != nil {
			t.rate, t.rateUpdated, t.allotted = p.rate, p.rateUpdated, p.allotted
		}
	}
}

// SetAllowance sets this sidecar's part of a tenant's allowance, in requests per second. A negative rate stands for an
// equal part.
func (a *Accounts) SetAllowance(name string, rate float64) {
	if t := a.byName[name]; t != nil {
		t.allotted = rate
	}
}

// Count counts a request of a tenant at the time now of a monotonic clock.
func (a *Accounts) Count(now time.Duration, name string) {
	if t := a.byName[name]; t != nil {
		a.age(t, now)
		t.rate += 1 / a.agingTime.Seconds()
	}
}

func (a *Accounts) age(t *tenant, now time.Duration) {
	t.rate *= math.Exp(-float64(max(now-t.rateUpdated, 0)) / float64(a.agingTime))
	t.rateUpdated = now
}

// Mix returns the entries of the tenants at now in the order of the settings and, last, the entry of all other requests,
// which have full value. total is this sidecar's requests per second, aged like the rates of the tenants. The slice is
// valid until the next call.
func (a *Accounts) Mix(now time.Duration, total float64) []MixEntry {
	a.mix = a.mix[:0]
	rest := 1.0
	for _, t := range a.named {
		a.age(t, now)
		t.value = 1
		if allowed := a.allowedRate(t, total); t.rate > allowed {
			t.value = 1 - (1-a.overShareValue)*(1-allowed/t.rate)
		}
		fraction := min(t.rate/max(total, 1e-9), 1)
		rest -= fraction
		a.mix = append(a.mix, MixEntry{fraction, t.value})
	}
	return append(a.mix, MixEntry{max(rest, 0), 1})
}

// allowedRate is this sidecar's part of a tenant's allowance: the part given to SetAllowance, or else an equal part over
// the sidecars. Without an allowance in the settings it is the tenant's share of this sidecar's requests.
func (a *Accounts) allowedRate(t *tenant, total float64) float64 {
	switch {
	case t.Allowance > 0 && t.allotted >= 0:
		return t.allotted
	case t.Allowance > 0:
		return t.Allowance / a.sidecars
	}
	return t.Share * total
}

// Value is the value of a request of a tenant as a fraction of its class's value, as of the last call of Mix; 1 for a
// caller that the settings do not name.
func (a *Accounts) Value(name string) float64 {
	if t := a.byName[name]; t != nil {
		return t.value
	}
	return 1
}
