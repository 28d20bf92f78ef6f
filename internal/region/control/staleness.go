package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// lagTimeout is how long a machine may lack a committed change that peers advertise before it stops being
// authoritative. Changes normally arrive shortly after the heartbeats that advertise them, unless a link is
// partitioned. FailureTimeout may set a shorter limit (see isOverdue).
const lagTimeout = 2 * HeartbeatInterval

// staleness compares the state of this machine with the newest view and the newest committed sequence in the heartbeats
// of peers. By this comparison, a machine detects that its state is stale when it is partitioned from the chain only,
// or when it can receive but not send.
type staleness struct {
	clock   *clock
	peers   *peerTable
	replica *chain.Replica

	advertisedView   uint64 // highest view number in the heartbeats
	advertisedCommit uint64 // highest committed sequence in the heartbeats, since the view in force was entered
	// behindSince is when the committed sequence of this machine fell behind advertisedCommit; 0: it is not behind.
	behindSince time.Duration
	// currentAt is the time of the last heartbeat of a chain member that advertised no change that this machine lacked.
	// The state here contains everything that was acknowledged when that heartbeat was sent. 0: there was no such
	// heartbeat since the start.
	currentAt time.Duration
	// partitioned: heartbeats of a majority or of the whole chain were missing, and this machine still lacks changes
	// that have been advertised since the heartbeats arrived again.
	partitioned bool
}

// gap returns the reason why this machine is not authoritative. The machine is authoritative if it holds the state of
// the view in force, has received heartbeats of a majority of the voters within FailureTimeout, and knows neither of a
// later view nor of committed changes that do not arrive.
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

// heartbeatGap checks for heartbeats of a majority of the voters, this machine included, and of a member of the chain:
// a chain that is unreachable as a whole may still acknowledge orders that it had already received. Messages other
// than heartbeats do not count, since they do not advertise the sequence of their sender. A stall of this process does
// not extend the limit.
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

// stateGap checks for a later view and for committed changes that do not arrive.
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

// isOverdue reports whether an advertised change has been missing for too long. The change may have been acknowledged
// at any time since the last heartbeat that did not advertise it, so FailureTimeout counts from that heartbeat.
func (s *staleness) isOverdue() bool {
	if s.clock.now-s.behindSince >= lagTimeout {
		return true
	}
	return s.currentAt == 0 || s.clock.now-s.currentAt > FailureTimeout
}

// observe records the view number and the sequences that a peer's heartbeat advertises. A peer that has just started
// does not know up to which sequence the state on its disk is committed. The whole state may be committed, so the
// peer's sequence counts as committed.
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

// provesCurrent reports whether the sender is a member of the chain and advertises no change that this machine lacks.
// Each member knows that a change is committed before the head acknowledges it, so every change that was acknowledged
// when the heartbeat was sent is in the state of this machine. A heartbeat that waited while this process was stalled
// does not show that the state is current now.
func (s *staleness) provesCurrent(from *pb.Replica, committed uint64) bool {
	inChain := quorum.IndexOf(viewInForce(s.replica).GetChain(), from.GetIdentity()) != quorum.NotFound
	return inChain && !s.clock.isStalled() && committed <= s.replica.Committed().Sequence()
}

// update compares the sequence of the committed state with the advertised sequence. It must run before a message
// restores lost contact, or a loss of contact between two ticks would not be detected.
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

// enterView resets the committed sequence that was advertised in the previous view: any machine that has synchronized
// in the new view holds all changes up to that sequence. The state of this machine also counts as current at this time:
// the machine either is the head of the new view or requests the state of that view from now on, so it holds everything
// acknowledged until now once it is synchronized.
func (s *staleness) enterView() {
	s.advertisedCommit = 0
	s.behindSince = 0
	s.currentAt = s.clock.now
}
