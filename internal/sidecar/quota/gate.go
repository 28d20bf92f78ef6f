package quota

import (
	"time"
)

// Gate admits requests within this member's share of one limit. It decides immediately, without queueing requests. It is not
// safe for concurrent use.
type Gate struct {
	kind  Kind
	burst time.Duration // for a rate: the time over which unused tokens accumulate

	share, fallback Unit
	expiry          time.Duration // of the lease on share; from then on fallback applies

	tokens           int64         // unused tokens: for a rate in units times microseconds, where a request costs requestCost; for retries in units
	filledAt         time.Duration // time up to which tokens were earned
	leasedInFlight   int64         // requests in flight on slots of the lease
	fallbackInFlight int64         // requests in flight on slots of the fallback

	demand   float64       // recent demand: for a rate the number of requests, weighted by age; for requests in flight their recent maximum
	demandAt time.Duration // when demand was last aged
	Admitted int64         // requests admitted since the start
	Rejected int64         // requests rejected since the start
}

const (
	// demandAge is the time constant with which past demand decays.
	demandAge = 2 * time.Second
	// headroom is the ratio of demand to past use. It is over 1 so that growing traffic is not rejected before the share grows.
	headroom = 1.25
	// maxRetryAfter bounds the retry delay that is advised for a rejected request.
	maxRetryAfter = 10 * time.Second
)

// requestCost is the number of tokens that one request costs: what a rate of PerSecond earns in a second.
const requestCost = PerSecond * int64(time.Second/time.Microsecond)

// NewGate returns a gate that admits one request, or maxSavedRetries retries, before it has a share.
func NewGate(kind Kind, burst time.Duration, now time.Duration) *Gate {
	if kind == Retries {
		return &Gate{kind: kind, tokens: maxSavedRetries * PerSecond}
	}
	return &Gate{kind: kind, burst: burst, filledAt: now, demandAt: now, tokens: requestCost}
}

// SetShare sets the share, the end of its lease, and the fallback that applies after that.
func (g *Gate) SetShare(now time.Duration, share, fallback Unit, expiry time.Duration) {
	if g.kind == Rate {
		g.fill(now)
	}
	g.share, g.fallback, g.expiry = share, fallback, expiry
	g.capTokens()
}

// currentShare returns the share that applies at a time. A share ends with its lease even if SetShare is not called again.
func (g *Gate) currentShare(now time.Duration) Unit {
	if now >= g.expiry {
		return g.fallback
	}
	return g.share
}

// fill adds the tokens earned since the last call: at the share until its lease ends, then at the fallback.
func (g *Gate) fill(now time.Duration) {
	if now <= g.filledAt {
		return
	}
	earn := func(share Unit, d time.Duration) {
		if d > 0 {
			g.tokens += share * int64(d/time.Microsecond)
		}
	}
	// Only whole microseconds are credited, and the rest is left for the next call, so that frequent calls lose nothing.
	now = g.filledAt + (now - g.filledAt).Truncate(time.Microsecond)
	split := min(max(g.expiry, g.filledAt), now)
	earn(g.share, split-g.filledAt)
	earn(g.fallback, now-split)
	g.filledAt = now
	g.capTokens()
}

// capTokens limits the accumulated tokens to the current share times the burst, but never to less than one request's cost.
func (g *Gate) capTokens() {
	most := max(requestCost, g.currentShare(g.filledAt)*int64(g.burst/time.Microsecond))
	g.tokens = min(g.tokens, most)
}

// maxSavedRetries is the number of retries for which tokens accumulate.
const maxSavedRetries = 10

// AdmitByRetryBudget admits a first request, which adds share to the retry tokens, or, if retry is set, a retry, which needs and
// consumes one token. after is the retry delay to advise for a rejected retry. It is an estimate, since tokens depend on other
// requests.
func (g *Gate) AdmitByRetryBudget(retry bool, share Unit) (after time.Duration, ok bool) {
	const one = requestCost / int64(time.Second/time.Microsecond) // token, in units
	if !retry {
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

// Slot is the kind of slot that an admitted request occupies until it ends.
type Slot uint8

// The kinds of slots.
const (
	NoSlot Slot = iota
	LeasedSlot
	FallbackSlot
	TokenSlot // a token of a rate, which is consumed
)

// Take admits one request, or returns the time after which a retry is likely to be admitted. ends is the latest time at which
// the request ends.
func (g *Gate) Take(now, ends time.Duration) (slot Slot, after time.Duration, ok bool) {
	return g.TakeReduced(now, ends, Unreduced)
}

// Reduction temporarily reduces a limit on requests in flight to a fraction, rounded down. Min is the minimum that remains, as
// far as the share allows.
type Reduction struct {
	Fraction float64
	Min      Unit
}

// Unreduced permits the whole share.
var Unreduced = Reduction{Fraction: 1}

// of returns the reduced amount.
func (r Reduction) of(u Unit) Unit { return min(u, max(r.Min, Unit(r.Fraction*float64(u)))) }

// TakeReduced is Take with a reduced share. The reduction applies to limits on requests in flight only.
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
	case free && ends <= g.expiry: // the request ends before the lease, so it does not outlive the share
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

// Done releases the slot of a request that has ended. The tokens of a rate are not returned.
func (g *Gate) Done(s Slot) {
	switch s {
	case LeasedSlot:
		g.leasedInFlight--
	case FallbackSlot:
		g.fallbackInFlight--
	}
}

// Undo reverts the admission of a request that another limit rejects.
func (g *Gate) Undo(s Slot) {
	g.Admitted--
	if s == TokenSlot {
		g.tokens += requestCost
		return
	}
	g.Done(s)
}

// InUse returns the number of requests in flight.
func (g *Gate) InUse() Unit { return g.leasedInFlight + g.fallbackInFlight }

// recordDemand adds a request to the demand, whether or not it is admitted.
func (g *Gate) recordDemand(now time.Duration) {
	g.ageDemand(now)
	if g.kind == Rate {
		g.demand++
		return
	}
	g.demand = max(g.demand, float64(g.InUse()+1))
}

// ageDemand decays past demand: the sum of a rate, and the maximum of requests in flight, which falls to the current number at
// the least.
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

// Demand returns how much of the limit this member could use, including headroom.
func (g *Gate) Demand(now time.Duration) Unit {
	g.ageDemand(now)
	if g.kind == Rate {
		// The sum of requests weighted by age converges to the rate times demandAge.
		return Unit(g.demand / demandAge.Seconds() * headroom * float64(PerSecond))
	}
	return Unit(g.demand*headroom + 0.999)
}
