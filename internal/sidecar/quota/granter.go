package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Granter grants the shares of all members while its member is the leader. It tracks an upper bound of what each holder may
// use, and never lets the bounds sum to more than the pool. It is not safe for concurrent use.
type Granter struct {
	times       Times
	mutate      Mutation
	limits      map[string]Limit
	outstanding map[string]map[Process]*outstandingGrant
	term        Term
	acting      bool
	actFrom     time.Duration // no grants before this time, since an earlier granter may still act
	growFrom    time.Duration // no shares above the reported leases before this time, since leases from earlier granters may still run
	actUntil    time.Duration // no grants from this time on, since another granter may act
}

// Process identifies a holder's process. A restarted member is a new holder; the leases of its previous process expire.
type Process struct {
	Name string
	Boot uint64
}

// maxHolders bounds the processes with a grant of one limit. It is twice the maximum number of members, to allow for restarts.
const maxHolders = 2 * maxMembers

// outstandingGrant is an upper bound of what a holder may use of a limit.
type outstandingGrant struct {
	amount Unit
	expiry time.Duration
	seq    uint64 // sequence number of the last report
	demand Unit
	total  Unit // total of the limit in the holder's settings
}

// NewGranter returns a granter that does not act until Lead is called.
func NewGranter(times Times, mutate Mutation) *Granter {
	return &Granter{times: times, limits: make(map[string]Limit), outstanding: make(map[string]map[Process]*outstandingGrant), mutate: mutate}
}

// SetLimits replaces the limits by those of this member's settings, and drops the grants of limits that are no longer in the settings.
func (g *Granter) SetLimits(limits []Limit) {
	clear(g.limits)
	for _, l := range limits {
		if len(g.limits) < MaxLimits {
			g.limits[l.Name] = l
		}
	}
	maps.DeleteFunc(g.outstanding, func(name string, _ map[Process]*outstandingGrant) bool { _, ok := g.limits[name]; return !ok })
}

// Lead records that this member is the leader in a term, as a majority confirmed at a time. At the start of a term the granter
// waits before it grants, and longer before it enlarges shares.
func (g *Granter) Lead(now time.Duration, term Term, confirmed time.Duration) {
	if !g.acting || term != g.term {
		g.term, g.acting = term, true
		clear(g.outstanding)
		g.actFrom = now + g.times.stretch(g.times.ActTimeout)
		g.growFrom = g.actFrom + g.times.stretch(g.times.Lease)
		if g.mutate == NoWait {
			g.actFrom, g.growFrom = now, now
		}
	}
	g.actUntil = confirmed + g.times.ActTimeout
}

// Follow records that this member is not the leader, and stops granting.
func (g *Granter) Follow() {
	g.acting = false
	clear(g.outstanding)
}

// Acts reports whether the granter answers reports at a time.
func (g *Granter) Acts(now time.Duration) bool {
	return g.acting && now >= g.actFrom && now < g.actUntil
}

// ReceiveReport answers the report of a process. It returns false if this granter does not act.
func (g *Granter) ReceiveReport(now time.Duration, holder Process, r Report) (Grant, bool) {
	if !g.Acts(now) {
		return Grant{}, false
	}
	grant := Grant{Seq: r.Seq, Term: g.term}
	for _, c := range r.Limits {
		l, ok := g.limits[c.Limit]
		if !ok || c.Leased < 0 || len(grant.Shares) >= MaxLimits {
			continue
		}
		if amount, ok := g.grantLimit(now, l, holder, r.Seq, c); ok {
			grant.Shares = append(grant.Shares, Share{Limit: c.Limit, Amount: amount})
		}
	}
	return grant, true
}

// grantLimit grants a share of one limit. It returns false if the report is outdated or there are too many holders.
func (g *Granter) grantLimit(now time.Duration, l Limit, holder Process, seq uint64, c LimitReport) (Unit, bool) {
	grants := g.outstanding[l.Name]
	if grants == nil {
		grants = make(map[Process]*outstandingGrant)
		g.outstanding[l.Name] = grants
	}
	maps.DeleteFunc(grants, func(_ Process, e *outstandingGrant) bool { return e.expiry <= now })
	e := grants[holder]
	if e != nil && seq <= e.seq { // an outdated report: the holder would ignore the grant
		return 0, false
	}
	if e == nil {
		if len(grants) >= maxHolders { // more processes than a fleet can have: further ones get no grant
			return 0, false
		}
		e = &outstandingGrant{}
		if now < g.growFrom { // leased by an earlier granter, which did not lease it to another holder too
			e.amount = min(c.Leased, max(0, g.pool(l, grants)-sumGrants(grants)))
		}
		grants[holder] = e
	} else {
		// The holder no longer accepts an earlier grant, so it has at most the amount that it reports.
		e.amount = min(e.amount, c.Leased)
	}
	e.seq, e.demand, e.total = seq, max(0, c.Demand), c.Total
	want := g.fairShare(l, grants, holder)
	give := e.amount
	minChange := g.pool(l, grants) / Unit(len(grants)) * hysteresis / 100 // smaller changes are not worth making
	switch {
	case want < give && (give-want > minChange || want == 0 || give > g.pool(l, grants)):
		give = want // the difference stays outstanding until the holder's next report confirms that it was given up
		if g.mutate == TakeAtOnce {
			e.amount = give
		}
	case want > give && now >= g.growFrom:
		if more := min(want-give, max(0, g.pool(l, grants)-sumGrants(grants))); more > 0 && (more > minChange || give == 0 || more == want-give) {
			give += more
		}
	}
	e.amount = max(e.amount, give)
	e.expiry = now + g.times.stretch(g.times.Lease)
	return give, true
}

// pool returns the amount that may be leased, by the lowest total among the settings of this member and of the holders.
func (g *Granter) pool(l Limit, grants map[Process]*outstandingGrant) Unit {
	for _, e := range grants {
		if e.seq != 0 && e.total > 0 {
			l.Total = min(l.Total, e.total)
		}
	}
	return l.pool()
}

// sumGrants returns the sum of what the holders may use.
func sumGrants(grants map[Process]*outstandingGrant) (all Unit) {
	for _, e := range grants {
		all += e.amount
	}
	return all
}

// fairShare returns the max-min fair share of a holder: holders with low demand get their demand, the others an equal share of
// the rest. An amount that is left over when all demands are met is divided equally.
func (g *Granter) fairShare(l Limit, grants map[Process]*outstandingGrant, holder Process) Unit {
	demands := make([]Unit, 0, len(grants))
	for _, e := range grants {
		demands = append(demands, max(0, e.demand-l.floor()))
	}
	slices.Sort(demands)
	left := g.pool(l, grants)
	level := Unit(math.MaxInt64) // upper bound of each share
	for i, d := range demands {
		if part := left / Unit(len(demands)-i); d > part {
			level = part
			left = 0
			break
		}
		left -= d
	}
	own := max(0, grants[holder].demand-l.floor())
	return min(own, level) + left/Unit(len(grants))
}

// Outstanding returns an upper bound of what all holders together may use of a limit in addition to their floors.
func (g *Granter) Outstanding(limit string) Unit { return sumGrants(g.outstanding[limit]) }
