package execute

import (
	"time"

	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// Config is what a Machine is told once.
type Config struct {
	Plan     *plan.Plan
	Digest   string // of the plan
	Owner    string // differs from start to start
	Headroom room.Headroom
	// MaxObservationAge is the age up to which an observation counts.
	MaxObservationAge time.Duration
	// ShortageBackoff is how long after room was short nothing more is taken away.
	ShortageBackoff time.Duration
	// StoreRetryInterval is the wait before an unanswered Store is asked for again.
	StoreRetryInterval time.Duration
	// MaxStartDelay is how long it may take to start a node after the state that asks for it was read.
	MaxStartDelay time.Duration
}

// Machine is one control machine's part in a run while it has the duty.
type Machine struct {
	config Config

	loaded           bool
	state            *State // acknowledged; nil before the first
	pending          *State // asked to be stored; nil if there is none
	storeRequestedAt time.Duration
	fenced           bool
	directive        Directive
	inputChanged     bool // something was learnt since the last look for a next state

	now            time.Duration
	observation    *Observation
	hadShortage    bool          // room was short at some time
	lastShortageAt time.Duration // when it last was
	enteredAt      []time.Duration
	confirmedAt    []time.Duration // when a task's withholding was seen in force everywhere; 0: not yet
	blockers       []Blocker
	counters       Counters
	actions        []Action
}

// Counters are totals since the start of the machine.
type Counters struct {
	Stored     uint64 // states acknowledged
	Rejected   uint64 // states refused
	Cordoned   uint64 // nodes withheld
	Uncordoned uint64 // nodes given back because room fell or the replacement failed
	Migrated   uint64 // nodes whose streams were told to move
}

// NewMachine returns a machine that waits for Loaded.
func NewMachine(config Config) *Machine { return &Machine{config: config} }

// Fenced reports whether another machine has taken over; this one does nothing more.
func (m *Machine) Fenced() bool { return m.fenced }

// State is the newest acknowledged state; nil before the first.
func (m *Machine) State() *State { return m.state }

// Counters are totals since the start.
func (m *Machine) Counters() Counters { return m.counters }

// Step takes an event and returns what is to be done. The time is of a steady clock.
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

func (m *Machine) observe(observation *Observation) {
	if m.observation == nil || observation.Began > m.observation.Began {
		m.observation = observation
	}
}

// adopt takes over a state that others may have written.
func (m *Machine) adopt(state *State) {
	m.state = state
	m.pending = nil
	m.resetTimers()
}

// resetTimers forgets what was waited out: what is known of it ends with the machine that waited.
func (m *Machine) resetTimers() {
	count := 0
	if m.state != nil {
		count = len(m.state.Tasks)
	}
	m.enteredAt = make([]time.Duration, count)
	m.confirmedAt = make([]time.Duration, count)
	for index := range m.enteredAt {
		m.enteredAt[index] = m.now
	}
}

func (m *Machine) acknowledged(revision uint64) {
	if m.pending == nil || m.pending.Revision != revision {
		return
	}
	before := m.state
	m.state = m.pending
	m.pending = nil
	m.counters.Stored++
	m.reportChanges(before)
}

// tell reports what changed between two acknowledged states, and begins the times of the phases.
func (m *Machine) reportChanges(before *State) {
	if before == nil || before.Plan != m.state.Plan {
		m.resetTimers()
		return
	}
	if before.Outcome != m.state.Outcome {
		m.report(Changed{Stage: before.Stage, From: string(before.Outcome), To: string(m.state.Outcome)})
	}
	if before.Stage != m.state.Stage {
		m.resetTimers()
		m.report(Changed{Stage: before.Stage, From: string(Running), To: string(Finished)})
		return
	}
	for index, task := range m.state.Tasks {
		if task.Phase == before.Tasks[index].Phase {
			continue
		}
		m.enteredAt[index] = m.now
		if task.Phase != Draining {
			m.confirmedAt[index] = 0
		}
		replacement := m.replacement(index)
		m.report(Changed{
			Stage: m.state.Stage,
			Old:   replacement.Old.ID,
			New:   replacement.New.ID,
			From:  string(before.Tasks[index].Phase),
			To:    string(task.Phase),
		})
	}
}

func (m *Machine) report(changed Changed) { m.actions = append(m.actions, changed) }

// refused learns that the state in place is not the one that was expected: another machine has the duty, or an
// earlier one wrote a last state before this one took over.
func (m *Machine) rejected(current *State) {
	if m.pending == nil || current == nil {
		return
	}
	m.counters.Rejected++
	if m.ownsEpoch() || current.Epoch >= m.pending.Epoch {
		m.fenced = true
		return
	}
	m.adopt(current)
}

// claimed reports whether the acknowledged state is of this machine's epoch.
func (m *Machine) ownsEpoch() bool { return m.state != nil && m.state.Owner == m.config.Owner }

// proceed asks for the next state, if there is one to ask for.
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

// claim begins an epoch of this machine. Nothing else changes with it, unless the run is a new one.
func (m *Machine) claim() {
	next := &State{Plan: m.config.Digest, Outcome: Running}
	switch {
	case m.state == nil:
		next.enter(0, m.config.Plan)
	case m.state.Plan == m.config.Digest && m.state.Outcome.Ended():
		return
	case m.state.Plan == m.config.Digest:
		next = m.state.clone()
	case m.state.Outcome.Ended():
		next.Epoch, next.Revision = m.state.Epoch, m.state.Revision
		next.enter(0, m.config.Plan)
	default: // a run of another plan is not over
		m.fenced = true
		return
	}
	next.Epoch++
	next.Owner = m.config.Owner
	m.propose(next)
}

func (m *Machine) propose(next *State) {
	next.Revision++
	next.derive(m.config.Plan)
	m.pending = next
	m.requestStore()
}

func (m *Machine) requestStore() {
	m.storeRequestedAt = m.now
	m.actions = append(m.actions, Store{State: m.pending})
}

func (m *Machine) replacement(index int) *plan.Replacement {
	return &m.config.Plan.Stages[m.state.Stage].Replacements[index]
}
