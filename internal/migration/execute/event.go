package execute

import (
	"time"

	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// Event is something that a Machine is told.
type Event interface{ executeEvent() }

// Tick tells the time passing, several times a second. It costs next to nothing: what is to be done next is looked
// for when something was learnt.
type Tick struct{}

// Loaded is the newest acknowledged state of the run; nil if there is none yet. It is read once, when the
// machine gets the duty.
type Loaded struct{ State *State }

// Stored tells that the state of the last Store is acknowledged.
type Stored struct{ Revision uint64 }

// Rejected tells that another state than the expected one is in place.
type Rejected struct{ Current *State }

// DirectiveSet is the operator's wish in force.
type DirectiveSet struct{ Directive Directive }

// Observed is a whole observation.
type Observed struct{ Observation *Observation }

func (Tick) executeEvent()         {}
func (Loaded) executeEvent()       {}
func (Stored) executeEvent()       {}
func (Rejected) executeEvent()     {}
func (DirectiveSet) executeEvent() {}
func (Observed) executeEvent()     {}

// Directive is what the operator wants of a run.
type Directive uint8

// The wishes. An abort cannot be taken back.
const (
	Proceed Directive = iota
	Pause
	Abort
)

// Observation is what was seen of the deployment within a short time.
type Observation struct {
	Began   time.Duration // before the first look, on the machine's clock
	Elapsed time.Duration // time of day, on the time of the plan's profile
	Nodes   map[string]NodeStatus
	// ConfirmedRevision is the revision of the run's state that every proxy has in force that may be sending, proxies
	// included that cannot be reached at present.
	ConfirmedRevision uint64
	Fleet             []room.Node // that are warm and serve, withheld ones included
	Loads             []room.Load // as measured of late
	Core              plan.Core   // the voters of the view in force
	// CoreConverged tells that all voters are live and hold the view in force.
	CoreConverged bool
}

// NodeStatus is what was seen of a node that runs, or that may run still.
type NodeStatus struct {
	// Ready: it answers, and bears its full load; of a core machine: it holds the state and, if it is to vote
	// without an old machine beside, votes.
	Ready bool
	Votes bool // of a core machine: in the view in force
	// InFlight counts requests on their way to it or on it, as the proxies and the node itself count them, whichever
	// is more.
	InFlight   int
	Migratable int // of these, streams that can go on elsewhere
}

// Action is something that the shell of a Machine has to do.
type Action interface{ executeAction() }

// Store asks for a state to be kept in place of the one with the revision before; by the same machine it may be
// asked for again. It is answered by Stored or Refused, or not at all.
type Store struct{ State *State }

// Changed tells a change of phase or outcome that is acknowledged, for the log.
type Changed struct {
	Stage    int
	Old, New string // ids; empty for the run as a whole
	From, To string
}

func (Store) executeAction()   {}
func (Changed) executeAction() {}
