package plan

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// Times are the expected durations of the steps of one replacement.
type Times struct {
	Start  time.Duration // time until the new node answers
	Warm   time.Duration // time until the new node has warmed up; for a core machine, until it has caught up
	Drain  time.Duration // time until the old node's longest response has ended
	Linger time.Duration // time during which requests may still arrive at the old node
	Stop   time.Duration // time until the old node has stopped
}

// Total returns the duration of the whole replacement.
func (t Times) Total() time.Duration { return t.Start + t.Warm + t.Drain + t.Linger + t.Stop }

// Replacement is one old node and the new node that takes over from it.
type Replacement struct {
	Old, New capacity.Node
	// Surge means that both nodes can run at once: the old node serves until the new one has warmed up. Otherwise
	// the replacement is in place: the new node needs the rack space, power or licence of the old one, so that the
	// old node must stop first.
	Surge bool
	Times Times
}

// Voter is a control machine that votes in the current view.
type Voter struct {
	ID   string // name of the host
	Zone string
}

// Core describes the voters and the failures that they must survive.
type Core struct {
	Voters []Voter
	// Hosts and Zones are the fault budget: after the failure of that many hosts, or of that many zones, a majority
	// of the voters and a replica of the control state must remain.
	Hosts, Zones int
}

// SurgePool identifies the surge capacity of a zone for a kind of nodes: new nodes that can run beside the present ones.
type SurgePool struct {
	Zone string
	Kind capacity.Kind
}

// DefaultBatchFraction is the largest fraction of a service's nodes in a region that a stage replaces: new hardware may
// have a common defect that has not become apparent yet.
const DefaultBatchFraction = 1.0 / 3

// Input is the input of the planner, which does not modify it.
type Input struct {
	Nodes         []capacity.Node // nodes that serve now, including those to be replaced
	Replacements  []Replacement
	Demand        capacity.Profile
	Headroom      capacity.Headroom
	Core          Core
	SurgeCapacity map[SurgePool]int // number of additional nodes that can run at once; no entry: unlimited
	BatchFraction float64           // largest replaced fraction of a pool, at least one node; 0: DefaultBatchFraction
	Begin         time.Duration     // earliest begin of the first stage, on the time scale of the profile
	Window        time.Duration     // time after Begin by which all replacements must be done; 0: no limit
}

// Plan is a sequence of stages.
type Plan struct {
	Stages   []Stage
	Begin    time.Duration // Input.Begin
	End      time.Duration // end of the last stage
	Shortest bool          // the search was exhaustive: no other order takes less time
}

// Stage is a set of replacements that are carried out concurrently. A stage ends before the next one begins.
type Stage struct {
	Begin        time.Duration // earliest begin, on the time scale of the profile
	Duration     time.Duration // expected duration
	Replacements []Replacement
}
