package execute

import (
	"time"
)

// adopt makes a state that another Machine may have written the acknowledged state.
func (m *Machine) adopt(state *State) {
	m.state = state
	m.pending = nil
	m.resetTimers()
}

// acknowledged handles the acknowledgement of the pending state.
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

// rejected handles the rejection of the pending state. Either another Machine owns the singleton role now, or the previous
// owner stored a last state before this Machine began its epoch.
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

// ownsEpoch reports whether the acknowledged state belongs to this Machine's epoch.
func (m *Machine) ownsEpoch() bool { return m.state != nil && m.state.Owner == m.config.Owner }

// claim begins an epoch of this Machine. It changes nothing else of the run, unless the run is new.
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
	default: // a run of another plan has not ended
		m.fenced = true
		return
	}
	next.Epoch++
	next.Owner = m.config.Owner
	m.propose(next)
}

// propose completes the next state and requests it to be stored.
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

// resetTimers restarts the timers of all tasks. A Machine that takes over waits for the full times, since it does not know
// for how long its predecessor has waited.
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
