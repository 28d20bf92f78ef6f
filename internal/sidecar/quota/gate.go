package quota

import (
	"time"
)

// Gate admits requests by this member's share of one limit. It decides at once: no request waits. It is not safe for concurrent
// use.
type Gate struct {
	kind  Kind
	burst time.Duration // of a rate: for how long unused tokens are saved

	share, fallback Unit
	expiry          time.Duration // of the lease on share; then fallback holds

	tokens           int64 // of a rate, in units times microseconds: a request costs requestCost; of retries, in units
	filledAt         time.Duration
	leasedInFlight   int64 // in flight on slots that end with the lease
	fallbackInFlight int64 // in flight on slots of the fallback

	demand   float64 // of a rate: requests, weighted by age; of requests in flight: their recent maximum
	demandAt time.Duration
	Admitted int64 // requests admitted since the start
	Rejected int64 // requests rejected since the start
}

const (
	// demandAge is the time constant by which past demand is forgotten.
	demandAge = 2 * time.Second
	// headroom is the factor by which more is demanded than was used, so that growing traffic is not rejected first.
	headroom = 1.25
	// maxRetryAfter bounds the time after which a rejected request is advised to retry.
	maxRetryAfter = 10 * time.Second
)

// requestCost is the tokens that one request costs: a second of PerSecond.
const requestCost = PerSecond * int64(time.Second/time.Microsecond)

// NewGate makes a gate that admits one request, or some retries, before it has a share.
func NewGate(kind Kind, burst time.Duration, now time.Duration) *Gate {
	if kind == Retries {
		return &Gate{kind: kind, tokens: maxSavedRetries * PerSecond}
	}
	return &Gate{kind: kind, burst: burst, filledAt: now, demandAt: now, tokens: requestCost}
}

// SetShare sets the share, until when it is leased, and the fallback after that.
func (g *Gate) SetShare(now time.Duration, share, fallback Unit, expiry time.Duration) {
	if g.kind == Rate {
		g.fill(now)
	}
	g.share, g.fallback, g.expiry = share, fallback, expiry
	g.capTokens()
}

// currentShare is what may be used at a time. A share ends with its lease even if nobody has set another one.
func (g *Gate) currentShare(now time.Duration) Unit {
	if now >= g.expiry {
		return g.fallback
	}
	return g.share
}

// fill adds the tokens of the time that has passed, by the share and, from its end on, by the fallback.
func (g *Gate) fill(now time.Duration) {
	if now <= g.filledAt {
		return
	}
	earn := func(share Unit, d time.Duration) {
		if d > 0 {
			g.tokens += share * int64(d/time.Microsecond)
		}
	}
	// Whole microseconds, so that frequent calls lose nothing.
	now = g.filledAt + (now - g.filledAt).Truncate(time.Microsecond)
	split := min(max(g.expiry, g.filledAt), now)
	earn(g.share, split-g.filledAt)
	earn(g.fallback, now-split)
	g.filledAt = now
	g.capTokens()
}

// capTokens bounds the saved tokens by the present share and the burst. One request can always be saved for.
func (g *Gate) capTokens() {
	most := max(requestCost, g.currentShare(g.filledAt)*int64(g.burst/time.Microsecond))
	g.tokens = min(g.tokens, most)
}

// maxSavedRetries is for how many retries tokens are saved.
const maxSavedRetries = 10

// AdmitByRetryBudget admits a first request, which earns retries a share of a token, or, if again is set, a retry if there is a token
// for it. after is a guess: it depends on the requests of others.
func (g *Gate) AdmitByRetryBudget(again bool, share Unit) (after time.Duration, ok bool) {
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

// Slot is what an admitted request holds until it ends.
type Slot uint8

// The slots.
const (
	NoSlot Slot = iota
	LeasedSlot
	FallbackSlot
	TokenSlot // of a rate
)

// Take admits one request, or returns after what time a retry is likely to be admitted. ends is when the request has ended at
// the latest.
func (g *Gate) Take(now, ends time.Duration) (slot Slot, after time.Duration, ok bool) {
	return g.TakeReduced(now, ends, Unreduced)
}

// Reduction is how much of a limit on requests in flight may be used for the time being: a fraction, rounded down, and at least
// Min, as far as the share allows.
type Reduction struct {
	Fraction float64
	Min      Unit
}

// Unreduced allows the whole share.
var Unreduced = Reduction{Fraction: 1}

// of is the reduced amount.
func (r Reduction) of(u Unit) Unit { return min(u, max(r.Min, Unit(r.Fraction*float64(u)))) }

// TakeReduced is Take with a reduced share.
func (g *Gate) TakeReduced(now, ends time.Duration, reduction Reduction) (slot Slot, after time.Duration, ok bool) {
	g.recordDemand(now)
	if g.kind == Rate {
		g.fill(now)
		if g.tokens >= requestCost {
			g.tokens -= requestCost
			g.Admitted++
			return TokenSlot, 0, true
		}
		g.Rejected++
		after = maxRetryAfter
		if share := g.currentShare(now); share > 0 {
			after = min(maxRetryAfter, time.Duration((requestCost-g.tokens)/share+1)*time.Microsecond)
		}
		return NoSlot, after, false
	}
	free := g.InUse() < reduction.of(g.currentShare(now))
	switch {
	case free && ends <= g.expiry: // ends before the lease, so that the request does not outlive the share
		g.leasedInFlight++
		slot = LeasedSlot
	case free && g.fallbackInFlight < reduction.of(g.fallback):
		g.fallbackInFlight++
		slot = FallbackSlot
	default:
		g.Rejected++
		return NoSlot, min(maxRetryAfter, max(50*time.Millisecond, (ends-now)/4)), false
	}
	g.Admitted++
	return slot, 0, true
}

// Done releases the slot of a request that has ended.
func (g *Gate) Done(s Slot) {
	switch s {
	case LeasedSlot:
		g.leasedInFlight--
	case FallbackSlot:
		g.fallbackInFlight--
	}
}

// Undo takes back the admission of a request that another limit rejects.
func (g *Gate) Undo(s Slot) {
	g.Admitted--
	if s == TokenSlot {
		g.tokens += requestCost
		return
	}
	g.Done(s)
}

// InUse returns how many requests are in flight.
func (g *Gate) InUse() Unit { return g.leasedInFlight + g.fallbackInFlight }

// recordDemand counts a request.
func (g *Gate) recordDemand(now time.Duration) {
	g.ageDemand(now)
	if g.kind == Rate {
		g.demand++
		return
	}
	g.demand = max(g.demand, float64(g.InUse()+1))
}

// ageDemand forgets past demand: of a rate the sum decays, of requests in flight the maximum falls toward the present number.
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

// Demand returns how much this member could use.
func (g *Gate) Demand(now time.Duration) Unit {
	g.ageDemand(now)
	if g.kind == Rate {
		// The sum of requests weighted by age is the rate times demandAge.
		return Unit(g.demand / demandAge.Seconds() * headroom * float64(PerSecond))
	}
	return Unit(g.demand*headroom + 0.999)
}
