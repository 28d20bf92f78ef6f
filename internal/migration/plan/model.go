package plan

import (
	"time"

	"fieldrelay/internal/migration/room"
)

// Times are the expected durations of the steps of one replacement.
type Times struct {
	Start  time.Duration // until the new node answers
	Warm   time.Duration // until it bears its full load, or, for a core machine, has caught up
	Drain  time.Duration // until the old node's longest reply has ended
	Linger time.Duration // in which something may still be on its way to the old node
	Stop   time.Duration // until the old node is gone
}

// Total is the duration of the replacement.
func (t Times) Total() time.Duration { return t.Start + t.Warm + t.Drain + t.Linger + t.Stop }

// Replacement is one node that goes and the one that takes its place.
type Replacement struct {
	Old, New room.Node
	// Surge tells that both can run at once: the old node serves until the new one is warm. Otherwise the new
	// node needs the place of the old one, which must be gone first.
	Surge bool
	Times Times
}

// Voter is one control machine of the agreed view.
type Voter struct {
	ID   string // host
	Zone string
}

// Core describes the control machines and what they must bear.
type Core struct {
	Voters []Voter
	// Hosts and Zones are the fault budget: either may be lost, and a majority of the voters and a replica of
	// the control state remain.
	Hosts, Zones int
}

// Surge is where a further node can be put.
type SurgePool struct {
	Zone string
	Kind room.Kind
}

// DefaultBatchFraction is the part of a service's nodes in a region that a stage replaces at most: nodes on new
// hardware have not proved themselves yet.
const DefaultBatchFraction = 1.0 / 3

// Input is what a plan is made from. It is not written to.
type Input struct {
	Nodes         []room.Node // that serve now, the retiring ones included
	Replacements  []Replacement
	Demand        room.Profile
	Headroom      room.Headroom
	Core          Core
	SurgeCapacity map[SurgePool]int // nodes that can run beside the present ones; no entry: any number
	BatchFraction float64           // 0: DefaultBatchFraction; a stage may always replace one
	Begin         time.Duration     // on the time of the profile
	Window        time.Duration     // from Begin, in which all must be done; 0: any time
}

// Plan is an order of stages.
type Plan struct {
	Stages   []Stage
	Begin    time.Duration // as in the input
	End      time.Duration // of the last stage
	Shortest bool          // no order takes less time
}

// Stage is a set of replacements that go on side by side.
type Stage struct {
	Begin        time.Duration // not before, on the time of the profile
	Duration     time.Duration // as expected
	Replacements []Replacement
}
