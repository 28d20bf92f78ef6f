// Package quota holds limits of the whole fleet: a Holder in each member knows
// what part it may use, a Granter in one of them gives the parts out. Both are
// state machines without I/O, clock or goroutine. docs/design-shared.md says
// why the parts of all never sum to more than the limit.
package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate     Kind = iota // what begins in a second
	InFlight             // what has begun and not ended
	Retries              // repeats, as a part of first requests: each member's part holds for all, so none is leased
)

// Unit is what amounts are counted in: thousandths of a request a second, or requests in flight. They are whole, so
// that sums are exact.
type Unit = int64

// PerSecond is a request a second, in units.
const PerSecond Unit = 1000

// Limit is a limit of the fleet.
type Limit struct {
	Name         string
	Kind         Kind
	Total        Unit // for all
	FloorPercent Unit // percent of it that are reserved, in equal parts, for Members names
	MaxMembers   Unit // names that there can be, at the most
	Available    bool // past its lease a holder goes on with an equal part of the pool too; else with its floor alone
}

// floor is what one member has for good.
func (l Limit) floor() Unit { return l.Total * l.FloorPercent / 100 / max(1, l.MaxMembers) }

// pool is what is leased.
func (l Limit) pool() Unit { return l.Total - l.floor()*l.MaxMembers }

// Times are those of a fleet. All members have the same.
type Times struct {
	ReportInterval time.Duration // between two reports of a holder
	Lease          time.Duration // of a grant, from when its report was sent
	ActTimeout     time.Duration // for so long after it was confirmed a granter acts
	Drift          float64
}

// stretch is a time that is surely over on one clock when d is over on another.
func (t Times) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift))
}

// Term is the reign of one granter; a later one is higher.
type Term struct {
	Era  uint64 `cbor:"1,keyasint,omitempty"`
	Term uint64 `cbor:"2,keyasint,omitempty"`
}

func (t Term) before(u Term) bool { return t.Era < u.Era || t.Era == u.Era && t.Term < u.Term }

// LimitReport is what a holder says of one limit. Limits are told apart by name.
type LimitReport struct {
	Limit  string `cbor:"1,keyasint"`
	Leased Unit   `cbor:"2,keyasint,omitempty"` // leased to it, by its own word
	Demand Unit   `cbor:"3,keyasint,omitempty"` // that it could use, its floor included
	Total  Unit   `cbor:"4,keyasint"`           // the limit by its file
}

// ReportInterval goes from a holder to the granter.
type Report struct {
	Seq    uint64        `cbor:"1,keyasint"` // counts up from a drawn number
	Limits []LimitReport `cbor:"2,keyasint"`
}

// Share is what a granter gives of one limit.
type Share struct {
	Limit  string `cbor:"1,keyasint"`
	Amount Unit   `cbor:"2,keyasint,omitempty"`
}

// Grant answers a report.
type Grant struct {
	Seq    uint64  `cbor:"1,keyasint"` // of the report
	Term   Term    `cbor:"2,keyasint"`
	Shares []Share `cbor:"3,keyasint"`
}

// MaxLimits bounds the limits of a fleet.
const MaxLimits = 16 << 10

// Where there are more limits than reportAllLimits, only those that are in use are reported, and the maxReported most demanded of
// them: of the others a member has its floor.
const (
	reportAllLimits = 64
	maxReported     = 1024
)

// hysteresis is the percentage of an equal share by which a part has to differ from what it should be to be changed.
const hysteresis = 10 // percent

// Mutation is a fault put in on purpose.
type Mutation uint8

// The mutations.
const (
	NoMutation     Mutation = iota
	LeaseFromReply          // a lease counts from when the grant came
	AnyGrant                // a grant for an older report counts too
	NoWait                  // a new granter gives at once
	TakeAtOnce              // what is taken back is given on before the holder has let it go
)

// Holder is one member's side.
type Holder struct {
	times       Times
	mutate      Mutation
	limits      map[string]*heldLimit
	names       []string
	seq         uint64
	sentAt      time.Duration // of the last report
	awaitsGrant bool          // no answer to it so far
	term        Term
	reportDue   time.Duration
}

