package control

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// Times of leaving, after Leave.
const (
	// LeaveTimeout is how long a machine goes on at most.
	LeaveTimeout = 2 * time.Second
	// leaveUnhealthyAfter is when a machine counts as unfit for the chain, even if the copies required are not elsewhere.
	leaveUnhealthyAfter = 1500 * time.Millisecond
)

// leaving is the way out of a machine that was told to end.
type leaving struct {
	begun bool
	since time.Duration
	told  bool // Left was
}

// leave announces that this machine is to end and has a view without it decided.
func (m *Machine) leave() {
	if m.leaving.begun {
		return
	}
	m.leaving.begun = true
	m.leaving.since = m.now
	m.sendHeartbeats()
	m.tickElection()
}

// tellLeft tells that this machine may end: when the others go on without it, when nobody is there who could, or
// when it has stayed for as long as it may.
func (m *Machine) tellLeft() {
	if !m.leaving.begun || m.leaving.told {
		return
	}
	agreed := m.hasLeft()
	if agreed || !m.hasSuccessors() || m.now-m.leaving.since >= LeaveTimeout {
		m.leaving.told = true
		m.actions = append(m.actions, Left{Agreed: agreed})
	}
}

// hasLeft reports whether the others go on without this machine: it is not in the chain, so many members of the chain
// have the view on disk and hold its state that it outlives a further loss, and the vote is settled.
func (m *Machine) hasLeft() bool {
	view := m.View()
	identity := m.self.GetIdentity()
	if view == nil {
		return true
	}
	if quorum.IndexOf(view.GetChain(), identity) != quorum.NotFound || !m.isHeldElsewhere() {
		return false
	}
	voters, changed := quorum.NextVoters(view, m.electorate())
	votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
	loses := changed && quorum.IndexOf(voters, identity) == quorum.NotFound
	return !votes || !loses
}

// isHeldElsewhere reports whether the members of the chain that hold the view and its state, and are to stay, are
// enough by themselves.
func (m *Machine) isHeldElsewhere() bool {
	view := m.View()
	candidates := m.candidates(view.GetChain())
	holders := slices.DeleteFunc(slices.Clone(view.GetChain()), func(member *pb.Replica) bool {
		candidate := candidates[member.GetIdentity()]
		return !candidate.Healthy || !candidate.Synchronized || candidate.Leaving
	})
	return m.config.Requirement.MetBy(holders, view.GetVoters())
}

// hasSuccessors reports whether a majority of the voters is heard and another machine, perhaps one that waits to join,
// is to stay.
func (m *Machine) hasSuccessors() bool {
	if !m.hearsMajority() {
		return false
	}
	for identity := range m.peers.known {
		if m.isLive(identity) && !m.isLeaving(identity) {
			return true
		}
	}
	return false
}

// isLeaving reports whether a machine has said that it was told to end.
func (m *Machine) isLeaving(identity string) bool {
	if identity == m.self.GetIdentity() {
		return m.leaving.begun
	}
	found, known := m.peers.known[identity]
	return known && found.heartbeat.GetLeaving()
}

// hasLeftChain reports whether a machine that was told to end is outside of the chain in force.
func (m *Machine) hasLeftChain(identity string) bool {
	inChain := quorum.IndexOf(m.View().GetChain(), identity) != quorum.NotFound
	return !inChain && m.isLeaving(identity)
}
