package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/coordination"
)

// Status is an immutable description of the state of a Node.
type Status struct {
	View      *pb.View          // agreed view; nil if no view is known
	Self      *pb.Replica       // this machine
	Committed *catalog.Snapshot // newest committed state known here; nil before the first is known
	// Authoritative: this machine holds the state of the agreed view and has received heartbeats from a majority of the
	// voters within FailureTimeout.
	Authoritative bool
	AuthorityGap  AuthorityGap // reason why this machine is not authoritative; empty if it is
	Live          []string     // hosts of the live voters, including this machine, in the order of the view
	Founded       bool         // a view is known
}

func (s *Status) equal(other *Status) bool {
	return s.View == other.View &&
		s.Committed == other.Committed &&
		s.Authoritative == other.Authoritative &&
		slices.Equal(s.Live, other.Live)
}

// CoordinationStatus describes the calls of applications and the registers behind them.
type CoordinationStatus struct {
	coordination.Stats
	// Epoch is the newest epoch of voters whose registers are on this machine's disk; 0: there is none.
	Epoch uint64
}

// CoordinationStatus returns the status at the last tick. It is safe for concurrent use.
func (n *Node) CoordinationStatus() CoordinationStatus {
	if status := n.coordination.Load(); status != nil {
		return *status
	}
	return CoordinationStatus{}
}

// publishCoordination replaces the CoordinationStatus. It is called by the loop.
func (n *Node) publishCoordination() {
	status := n.machine.CoordinationStatus()
	if transfer := status.LastTransfer; transfer != n.CoordinationStatus().LastTransfer {
		n.logger.Info("registers collected",
			zap.Uint64("epoch", transfer.Epoch),
			zap.Int("registers", transfer.Registers),
			zap.Int("bytes", transfer.Bytes),
			zap.Duration("duration", transfer.Duration))
	}
	n.coordination.Store(&status)
}

// Status returns the current status. It is safe for concurrent use. While the loop is stalled the status is not
// authoritative, because the loop could not notice that the state has become stale.
func (n *Node) Status() Status {
	status := *n.status.Load()
	if time.Since(n.startedAt)-time.Duration(n.lastTickAt.Load()) >= stallThreshold {
		status.Authoritative = false
		status.AuthorityGap = GapLoopStalled
	}
	return status
}

// Changed returns a channel that is closed at the next change of the committed state, the view, Authoritative or Live.
// It is safe for concurrent use. To miss no change, get the channel before the Status.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Since returns the committed changes after sequence, oldest first; false if they are not retained any more. It is safe
// for concurrent use.
func (n *Node) Since(sequence uint64) ([]*pb.Change, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.Since(sequence)
}

// publish replaces the Status if anything in it differs, and wakes the goroutines that wait for a change. It is called
// by the loop.
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
			n.status.Store(status) // Changed does not report a change of the AuthorityGap alone
		}
		return
	}
	n.status.Store(status)
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// addCommitted adds the changes of a Committed action to the history for Since. If the changes are not known, the
// history is reset and restarts from the state of the action.
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
