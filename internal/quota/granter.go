package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Granter is the side of the member that leads.
type Granter struct {
	times  Times
	mutate Mutation
	limits map[string]Limit
	ledger map[string]map[Who]*entry
	term   Term
	acting bool
	from   time.Duration // no answer before,
	free   time.Duration // and none with more than is reported before
	valid  time.Duration // and none after
}

// Who is a process: a new one under a name is another one, and what the one before holds runs out by itself.
type Who struct {
	Name string
	Boot uint64
}

// mostHolders bounds the processes in the ledger of one limit: twice the members there can be, for those started anew.
const mostHolders = 2 * mostMembers

// entry is what may be used by one holder of one limit, at the most.
type entry struct {
	amount Unit
	until  time.Duration
	seq    uint64 // of the last report
	demand Unit
	most   Unit // the limit by its file
}

// NewGranter makes a granter that does not act.
func NewGranter(times Times, mutate Mutation) *Granter {
	return &Granter{times: times, limits: map[string]Limit{}, ledger: map[string]map[Who]*entry{}, mutate: mutate}
}

// Set replaces the limits, by this member's file.
func (g *Granter) Set(limits []Limit) {
	clear(g.limits)
	for _, l := range limits {
		if len(g.limits) < MostLimits {
			g.limits[l.Name] = l
		}
	}
	maps.DeleteFunc(g.ledger, func(name string, _ map[Who]*entry) bool { _, ok := g.limits[name]; return !ok })
}

// Lead tells that this member has led since a time, in a term, and that this was confirmed by the majority at another.
func (g *Granter) Lead(now time.Duration, term Term, confirmed time.Duration) {
	if !g.acting || term != g.term {
		g.term, g.acting = term, true
		clear(g.ledger)
		g.from = now + g.times.stretch(g.times.Act)
		g.free = g.from + g.times.stretch(g.times.Lease)
		if g.mutate == NoWait {
			g.from, g.free = now, now
		}
	}
	g.valid = confirmed + g.times.Act
}

// Follow tells that this member does not lead.
func (g *Granter) Follow() {
	g.acting = false
	clear(g.ledger)
}

// Acts tells whether it answers at a time.
func (g *Granter) Acts(now time.Duration) bool { return g.acting && now >= g.from && now < g.valid }

// Reported answers a report, if this granter acts.
func (g *Granter) Reported(now time.Duration, who Who, r Report) (Grant, bool) {
	if !g.Acts(now) {
		return Grant{}, false
	}
	grant := Grant{Seq: r.Seq, Term: g.term}
	for _, c := range r.Claims {
		l, ok := g.limits[c.Limit]
		if !ok || c.Have < 0 || len(grant.Parts) >= MostLimits {
			continue
		}
		if amount, ok := g.one(now, l, who, r.Seq, c); ok {
			grant.Parts = append(grant.Parts, Part{Limit: c.Limit, Amount: amount})
		}
	}
	return grant, true
}

// one answers for one limit.
func (g *Granter) one(now time.Duration, l Limit, who Who, seq uint64, c Claim) (Unit, bool) {
	book := g.ledger[l.Name]
	if book == nil {
		book = map[Who]*entry{}
		g.ledger[l.Name] = book
	}
	maps.DeleteFunc(book, func(_ Who, e *entry) bool { return e.until <= now })
	e := book[who]
	if e != nil && seq <= e.seq { // an older one: its answer would not count
		return 0, false
	}
	if e == nil {
		if len(book) >= mostHolders { // more processes than there can be: who is not in the ledger gets nothing
			return 0, false
		}
		e = &entry{}
		if now < g.free { // made by a granter before this one, which gave it to no one else
			e.amount = min(c.Have, max(0, g.pool(l, book)-sum(book)))
		}
		book[who] = e
	} else {
		// No older grant can reach it any more: what it says it has is all that it can have.
		e.amount = min(e.amount, c.Have)
	}
	e.seq, e.demand, e.most = seq, max(0, c.Demand), c.Most
	want := g.share(l, book, who)
	give := e.amount
	least := g.pool(l, book) / Unit(len(book)) * hysteresis / 100 // a smaller change is not made
	switch {
	case want < give && (give-want > least || want == 0 || give > g.pool(l, book)):
		give = want // it counts in the ledger until its next report says that it is let go
		if g.mutate == TakeAtOnce {
			e.amount = give
		}
	case want > give && now >= g.free:
		if more := min(want-give, max(0, g.pool(l, book)-sum(book))); more > 0 && (more > least || give == 0 || more == want-give) {
			give += more
		}
	}
	e.amount = max(e.amount, give)
	e.until = now + g.times.stretch(g.times.Lease)
	return give, true
}

// pool is what may be leased: by this member's file, or the lowest of those who hold a part.
func (g *Granter) pool(l Limit, book map[Who]*entry) Unit {
	for _, e := range book {
		if e.seq != 0 && e.most > 0 {
			l.Most = min(l.Most, e.most)
		}
	}
	return l.pool()
}

func sum(book map[Who]*entry) (all Unit) {
	for _, e := range book {
		all += e.amount
	}
	return all
}

// share is what a holder should have: the least demanding get what they demand, none more than an equal part of what is
// left; what nobody demands is spread evenly.
func (g *Granter) share(l Limit, book map[Who]*entry, who Who) Unit {
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

// Held is what may be used of a limit by all, at the most, besides the floors.
func (g *Granter) Held(limit string) Unit { return sum(g.ledger[limit]) }
