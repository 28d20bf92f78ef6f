package execute

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

// Config is the configuration of a Machine.
type Config struct {
	Plan     *plan.Plan
	Digest   string // digest of the plan file
	Owner    string // unique name of this Machine, different after each start
	Headroom capacity.Headroom
	// MaxObservationAge is the largest age of an observation on which the Machine acts.
	MaxObservationAge time.Duration
	// ShortageBackoff is the time after a shortage during which no further capacity is removed.
	ShortageBackoff time.Duration
	// StoreRetryInterval is the time after which an unanswered Store is repeated.
	StoreRetryInterval time.Duration
	// MaxStartDelay is the longest time from reading a state that names a node in Start until the node has started.
	MaxStartDelay time.Duration
}

// Machine executes a plan for a control machine that owns the singleton role. It is a state machine without I/O, a clock or
// goroutines, and is not safe for concurrent use.
type Machine struct {
	config Config

	loaded           bool
	state            *State // newest acknowledged state; nil before the first
	pending          *State // requested state that is not yet acknowledged; nil if there is none
	storeRequestedAt time.Duration
	fenced           bool
	directive        Directive
	inputChanged     bool // an event other than Tick changed the input since the last search for a next state

	now            time.Duration
	observation    *Observation
	hadShortage    bool
	lastShortageAt time.Duration   // time of the last shortage, if hadShortage
	enteredAt      []time.Duration // time at which the phase of each task was acknowledged
	confirmedAt    []time.Duration // time at which the cordon of each task was observed in force at all proxies; 0: not yet
	blockers       []Blocker
	counters       Counters
	actions        []Action
}

// Counters are totals since the start of the machine.
type Counters struct {
	Stored     uint64 // acknowledged states
	Rejected   uint64 // rejected states
	Cordoned   uint64 // cordons of nodes
	Uncordoned uint64 // cordons lifted because of a shortage, an abort or a failed replacement
	Migrated   uint64 // nodes whose streams were ordered to be resumed elsewhere
}

// NewMachine returns a Machine that does nothing until it gets the event Loaded.
func NewMachine(config Config) *Machine { return &Machine{config: config} }

// Fenced reports whether another Machine has taken over, or a run of another plan is in progress. A fenced Machine ignores
// all events.
func (m *Machine) Fenced() bool { return m.fenced }

// State returns the newest acknowledged state; nil before the first.
func (m *Machine) State() *State { return m.state }

// Counters returns the totals since the start.
func (m *Machine) Counters() Counters { return m.counters }

// Step handles an event and returns the resulting actions. now is the time of a monotonic clock.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.now = now
	m.actions = nil
	if m.fenced {
		return nil
	}
	switch event := event.(type) {
	case Loaded:
		m.loaded, m.inputChanged = true, true
		m.adopt(event.State)
	case Stored:
		m.inputChanged = true
		m.acknowledged(event.Revision)
	case Rejected:
		m.inputChanged = true
		m.rejected(event.Current)
	case DirectiveSet:
		m.inputChanged = m.inputChanged || m.directive != event.Directive
		m.directive = event.Directive
	case Observed:
		m.inputChanged = true
		m.observe(event.Observation)
	}
	m.proceed()
	return m.actions
}

// observe keeps the newest observation. Observations may arrive out of order.
func (m *Machine) observe(observation *Observation) {
	if m.observation == nil || observation.Began > m.observation.Began {
		m.observation = observation
	}
}

// proceed claims the epoch, repeats an unanswered Store or looks for a next state, whichever is due.
func (m *Machine) proceed() {
	switch {
	case !m.loaded:
	case m.pending != nil:
		if m.now >= m.storeRequestedAt+m.config.StoreRetryInterval {
			m.requestStore()
		}
	case !m.ownsEpoch():
		m.claim()
	case m.inputChanged || !m.observationIsFresh():
		m.inputChanged = false
		m.advance()
	}
}

// replacement returns the replacement of a task of the current stage.
func (m *Machine) replacement(index int) *plan.Replacement {
	return &m.config.Plan.Stages[m.state.Stage].Replacements[index]
}