type heldLimit struct {
	Limit
	amount Unit // leased
	expiry time.Duration
	demand Unit
	inUse  Unit // in flight
}

// NewHolder makes a holder that holds its floors. seq is drawn.
func NewHolder(times Times, seq uint64, now time.Duration, mutate Mutation) *Holder {
	return &Holder{times: times, limits: map[string]*heldLimit{}, seq: seq, reportDue: now, mutate: mutate}
}

// SetLimits replaces the limits. What was leased of one that stays goes on, cut to the new limit.
func (h *Holder) SetLimits(limits []Limit) {
	was := h.limits
	h.limits, h.names = map[string]*heldLimit{}, nil
	for _, l := range limits {
		if len(h.limits) >= MaxLimits || h.limits[l.Name] != nil {
			continue
		}
		k := &heldLimit{Limit: l}
		if old := was[l.Name]; old != nil {
			k.amount, k.expiry, k.demand, k.inUse = min(old.amount, l.pool()), old.expiry, old.demand, old.inUse
		}
		h.limits[l.Name] = k
		h.names = append(h.names, l.Name)
	}
	slices.Sort(h.names)
}

// SetDemand tells what this member could use of a limit now.
func (h *Holder) SetDemand(limit string, amount Unit) {
	if k := h.limits[limit]; k != nil {
		k.demand = amount
	}
}

// SetInUse tells what of a limit in flight is in use: that is never reported as free.
func (h *Holder) SetInUse(limit string, amount Unit) {
	if k := h.limits[limit]; k != nil {
		k.inUse = amount
	}
}

// Names are the limits, in their order.
func (h *Holder) Names() []string { return h.names }

// Postpone puts the next report off, or draws it near.
func (h *Holder) Postpone(until time.Duration) { h.reportDue = until }

// Share is what this member may use of a limit until a time, and what past it.
func (h *Holder) Share(limit string, now time.Duration) (share, fallback Unit, expiry time.Duration) {
	k := h.limits[limit]
	if k == nil {
		return 0, 0, math.MaxInt64
	}
	if fallback = k.floor(); k.Available {
		fallback += k.pool() / max(1, k.MaxMembers)
	}
	if now < k.expiry {
		return k.floor() + k.amount, fallback, k.expiry
	}
	return fallback, fallback, math.MaxInt64
}

// Next is when Report is to be called.
func (h *Holder) Next() time.Duration {
	if len(h.limits) == 0 {
		return math.MaxInt64
	}
	return h.reportDue
}

// ReportInterval is what to send to the granter now. Every earlier report is given up by it.
func (h *Holder) Report(now time.Duration) Report {
	h.seq++
	h.sentAt, h.awaitsGrant, h.reportDue = now, true, now+h.times.ReportInterval
	r := Report{Seq: h.seq}
	for _, name := range h.names {
		k := h.limits[name]
		if len(h.names) > reportAllLimits && k.demand == 0 && k.inUse == 0 {
			continue
		}
		c := LimitReport{Limit: name, Demand: k.demand, Total: k.Total}
		if now < k.expiry {
			c.Leased = max(k.amount, k.inUse-k.floor())
		}
		r.Limits = append(r.Limits, c)
	}
	if len(r.Limits) > maxReported {
		slices.SortStableFunc(r.Limits, func(a, b LimitReport) int { return cmp.Compare(b.Demand, a.Demand) })
		r.Limits = r.Limits[:maxReported]
	}
	return r
}

// ReceiveGrant takes a grant in and tells whether it counts.
func (h *Holder) ReceiveGrant(now time.Duration, g Grant) bool {
	if g.Term.before(h.term) || (g.Seq != h.seq || !h.awaitsGrant) && h.mutate != AnyGrant {
		return false
	}
	h.term, h.awaitsGrant = g.Term, false
	from := h.sentAt
	if h.mutate == LeaseFromReply {
		from = now
	}
	for _, p := range g.Shares {
		if k := h.limits[p.Limit]; k != nil && p.Amount >= 0 {
			k.amount, k.expiry = min(p.Amount, k.pool()), from+h.times.Lease
		}
	}
	return true
}
