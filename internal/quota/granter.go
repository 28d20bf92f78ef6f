package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Granter is the side of the member that leads.
type Granter struct {
	times       Times
	mutate      Mutation
	limits      map[string]Limit
	outstanding map[string]map[Process]*outstandingGrant
	term        Term
	acting      bool
	actFrom     time.Duration // no answer before,
	growFrom    time.Duration // and none with more than is reported before
	actUntil    time.Duration // and none after
}

// Process is a process: a new one under a name is another one, and what the one before holds runs out by itself.
type Process struct {
	Name string
	Boot uint64
}

// maxHolders bounds the processes in the ledger of one limit: twice the members there can be, for those started anew.
const maxHolders = 2 * maxMembers

// entry is what may be used by one holder of one limit, at the most.
type outstandingGrant struct {
	amount Unit
	expiry time.Duration
	seq    uint64 // of the last report
	demand Unit
	total  Unit // the limit by its file
}

// NewGranter makes a granter that does not act.
func NewGranter(times Times, mutate Mutation) *Granter {
	return &Granter{times: times, limits: map[string]Limit{}, outstanding: map[string]map[Process]*outstandingGrant{}, mutate: mutate}
}

// SetLimits replaces the limits, by this member's file.
func (g *Granter) SetLimits(limits []Limit) {
	clear(g.limits)
	for _, l := range limits {
		if len(g.limits) < MaxLimits {
			g.limits[l.Name] = l
		}
	}
	maps.DeleteFunc(g.outstanding, func(name string, _ map[Process]*outstandingGrant) bool { _, ok := g.limits[name]; return !ok })
}

// Lead tells that this member has led since a time, in a term, and that this was confirmed by the majority at another.
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

// Follow tells that this member does not lead.
func (g *Granter) Follow() {
	g.acting = false
	clear(g.outstanding)
}

// Acts tells whether it answers at a time.
func (g *Granter) Acts(now time.Duration) bool {
	return g.acting && now >= g.actFrom && now < g.actUntil
}

// ReceiveReport answers a report, if this granter acts.
func (g *Granter) ReceiveReport(now time.Duration, who Process, r Report) (Grant, bool) {
	if !g.Acts(now) {
		return Grant{}, false
	}
	grant := Grant{Seq: r.Seq, Term: g.term}
	for _, c := range r.Limits {
		l, ok := g.limits[c.Limit]
		if !ok || c.Leased < 0 || len(grant.Shares) >= MaxLimits {
			continue
		}
		if amount, ok := g.grantLimit(now, l, who, r.Seq, c); ok {
			grant.Shares = append(grant.Shares, Share{Limit: c.Limit, Amount: amount})
		}
	}
	return grant, true
}

// one answers for one limit.
func (g *Granter) grantLimit(now time.Duration, l Limit, who Process, seq uint64, c LimitReport) (Unit, bool) {
	book := g.outstanding[l.Name]
	if book == nil {
		book = map[Process]*outstandingGrant{}
		g.outstanding[l.Name] = book
	}
	maps.DeleteFunc(book, func(_ Process, e *outstandingGrant) bool { return e.expiry <= now })
	e := book[who]
	if e != nil && seq <= e.seq { // an older one: its answer would not count
		return 0, false
	}
	if e == nil {
		if len(book) >= maxHolders { // more processes than there can be: who is not in the ledger gets nothing
			return 0, false
		}
		e = &outstandingGrant{}
		if now < g.growFrom { // made by a granter before this one, which gave it to no one else
			e.amount = min(c.Leased, max(0, g.pool(l, book)-sumGrants(book)))
		}
		book[who] = e
	} else {
		// No older grant can reach it any more: what it says it has is all that it can have.
		e.amount = min(e.amount, c.Leased)
	}
	e.seq, e.demand, e.total = seq, max(0, c.Demand), c.Total
	want := g.fairShare(l, book, who)
	give := e.amount
	least := g.pool(l, book) / Unit(len(book)) * hysteresis / 100 // a smaller change is not made
	switch {
	case want < give && (give-want > least || want == 0 || give > g.pool(l, book)):
		give = want // it counts in the ledger until its next report says that it is let go
		if g.mutate == TakeAtOnce {
			e.amount = give
		}
	case want > give && now >= g.growFrom:
		if more := min(want-give, max(0, g.pool(l, book)-sumGrants(book))); more > 0 && (more > least || give == 0 || more == want-give) {
			give += more
		}
	}
	e.amount = max(e.amount, give)
	e.expiry = now + g.times.stretch(g.times.Lease)
	return give, true
}

// pool is what may be leased: by this member's file, or the lowest of those who hold a part.
func (g *Granter) pool(l Limit, book map[Process]*outstandingGrant) Unit {
	for _, e := range book {
		if e.seq != 0 && e.total > 0 {
			l.Total = min(l.Total, e.total)
		}
	}
	return l.pool()
}

func sumGrants(book map[Process]*outstandingGrant) (all Unit) {
	for _, e := range book {
		all += e.amount
	}
	return all
}

// share is what a holder should have: the least demanding get what they demand, none more than an equal part of what is
// left; what nobody demands is spread evenly.
func (g *Granter) fairShare(l Limit, book map[Process]*outstandingGrant, who Process) Unit {
	demands := make([]Unit, 0, len(book))
	for _, e := range book {
		demands = append(demands, max(0, e.demand-l.floor()))
	}
	slices.Sort(demands)
	left := g.pool(l, book)
	level := Unit(math.MaxInt64) // that nobody passes
	for i, d := range demands {
		if part := left / Unit(len(demands)-i); d > part {
			level = part
			left = 0
			break
		}
		left -= d
	}
	mine := max(0, book[who].demand-l.floor())
	return min(mine, level) + left/Unit(len(book))
}

// Outstanding is what may be used of a limit by all, at the most, besides the floors.
func (g *Granter) Outstanding(limit string) Unit { return sumGrants(g.outstanding[limit]) }
