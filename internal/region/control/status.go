package control

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/coordination"
)

// Status is an immutable description of what a Node holds.
type Status struct {
	View      *pb.View          // agreed view; nil before founding or joining
	Self      *pb.Replica       // this machine
	Committed *catalog.Snapshot // newest committed state known here; nil before the first is known
	// Authoritative: this machine holds the state of the agreed view and has received heartbeats from a majority of the
	// voters within FailureTimeout.
	Authoritative bool
	AuthorityGap  AuthorityGap // what it lacks to be authoritative
	Live          []string     // hosts of the live voters, this one included, in the order of the view
	Founded       bool         // a view is known
}

func (s *Status) equal(other *Status) bool {
	return s.View == other.View &&
		s.Committed == other.Committed &&
		s.Authoritative == other.Authoritative &&
		slices.Equal(s.Live, other.Live)
}

// CoordinationStatus is what a Node tells of the calls of applications and of the registers behind them.
type CoordinationStatus struct {
	coordination.Stats
	// Epoch is the newest epoch of voters whose registers are on this machine's disk; 0: none.
	Epoch uint64
}

// CoordinationStatus returns the figures of the newest tick. It is safe for concurrent use.
func (n *Node) CoordinationStatus() CoordinationStatus {
	if status := n.coordination.Load(); status != nil {
		return *status
	}
	return CoordinationStatus{}
}

// publishCoordination replaces the CoordinationStatus. The loop calls it.
func (n *Node) publishCoordination() {
	status := n.machine.CoordinationStatus()
	n.coordination.Store(&status)
}

// Status returns what the node holds now. It is safe for concurrent use. While the loop is stalled, nothing would show
// that the state has grown old, so that the status is not authoritative then.
func (n *Node) Status() Status {
	status := *n.status.Load()
	if time.Since(n.startedAt)-time.Duration(n.lastTickAt.Load()) >= stallThreshold {
		status.Authoritative = false
		status.AuthorityGap = GapTick
	}
	return status
}

// Changed returns a channel that is closed at the next change of the committed state, the view, Authoritative or Live.
// It is safe for concurrent use. Get the channel before the Status that it is to supersede: no change is missed then.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Since returns the committed changes after sequence, oldest first; false when they are not kept any more. It is safe
// for concurrent use.
func (n *Node) Since(sequence uint64) ([]*pb.Change, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.Since(sequence)
}

// publish replaces the Status if anything in it differs, and wakes those who wait for a change. The loop calls it.
func (n *Node) publish() {
	machine := n.machine
	gap := machine.AuthorityGap()
	status := &Status{
		View:          machine.View(),
		Self:          machine.Self(),
		Committed:     machine.Committed(),
		Authoritative: gap == GapNone,
		AuthorityGap:  gap,
		Live:          machine.Live(),
		Founded:       machine.View() != nil,
	}
	old := n.status.Load()
	if old != nil && old.equal(status) {
		if old.AuthorityGap != gap {
			n.status.Store(status) // nobody waits for a change of the reason alone
		}
		return
	}
	n.status.Store(status)
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// addCommitted keeps the changes of a Committed action for Since. Changes that are not known leave a gap, after which the
// history begins anew.
func (n *Node) addCommitted(action Committed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if action.Changes == nil {
		n.history.Reset(action.Snapshot.Sequence())
	}
	for _, change := range action.Changes {
		n.history.Add(change)
	}
}
