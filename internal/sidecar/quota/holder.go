package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Holder holds one member's shares of the limits. It is not safe for concurrent use.
type Holder struct {
	times       Times
	mutate      Mutation
	limits      map[string]*leasedLimit
	names       []string      // names of the limits, sorted
	seq         uint64        // sequence number of the last report
	sentAt      time.Duration // when the last report was sent
	awaitsGrant bool          // the last report has not been answered yet
	term        Term          // term of the last grant
	reportDue   time.Duration
}

// leasedLimit is a limit with the share of it that the member has leased.
type leasedLimit struct {
	Limit
	amount Unit // amount leased until expiry, in addition to the floor
	expiry time.Duration
	demand Unit
	inUse  Unit // number of requests in flight
}

// NewHolder returns a holder without leases. seq is a random number from which reports are numbered, so that grants to an
// earlier process of the member are ignored.
func NewHolder(times Times, seq uint64, now time.Duration, mutate Mutation) *Holder {
	return &Holder{times: times, limits: make(map[string]*leasedLimit), seq: seq, reportDue: now, mutate: mutate}
}

// SetLimits replaces the limits. A lease on a limit that remains stays in force, capped by the new pool.
func (h *Holder) SetLimits(limits []Limit) {
	was := h.limits
	h.limits, h.names = make(map[string]*leasedLimit), nil
	for _, l := range limits {
		if len(h.limits) >= MaxLimits || h.limits[l.Name] != nil {
			continue
		}
		k := &leasedLimit{Limit: l}
		if old := was[l.Name]; old != nil {
			k.amount, k.expiry, k.demand, k.inUse = min(old.amount, l.pool()), old.expiry, old.demand, old.inUse
		}
		h.limits[l.Name] = k
		h.names = append(h.names, l.Name)
	}
	slices.Sort(h.names)
}

// SetDemand sets how much of a limit this member could currently use.
func (h *Holder) SetDemand(limit string, amount Unit) {
	if k := h.limits[limit]; k != nil {
		k.demand = amount
	}
}

// SetInUse sets how much of a limit is in flight. A report never gives up the amount in flight.
func (h *Holder) SetInUse(limit string, amount Unit) {
	if k := h.limits[limit]; k != nil {
		k.inUse = amount
	}
}

// Names returns the names of the limits, sorted.
func (h *Holder) Names() []string { return h.names }

// Postpone sets when the next report is due.
func (h *Holder) Postpone(until time.Duration) { h.reportDue = until }

// Share returns this member's share of a limit, the fallback that applies after its lease, and the end of the lease. Without a
// lease the share is the fallback, and there is no end (math.MaxInt64).
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

// Next returns when the next report is due.
func (h *Holder) Next() time.Duration {
	if len(h.limits) == 0 {
		return math.MaxInt64
	}
	return h.reportDue
}

// Report returns the report to send to the granter now. From then on, a grant that answers an earlier report is ignored.
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

// ReceiveGrant applies a grant, and reports whether it was accepted. The lease runs from when the report that the grant answers
// was sent, so that it ends here before it ends at the granter.
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
