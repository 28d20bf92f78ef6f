// Package door keeps what each tenant sends against its allowance, so that the decision module can weigh a
// request by what it is worth: beyond its tenant's share, only a small part of its class's worth. It does no
// I/O, reads no clock and starts no goroutine: times are told by its caller, who owns it.
package door

import (
	"math"
	"time"
)

// Tenant is a caller with a share of what the fleet can do; what it sends beyond that is worth little.
type Tenant struct {
	Name      string
	Share     float64 // of the service, 0 to 1
	Allowance float64 // requests a second over all sidecars within the share; 0: not told
}

// Part is what one tenant sends of the own requests, and what a request of it is worth as a part of its
// class's worth.
type Part struct {
	Part, Worth float64
}

type tenant struct {
	Tenant
	asked float64 // aged requests a second
	at    time.Duration
	worth float64 // as last weighed
	part  float64 // of the allowance, requests a second; below 0: an equal part
}

// Door is the ledger of the tenants of one sidecar. Its memory is fixed by the settings: callers that they do
// not name are counted as one, with the requests that name none.
type Door struct {
	named     []*tenant
	byName    map[string]*tenant
	sidecars  float64
	overShare float64
	ageing    time.Duration
	mix       []Part // scratch of Mix, the rest last
}

// New makes the ledger of tenants for one of so many sidecars; a request beyond its share is worth overShare
// (0 to 1) of its class's worth, and what is sent is aged over ageing (over 0).
func New(tenants []Tenant, sidecars int, overShare float64, ageing time.Duration) *Door {
	d := &Door{byName: make(map[string]*tenant, len(tenants)), sidecars: float64(max(sidecars, 1)),
		overShare: min(max(overShare, 0), 1), ageing: max(ageing, time.Millisecond)}
	for _, t := range tenants {
		if d.byName[t.Name] == nil {
			d.named = append(d.named, &tenant{Tenant: t, worth: 1, part: -1})
			d.byName[t.Name] = d.named[len(d.named)-1]
		}
	}
	return d
}

// Set takes new tenants and the worth beyond a share from now on; what was counted of a tenant that stays is
// kept.
func (d *Door) Set(tenants []Tenant, overShare float64) {
	old := d.byName
	*d = *New(tenants, int(d.sidecars), overShare, d.ageing)
	for name, t := range d.byName {
		if o := old[name]; o != nil {
			t.asked, t.at, t.part = o.asked, o.at, o.part
		}
	}
}

// Allot tells what of a tenant's allowance is this sidecar's, in requests a second; below 0: an equal part.
func (d *Door) Allot(name string, rate float64) {
	if t := d.byName[name]; t != nil {
		t.part = rate
	}
}

// Arrive counts a request of the named tenant at now (the caller's clock, never going back).
func (d *Door) Arrive(now time.Duration, name string) {
	if t := d.byName[name]; t != nil {
		d.age(t, now)
		t.asked += 1 / d.ageing.Seconds()
	}
}

func (d *Door) age(t *tenant, now time.Duration) {
	t.asked *= math.Exp(-float64(max(now-t.at, 0)) / float64(d.ageing))
	t.at = now
}

// Mix weighs the named tenants at now, where the sidecar's own requests come at own a second (aged alike). A
// tenant's own part of its allowance is what was allotted, or an equal part over the sidecars, or where the settings tell
// none, its share of the own requests; what it sends beyond is worth overShare. The parts come in the
// settings' order, and last those of no named tenant, of full worth. The slice is the door's until the next
// call.
func (d *Door) Mix(now time.Duration, own float64) []Part {
	d.mix = d.mix[:0]
	rest := 1.0
	for _, t := range d.named {
		d.age(t, now)
		allowed := t.Share * own
		switch {
		case t.Allowance > 0 && t.part >= 0:
			allowed = t.part
		case t.Allowance > 0:
			allowed = t.Allowance / d.sidecars
		}
		t.worth = 1
		if t.asked > allowed {
			t.worth = 1 - (1-d.overShare)*(1-allowed/t.asked)
		}
		part := min(t.asked/max(own, 1e-9), 1)
		rest -= part
		d.mix = append(d.mix, Part{part, t.worth})
	}
	return append(d.mix, Part{max(rest, 0), 1})
}

// Worth is what a request of the named tenant is worth as a part of its class's, as Mix last weighed it: 1 for
// a caller that the settings do not name.
func (d *Door) Worth(name string) float64 {
	if t := d.byName[name]; t != nil {
		return t.worth
	}
	return 1
}
