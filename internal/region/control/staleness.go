package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// lagTimeout is how long a machine may lack a committed change that peers advertise before it ceases to be
// authoritative: changes follow the heartbeats that advertise them within a moment, unless a link is partitioned. It
// ceases earlier if FailureTimeout ends before (see isOverdue).
const lagTimeout = 2 * HeartbeatInterval

// staleness compares what this machine holds with the newest view and commit that heartbeats of peers advertise. By it a
// machine that is partitioned from the chain alone, or that receives but cannot send, finds that its state has grown
// old.
type staleness struct {
	clock   *clock
	peers   *peerTable
	replica *chain.Replica

	advertisedView   uint64 // newest view number
	advertisedCommit uint64 // newest committed sequence, in the view in force
	// behindSince is since when this machine has committed less than advertisedCommit; 0: it has not.
	behindSince time.Duration
	// currentAt is when the last heartbeat of a member of the chain came that advertised nothing which this machine
	// lacked: whatever was acknowledged when it was sent is held here. 0: none came since the start.
	currentAt time.Duration
	// partitioned: heartbeats of a majority were missing, and since they are back not all that they advertise has
	// come.
	partitioned bool
}

// gap returns what this machine lacks to be authoritative. It lacks nothing if it holds the state of the view in force,
// has had heartbeats of a majority of the voters lately, and knows neither of a later view nor of changes that it does
// not get.
func (s *staleness) gap() AuthorityGap {
	view := viewInForce(s.replica)
	switch {
	case view == nil:
		return GapView
	case !s.replica.Synchronized():
		return GapState
	case !s.replica.KnowsCommitted():
		return GapCommit
	}
	if missing := s.heartbeatGap(); missing != GapNone {
		return missing
	}
	return s.stateGap()
}

// heartbeatGap looks for heartbeats of a majority of the voters, this one included, and of a member of the chain: a
// chain that is out of reach as a whole may still acknowledge what was on its way. Other messages do not count, for they
// do not advertise how far their sender is, and a stall of this process is no excuse.
func (s *staleness) heartbeatGap() AuthorityGap {
	view := viewInForce(s.replica)
	switch {
	case view == nil:
		return GapView
	case s.peers.heartbeatsWithin(view.GetVoters()) < quorum.Majority(view):
		return GapMajority
	case s.peers.heartbeatsWithin(view.GetChain()) == 0:
		return GapChain
	default:
		return GapNone
	}
}

func (s *staleness) hasHeartbeats() bool { return s.heartbeatGap() == GapNone }

// stateGap looks for a later view and for changes that this machine does not get.
func (s *staleness) stateGap() AuthorityGap {
	switch {
	case s.advertisedView > viewInForce(s.replica).GetNumber():
		return GapLaterView
	case s.partitioned, s.behindSince > 0 && s.isOverdue():
		return GapChanges
	default:
		return GapNone
	}
}

// isOverdue reports whether an advertised change has been missing for too long. It may have been acknowledged at any
// time since the last heartbeat that did not advertise it, so that FailureTimeout runs from there.
func (s *staleness) isOverdue() bool {
	if s.clock.now-s.behindSince >= lagTimeout {
		return true
	}
	return s.currentAt == 0 || s.clock.now-s.currentAt > FailureTimeout
}

// observe records what a peer's heartbeat advertises. A machine that has just started does not know how much of what it
// has on disk is committed: all of it may be.
func (s *staleness) observe(from *pb.Replica, heartbeat *pb.Heartbeat) {
	s.advertisedView = max(s.advertisedView, heartbeat.GetViewNumber())
	committed := heartbeat.GetCommitted()
	if committed == 0 {
		committed = heartbeat.GetSequence()
	}
	s.advertisedCommit = max(s.advertisedCommit, committed)
	if s.provesCurrent(from, committed) {
		s.currentAt = s.clock.now
	}
	s.update()
}

// provesCurrent reports whether a member of the chain advertises nothing that this machine lacks. Each member knows a
// change to be committed before the head acknowledges it, so that at the time of the heartbeat nothing was acknowledged
// that is not here. A heartbeat that has waited for this process proves nothing of the present.
func (s *staleness) provesCurrent(from *pb.Replica, committed uint64) bool {
	inChain := quorum.IndexOf(viewInForce(s.replica).GetChain(), from.GetIdentity()) != quorum.NotFound
	return inChain && !s.clock.isStalled() && committed <= s.replica.Committed().Sequence()
}

// update compares the committed state with the advertised one. It must run before anything that restores lost contact:
// a loss between two ticks would go unnoticed otherwise.
func (s *staleness) update() {
	if !s.hasHeartbeats() {
		s.partitioned = true
	}
	if s.replica.Committed().Sequence() < s.advertisedCommit {
		if s.behindSince == 0 {
			s.behindSince = s.clock.now
		}
		return
	}
	s.behindSince = 0
	if s.hasHeartbeats() {
		s.partitioned = false
	}
}

// enterView forgets the commit advertised in an earlier view: whoever follows the new one holds all of it. This machine
// holds what was acknowledged in the new view until now as well, for it is the head of that or requests its state from
// now on.
func (s *staleness) enterView() {
	s.advertisedCommit = 0
	s.behindSince = 0
	s.currentAt = s.clock.now
}
