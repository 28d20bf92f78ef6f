package quota

import (
	"time"
)

// Gate lets requests through by the part that this member has of one limit. It decides on the spot: no request waits.
// It belongs to one goroutine at a time; its caller keeps others out.
type Gate struct {
	kind  Kind
	burst time.Duration // of a rate: how much of the past may be made up for

	part, past Unit
	until      time.Duration // of the leased part

	tokens int64 // units times microseconds, of a rate: request makes one
	filled time.Duration
	leased int64 // in flight on leased slots,
	own    int64 // and on those that are for good

	asked   float64 // requests asked for, aged, of a rate; the most in flight lately, of a limit in flight
	counted time.Duration
	Let     int64 // requests let through since the start,
	Refused int64 // and turned back
}

const (
	// demandAge is how fast the past is forgotten in what is asked for.
	demandAge = 2 * time.Second
	// headroom is by how much more than was asked for is wanted, so that a growing demand is not cut first.
	headroom = 1.25
	// mostAfter bounds what is advised to who is turned back.
	mostAfter = 10 * time.Second
)

// request is what one request costs: a second of PerSecond.
const request = PerSecond * int64(time.Second/time.Microsecond)

// NewGate makes a gate that lets one request through before it is told a part, or some repeats.
func NewGate(kind Kind, burst time.Duration, now time.Duration) *Gate {
	if kind == Again {
		return &Gate{kind: kind, tokens: againSaved * PerSecond}
	}
	return &Gate{kind: kind, burst: burst, filled: now, counted: now, tokens: request}
}

// Part tells what may be used until a time, and what past it.
func (g *Gate) Part(now time.Duration, part, past Unit, until time.Duration) {
	if g.kind == Rate {
		g.fill(now)
	}
	g.part, g.past, g.until = part, past, until
	g.cut()
}

// present is what may be used at a time: the leased part ends with its lease, whoever is late to say so.
func (g *Gate) present(now time.Duration) Unit {
	if now >= g.until {
		return g.past
	}
	return g.part
}

// fill adds the tokens of the time that has passed, each stretch at the part that held in it.
func (g *Gate) fill(now time.Duration) {
	if now <= g.filled {
		return
	}
	earn := func(part Unit, d time.Duration) {
		if d > 0 {
			g.tokens += part * int64(d/time.Microsecond)
		}
	}
	// Whole microseconds, so that nothing is lost where calls come fast.
	now = g.filled + (now - g.filled).Truncate(time.Microsecond)
	split := min(max(g.until, g.filled), now)
	earn(g.part, split-g.filled)
	earn(g.past, now-split)
	g.filled = now
	g.cut()
}

// cut bounds what has been saved up: a part that shrinks shrinks it. One request is always worth waiting for.
func (g *Gate) cut() {
	most := max(request, g.present(g.filled)*int64(g.burst/time.Microsecond))
	g.tokens = min(g.tokens, most)
}

// againSaved is how many repeats may be saved up for.
const againSaved = 10

// Count lets a first request through a gate of repeats, which earns them, or takes a repeat's part. after is a guess: it
// depends on what others ask.
func (g *Gate) Count(again bool, share Unit) (after time.Duration, ok bool) {
	const one = request / int64(time.Second/time.Microsecond) // in units
	if !again {
		g.tokens = min(g.tokens+share, againSaved*one)
		g.Let++
		return 0, true
	}
	if g.tokens < one {
		g.Refused++
		return time.Second, false
	}
	g.tokens -= one
	g.Let++
	return 0, true
}

// Slot is what a request that was let through holds until it ends.
type Slot uint8

// The slots.
const (
	NoSlot Slot = iota
	Leased
	Own
	Token // of a rate
)

// Take lets one request through, or tells after what time another try is likely to be. ends is when the request is over
// at the latest.
func (g *Gate) Take(now, ends time.Duration) (slot Slot, after time.Duration, ok bool) {
	return g.TakeOf(now, ends, Whole)
}

// Cut is what of a limit in flight may be used for the time being: a part, rounded down, and so many at the least, as far
// as the member has them.
type Cut struct {
	Part  float64
	Least Unit
}

// Whole cuts nothing.
var Whole = Cut{Part: 1}

func (c Cut) of(u Unit) Unit { return min(u, max(c.Least, Unit(c.Part*float64(u)))) }

// TakeOf is Take of a part of what this member may use.
func (g *Gate) TakeOf(now, ends time.Duration, cut Cut) (slot Slot, after time.Duration, ok bool) {
	g.note(now)
	if g.kind == Rate {
		g.fill(now)
		if g.tokens >= request {
			g.tokens -= request
			g.Let++
			return Token, 0, true
		}
		g.Refused++
		after = mostAfter
		if part := g.present(now); part > 0 {
			after = min(mostAfter, time.Duration((request-g.tokens)/part+1)*time.Microsecond)
		}
		return NoSlot, after, false
	}
	room := g.InUse() < cut.of(g.present(now))
	switch {
	case room && ends <= g.until: // over before the lease is: it outlives no part
		g.leased++
		slot = Leased
	case room && g.own < cut.of(g.past):
		g.own++
		slot = Own
	default:
		g.Refused++
		return NoSlot, min(mostAfter, max(50*time.Millisecond, (ends-now)/4)), false
	}
	g.Let++
	return slot, 0, true
}

// Done gives back what a request held.
func (g *Gate) Done(s Slot) {
	switch s {
	case Leased:
		g.leased--
	case Own:
		g.own--
	}
}

// Undo takes a request back that was let through and is turned back by another limit.
func (g *Gate) Undo(s Slot) {
	g.Let--
	if s == Token {
		g.tokens += request
		return
	}
	g.Done(s)
}

// InUse is how many requests are in flight.
func (g *Gate) InUse() Unit { return g.leased + g.own }

// note counts what is asked for.
func (g *Gate) note(now time.Duration) {
	g.age(now)
	if g.kind == Rate {
		g.asked++
		return
	}
	g.asked = max(g.asked, float64(g.InUse()+1))
}

// age forgets: of a rate, a part of the sum each moment; of what is in flight, the peak falls toward the present.
func (g *Gate) age(now time.Duration) {
	if d := now - g.counted; d > 0 {
		keep := 1 - min(1, float64(d)/float64(demandAge))
		g.asked *= keep
		if g.kind == InFlight {
			g.asked = max(g.asked, float64(g.InUse()))
		}
		g.counted = now
	}
}

// Demand is what this member could use, in units.
func (g *Gate) Demand(now time.Duration) Unit {
	g.age(now)
	if g.kind == Rate {
		// The sum of what has been asked for, each weighed by its age, is the rate times the age.
		return Unit(g.asked / demandAge.Seconds() * headroom * float64(PerSecond))
	}
	return Unit(g.asked*headroom + 0.999)
}
