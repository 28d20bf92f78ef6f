package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// lagTimeout is how long a machine may lack a committed change that others have told of before it ceases to be
// authoritative: changes follow the heartbeats that tell of them within a moment, unless a link is cut. It ceases
// earlier if the silence limit ends before (see isOverdue).
const lagTimeout = 2 * HeartbeatInterval

// peerAdvertisements is the newest that heartbeats of other machines have told of. A machine that is cut off from the
// chain alone, or that hears but is not heard, learns by it that the state that it holds has grown old.
type peerAdvertisements struct {
	view     uint64 // newest view number
	sequence uint64 // newest committed sequence, in the view in force
	// behindSince is since when this machine has committed less than sequence; 0: it has not.
	behindSince time.Duration
	// currentAt is when the last heartbeat of a member of the chain came that told of nothing which this machine
	// lacked: whatever was acknowledged when it was sent is held here. 0: none came since the start.
	currentAt time.Duration
	// apart: heartbeats of a majority were missing, and since they are back not all that they tell of has come.
	apart bool
}

// Authoritative reports whether the machine holds the state of the view in force, has had heartbeats of a
// majority of the voters lately, and was told neither of a later view nor of changes that it does not get.
func (m *Machine) Authoritative() bool {
	return m.replica.KnowsCommitted() && m.hasHeartbeats() && !m.isBehind()
}

// hasHeartbeats reports whether heartbeats came lately of a majority of the voters, this one included, and of a
// member of the chain: a chain that is out of reach as a whole may still acknowledge what was on its way. Other
// messages do not count, for they do not tell how far their sender is, and a standstill of this machine is no
// excuse.
func (m *Machine) hasHeartbeats() bool {
	view := m.View()
	return view != nil &&
		m.countHeartbeats(view.GetVoters()) >= quorum.Majority(view) &&
		m.countHeartbeats(view.GetChain()) > 0
}

// countHeartbeats counts the replicas that sent a heartbeat lately; this machine is one of them.
func (m *Machine) countHeartbeats(replicas []*pb.Replica) int {
	count := 0
	for _, replica := range replicas {
		found, known := m.peers.known[replica.GetIdentity()]
		lately := known && found.heartbeat != nil && m.now-found.lastPromptHeartbeat <= FailureTimeout
		if lately || m.isSelf(replica) {
			count++
		}
	}
	return count
}

func (m *Machine) isBehind() bool {
	if m.advertisedByPeers.view > m.View().GetNumber() || m.advertisedByPeers.apart {
		return true
	}
	return m.advertisedByPeers.behindSince > 0 && m.isOverdue()
}

// isOverdue reports whether a change that this machine was told of has been missing for too long. It may have been
// acknowledged at any time since the last heartbeat that did not tell of it, so that the silence limit runs from there.
func (m *Machine) isOverdue() bool {
	if m.now-m.advertisedByPeers.behindSince >= lagTimeout {
		return true
	}
	return m.advertisedByPeers.currentAt == 0 || m.now-m.advertisedByPeers.currentAt > FailureTimeout
}

// noteTold remembers what another machine's heartbeat tells of. One that has just started does not know how much
// of what it has on disk is committed: all of it may be.
func (m *Machine) noteTold(from *pb.Replica, heartbeat *pb.Heartbeat) {
	m.advertisedByPeers.view = max(m.advertisedByPeers.view, heartbeat.GetViewNumber())
	committed := heartbeat.GetCommitted()
	if committed == 0 {
		committed = heartbeat.GetSequence()
	}
	m.advertisedByPeers.sequence = max(m.advertisedByPeers.sequence, committed)
	m.noteCurrent(from, committed)
	m.compareWithTold()
}

// noteCurrent notes that a member of the chain told of nothing that this machine lacks. Each member knows a change to
// be committed before the head acknowledges it. A heartbeat that has waited for this machine shows nothing of now.
func (m *Machine) noteCurrent(from *pb.Replica, committed uint64) {
	inChain := quorum.IndexOf(m.View().GetChain(), from.GetIdentity()) != quorum.NotFound
	if inChain && !m.wakesLate() && committed <= sequenceOf(m.replica.Committed()) {
		m.advertisedByPeers.currentAt = m.now
	}
}

// compareWithTold keeps the time since when this machine lacks something that it was told of.
func (m *Machine) compareWithTold() {
	if !m.hasHeartbeats() {
		m.advertisedByPeers.apart = true
	}
	if sequenceOf(m.replica.Committed()) < m.advertisedByPeers.sequence {
		if m.advertisedByPeers.behindSince == 0 {
			m.advertisedByPeers.behindSince = m.now
		}
		return
	}
	m.advertisedByPeers.behindSince = 0
	if m.hasHeartbeats() {
		m.advertisedByPeers.apart = false
	}
}

// forgetTold forgets the sequence told of in an earlier view: whoever follows the new one holds all of it. It holds
// what was acknowledged in the new view until now as well, for it is the head of that or asks for its state from now on.
func (m *Machine) forgetTold() {
	m.advertisedByPeers.sequence = 0
	m.advertisedByPeers.behindSince = 0
	m.advertisedByPeers.currentAt = m.now
}
