// Package quota divides limits on requests among the members of a fleet. A Holder in each member holds leases on shares of the
// limits; a Granter in the leader grants them according to demand. Both are state machines without I/O, clock or goroutine. A
// Gate admits a member's requests within its share.
//
// The shares of a strict limit never sum to more than the limit, whatever messages and members are lost.
// docs/design/shared.md explains why; docs/sidecar/quotas.md is the page for operators.
package quota

import (
	"time"
)

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate     Kind = iota // requests that begin per second
	InFlight             // requests that have begun but not ended
	Retries              // retries, as a fraction of first requests; each member enforces it on its own, so nothing is leased
)

// Unit is the type of amounts: thousandths of a request per second, or requests in flight. Amounts are integers so that sums
// are exact.
type Unit = int64

// PerSecond is one request per second.
const PerSecond Unit = 1000

// Limit is a limit that applies to the whole fleet.
type Limit struct {
	Name         string
	Kind         Kind
	Total        Unit // for all members together
	FloorPercent Unit // percent of the total that is reserved in equal shares for MaxMembers members
	MaxMembers   Unit // maximum number of distinct member names
	Available    bool // without a lease, a holder has an equal share of the pool in addition to its floor
}

// floor returns the amount that each member may use without a lease.
func (l Limit) floor() Unit { return l.Total * l.FloorPercent / 100 / max(1, l.MaxMembers) }

// pool returns the amount that is available for leases.
func (l Limit) pool() Unit { return l.Total - l.floor()*l.MaxMembers }

// Times are the intervals and timeouts of a fleet's leases. They must be the same at all members.
type Times struct {
	ReportInterval time.Duration // interval between a holder's reports
	Lease          time.Duration // duration of a lease, counted from the sending of the report that the grant answers
	ActTimeout     time.Duration // for how long a granter acts after a majority confirmed its leadership
	Drift          float64       // maximum relative drift between two clocks
}

// stretch returns a duration after which d has certainly passed on another clock.
func (t Times) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.Drift))
}

// MaxLimits is the maximum number of limits of a fleet.
const MaxLimits = 16 << 10

// With more limits than reportAllLimits, a report covers only the limits in use, and of these at most the maxReported with the
// highest demand. Of the other limits a member has its floor.
const (
	reportAllLimits = 64
	maxReported     = 1024
)

// hysteresis is the minimum difference between a share and the fair share for a change, in percent of an equal share.
const hysteresis = 10 // percent

// Mutation is a fault that a test injects to check that the invariants detect it.
type Mutation uint8

// The mutations.
const (
	NoMutation     Mutation = iota
	LeaseFromReply          // a lease runs from the receipt of the grant
	AnyGrant                // a grant that answers an earlier report is accepted
	NoWait                  // a new granter grants without waiting
	TakeAtOnce              // an amount is granted to another holder before its present holder has confirmed giving it up
)
