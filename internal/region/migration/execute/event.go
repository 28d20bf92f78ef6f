package execute

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

// Event is an input of a Machine.
type Event interface{ executeEvent() }

// Tick reports that time has passed. The caller sends it several times a second. A Tick is cheap: the Machine looks for a
// next state only after another event, or when the observation has become too old.
type Tick struct{}

// Loaded is the newest acknowledged state of the run, nil if there is none yet. The caller reads the state once,
// when the machine becomes the owner of the singleton role.
type Loaded struct{ State *State }

// Stored acknowledges the state of the last Store.
type Stored struct{ Revision uint64 }

// Rejected reports that the last Store was rejected, since the stored state is not the expected one. Current is the stored
// state.
type Rejected struct{ Current *State }

// DirectiveSet reports the operator's directive in force.
type DirectiveSet struct{ Directive Directive }

// Observed is a complete observation.
type Observed struct{ Observation *Observation }

func (Tick) executeEvent()         {}
func (Loaded) executeEvent()       {}
func (Stored) executeEvent()       {}
func (Rejected) executeEvent()     {}
func (DirectiveSet) executeEvent() {}
func (Observed) executeEvent()     {}

// Directive is an instruction of the operator to a run.
type Directive uint8

// The directives.
const (
	Proceed Directive = iota
	Pause             // make no step that removes capacity, and none that begins a replacement
	Abort             // roll back the tasks that can be rolled back and finish the others; cannot be revoked
)

// Observation is the state of the deployment as observed within a short time.
type Observation struct {
	Began   time.Duration // time before the first query, on the clock of Machine.Step
	Elapsed time.Duration // time of day, on the time scale of the plan's profile
	Nodes   map[string]NodeStatus
	// ConfirmedRevision is the revision of the run's state that is in force at every proxy that may still be sending,
	// including proxies that cannot be reached now.
	ConfirmedRevision uint64
	Fleet             []capacity.Node // nodes that are warm and serve, including cordoned ones
	Loads             []capacity.Load // recently measured demand
	Core              plan.Core       // voters of the view in force, with the fault budget
	// CoreConverged means that all voters are live and hold the view in force.
	CoreConverged bool
}

// NodeStatus is the observed status of a node that runs, or that may still be running.
type NodeStatus struct {
	// Ready means that the node answers and has warmed up; of a core machine, that it holds the control state and, in an
	// in-place replacement, that it votes.
	Ready bool
	Votes bool // the node is a core machine that votes in the view in force
	// InFlight is the number of requests in flight to the node or in progress on it: the larger of the counts that the
	// proxies and the node itself report.
	InFlight   int
	Migratable int // number of in-flight streams that can be resumed elsewhere
}

// Action is a request of a Machine to its caller.
type Action interface{ executeAction() }

// Store requests that a state replaces the stored one, if that has the preceding revision. The same Machine may repeat the
// request. The answer is Stored or Rejected; it may be lost.
type Store struct{ State *State }

// Changed reports an acknowledged change of a phase or an outcome, for the log.
type Changed struct {
	Stage    int
	Old, New string // IDs of the replacement's nodes; empty if the outcome or the stage changed
	From, To string
}

func (Store) executeAction()   {}
func (Changed) executeAction() {}
