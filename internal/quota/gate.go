package quota

import (
	"time"
)

// Gate lets requests through by the part that this member has of one limit. It decides on the spot: no request waits.
// It belongs to one goroutine at a time; its caller keeps others out.
type Gate struct {
	kind  Kind
	burst time.Duration // of a rate: how much of the past may be made up for

	share, fallback Unit
	expiry          time.Duration // of the leased part

	tokens         int64 // units times microseconds, of a rate: request makes one
	filledAt       time.Duration
	leasedInFlight int64 // in flight on leased slots,
	ownInFlight    int64 // and on those that are for good

	demand   float64 // requests asked for, aged, of a rate; the most in flight lately, of a limit in flight
	demandAt time.Duration
	Admitted int64 // requests let through since the start,
	Rejected int64 // and turned back
}

const (
	// demandAge is how fast the past is forgotten in what is asked for.
	demandAge = 2 * time.Second
	// headroom is by how much more than was asked for is wanted, so that a growing demand is not cut first.
	headroom = 1.25
	// maxRetryAfter bounds what is advised to who is turned back.
	maxRetryAfter = 10 * time.Second
)

// request is what one request costs: a second of PerSecond.
const requestCost = PerSecond * int64(time.Second/time.Microsecond)

// NewGate makes a gate that lets one request through before it is told a part, or some repeats.
func NewGate(kind Kind, burst time.Duration, now time.Duration) *Gate {
	if kind == Retries {
		return &Gate{kind: kind, tokens: maxSavedRetries * PerSecond}
	}
	return &Gate{kind: kind, burst: burst, filledAt: now, demandAt: now, tokens: requestCost}
}

// Share tells what may be used until a time, and what past it.
func (g *Gate) SetShare(now time.Duration, share, fallback Unit, expiry time.Duration) {
	if g.kind == Rate {
		g.fill(now)
	}
	g.share, g.fallback, g.expiry = share, fallback, expiry
	g.capTokens()
}

// present is what may be used at a time: the leased part ends with its lease, whoever is late to say so.
func (g *Gate) currentShare(now time.Duration) Unit {
	if now >= g.expiry {
		return g.fallback
	}
	return g.share
}

// fill adds the tokens of the time that has passed, each stretch at the part that held in it.
func (g *Gate) fill(now time.Duration) {
	if now <= g.filledAt {
		return
	}
	earn := func(part Unit, d time.Duration) {
		if d > 0 {
			g.tokens += part * int64(d/time.Microsecond)
		}
	}
	// Whole microseconds, so that nothing is lost where calls come fast.
	now = g.filledAt + (now - g.filledAt).Truncate(time.Microsecond)
	split := min(max(g.expiry, g.filledAt), now)
	earn(g.share, split-g.filledAt)
	earn(g.fallback, now-split)
	g.filledAt = now
	g.capTokens()
}

// cut bounds what has been saved up: a part that shrinks shrinks it. One request is always worth waiting for.
func (g *Gate) capTokens() {
	most := max(requestCost, g.currentShare(g.filledAt)*int64(g.burst/time.Microsecond))
	g.tokens = min(g.tokens, most)
}

// maxSavedRetries is how many repeats may be saved up for.
const maxSavedRetries = 10

// CountRetry lets a first request through a gate of repeats, which earns them, or takes a repeat's part. after is a guess: it
// depends on what others ask.
func (g *Gate) CountRetry(again bool, share Unit) (after time.Duration, ok bool) {
	const one = requestCost / int64(time.Second/time.Microsecond) // in units
	if !again {
		g.tokens = min(g.tokens+share, maxSavedRetries*one)
		g.Admitted++
		return 0, true
	}
	if g.tokens < one {
		g.Rejected++
		return time.Second, false
	}
	g.tokens -= one
	g.Admitted++
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
	return g.TakeReduced(now, ends, Unreduced)
}

// Reduction is what of a limit in flight may be used for the time being: a part, rounded down, and so many at the least, as far
// as the member has them.
type Reduction struct {
	Fraction float64
	Min      Unit
}

// Unreduced cuts nothing.
var Unreduced = Reduction{Fraction: 1}

func (c Reduction) of(u Unit) Unit { return min(u, max(c.Min, Unit(c.Fraction*float64(u)))) }

// TakeReduced is Take of a part of what this member may use.
func (g *Gate) TakeReduced(now, ends time.Duration, cut Reduction) (slot Slot, after time.Duration, ok bool) {
	g.recordDemand(now)
	if g.kind == Rate {
		g.fill(now)
		if g.tokens >= requestCost {
			g.tokens -= requestCost
			g.Admitted++
			return Token, 0, true
		}
		g.Rejected++
		after = maxRetryAfter
		if part := g.currentShare(now); part > 0 {
			after = min(maxRetryAfter, time.Duration((requestCost-g.tokens)/part+1)*time.Microsecond)
		}
		return NoSlot, after, false
	}
	room := g.InUse() < cut.of(g.currentShare(now))
	switch {
	case room && ends <= g.expiry: // over before the lease is: it outlives no part
		g.leasedInFlight++
		slot = Leased
	case room && g.ownInFlight < cut.of(g.fallback):
		g.ownInFlight++
		slot = Own
	default:
		g.Rejected++
		return NoSlot, min(maxRetryAfter, max(50*time.Millisecond, (ends-now)/4)), false
	}
	g.Admitted++
	return slot, 0, true
}

// Done gives back what a request held.
func (g *Gate) Done(s Slot) {
	switch s {
	case Leased:
		g.leasedInFlight--
	case Own:
		g.ownInFlight--
	}
}

// Undo takes a request back that was let through and is turned back by another limit.
func (g *Gate) Undo(s Slot) {
	g.Admitted--
	if s == Token {
		g.tokens += requestCost
		return
	}
	g.Done(s)
}

// InUse is how many requests are in flight.
func (g *Gate) InUse() Unit { return g.leasedInFlight + g.ownInFlight }

// note counts what is asked for.
func (g *Gate) recordDemand(now time.Duration) {
	g.ageDemand(now)
	if g.kind == Rate {
		g.demand++
		return
	}
	g.demand = max(g.demand, float64(g.InUse()+1))
}

// age forgets: of a rate, a part of the sum each moment; of what is in flight, the peak falls toward the present.
func (g *Gate) ageDemand(now time.Duration) {
	if d := now - g.demandAt; d > 0 {
		keep := 1 - min(1, float64(d)/float64(demandAge))
		g.demand *= keep
		if g.kind == InFlight {
			g.demand = max(g.demand, float64(g.InUse()))
		}
		g.demandAt = now
	}
}

// SetDemand is what this member could use, in units.
func (g *Gate) Demand(now time.Duration) Unit {
	g.ageDemand(now)
	if g.kind == Rate {
		// The sum of what has been asked for, each weighed by its age, is the rate times the age.
		return Unit(g.demand / demandAge.Seconds() * headroom * float64(PerSecond))
	}
	return Unit(g.demand*headroom + 0.999)
}
