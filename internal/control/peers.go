package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/quorum"
)

const (
	// peerRetention is how long a silent machine that does not vote is remembered.
	peerRetention = 30 * time.Second
	// maxPeers bounds the table of other machines.
	maxPeers = 64
	// stableAfter is how long a machine must have been live before it is added to the chain without need.
	stableAfter = time.Second
)

// peer is what is known of another control machine.
type peer struct {
	replica             *pb.Replica
	lastContact         time.Duration // last time
	liveSince           time.Duration
	heartbeat           *pb.Heartbeat // the last one; nil before the first
	lastPromptHeartbeat time.Duration // when a heartbeat came that had not waited for this machine
	leavingIncarnation  uint64        // incarnation that has said that it was told to end; 0: none has
}

// take keeps a heartbeat; it returns false if that is an earlier one of a process that was told to end. A machine that
// was told to end and is back serves in the chain as soon as it holds the state. A late heartbeat may have waited
// while this machine stood still.
func (p *peer) acceptHeartbeat(heartbeat *pb.Heartbeat, now time.Duration, late bool) bool {
	incarnation := heartbeat.GetIncarnation()
	if p.leavingIncarnation != 0 && incarnation == p.leavingIncarnation {
		hasReturned := p.heartbeat.GetIncarnation() != p.leavingIncarnation
		if hasReturned || !heartbeat.GetLeaving() {
			return false
		}
	}
	if p.heartbeat.GetLeaving() && incarnation != p.leavingIncarnation {
		p.liveSince = now - stableAfter
	}
	if heartbeat.GetLeaving() {
		p.leavingIncarnation = incarnation
	}
	p.heartbeat = heartbeat
	if !late {
		p.lastPromptHeartbeat = now
	}
	return true
}

type peerTable struct {
	known map[string]*peer // by identity
}

func newPeerTable() peerTable { return peerTable{known: make(map[string]*peer)} }

// note remembers that a machine was heard.
func (t *peerTable) note(replica *pb.Replica, now time.Duration) *peer {
	found, known := t.known[replica.GetIdentity()]
	if !known {
		if len(t.known) >= maxPeers {
			return &peer{replica: replica, lastContact: now}
		}
		found = &peer{liveSince: now}
		t.known[replica.GetIdentity()] = found
	} else if now-found.lastContact > FailureTimeout {
		found.liveSince = now
	}
	found.replica = replica
	found.lastContact = now
	return found
}

// excuse moves the time at which others were heard by what this machine has missed itself.
func (t *peerTable) excuse(gap, now time.Duration) {
	for _, found := range t.known {
		found.lastContact = min(found.lastContact+gap, now)
	}
}

// forget drops machines that do not vote and are silent.
func (t *peerTable) forget(now time.Duration, view *pb.View) {
	for identity, found := range t.known {
		votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
		if !votes && now-found.lastContact > peerRetention {
			delete(t.known, identity)
		}
	}
}

func (m *Machine) isLive(identity string) bool {
	if identity == m.self.GetIdentity() {
		return true
	}
	found, known := m.peers.known[identity]
	return known && m.now-found.lastContact <= FailureTimeout
}

func (m *Machine) liveVoters() int {
	live := 0
	for _, voter := range m.View().GetVoters() {
		if m.isLive(voter.GetIdentity()) {
			live++
		}
	}
	return live
}

// hearsMajority reports whether a majority of the voters is live.
func (m *Machine) hearsMajority() bool {
	view := m.View()
	return view != nil && m.liveVoters() >= quorum.Majority(view)
}

// isFit reports whether this machine can serve in the chain. One that was told to end can for a while.
func (m *Machine) isFit() bool {
	return m.isWell() && (!m.leaving.begun || m.now-m.leaving.since < leaveUnhealthyAfter)
}

// isWell reports whether the disk works and the machine is not cut off. One that has just started, or knows no
// view, has had no time to hear the others.
func (m *Machine) isWell() bool {
	hasHeard := m.View() == nil || m.now-m.started < FailureTimeout || m.hearsMajority()
	return m.diskHealthy() && hasHeard
}

// silence is how long a machine was not heard; since the start at least.
func (m *Machine) silence(identity string) time.Duration {
	if identity == m.self.GetIdentity() {
		return 0
	}
	found, known := m.peers.known[identity]
	if !known {
		return m.now - m.started
	}
	return m.now - found.lastContact
}

// electorate describes all known machines for the choice of voters.
func (m *Machine) electorate() map[string]quorum.Peer {
	peers := make(map[string]quorum.Peer, len(m.peers.known)+1)
	for _, voter := range m.View().GetVoters() {
		identity := voter.GetIdentity()
		peers[identity] = quorum.Peer{
			Replica:      voter,
			SinceContact: m.silence(identity),
			Live:         m.isLive(identity),
			Leaving:      m.isLeaving(identity),
			Left:         m.hasLeftChain(identity),
		}
	}
	for identity, found := range m.peers.known {
		peers[identity] = quorum.Peer{
			Replica:         found.replica,
			SinceContact:    m.silence(identity),
			ContactDuration: m.now - found.liveSince,
			Live:            m.isLive(identity),
			KnowsView:       m.holdsView(found.heartbeat),
			Leaving:         m.isLeaving(identity),
			Left:            m.hasLeftChain(identity),
		}
	}
	return peers
}

// holdsView reports whether a machine has told that it holds the view in force or the one before.
func (m *Machine) holdsView(heartbeat *pb.Heartbeat) bool {
	number := heartbeat.GetViewNumber()
	return number > 0 && number+1 >= m.View().GetNumber()
}

// candidates describes the voters for the choice of a chain.
func (m *Machine) candidates(voters []*pb.Replica) map[string]chain.Candidate {
	candidates := make(map[string]chain.Candidate, len(voters))
	for _, voter := range voters {
		identity := voter.GetIdentity()
		if identity == m.self.GetIdentity() {
			candidates[identity] = m.ownCandidate()
			continue
		}
		found, known := m.peers.known[identity]
		if known {
			candidates[identity] = m.peerCandidate(identity, found)
		} else {
			candidates[identity] = chain.Candidate{Healthy: m.silence(identity) <= FailureTimeout, Reachable: m.silence(identity) <= FailureTimeout}
		}
	}
	return candidates
}

func (m *Machine) ownCandidate() chain.Candidate {
	published := m.replica.Advertised()
	return chain.Candidate{
		Healthy:      m.isFit(),
		Reachable:    true,
		Synchronized: published.Synchronized && published.ViewNumber == m.View().GetNumber(),
		Stable:       m.now-m.started >= stableAfter && m.mayReturn(m.self.GetIdentity()),
		Leaving:      m.leaving.begun,
	}
}

func (m *Machine) peerCandidate(identity string, found *peer) chain.Candidate {
	heartbeat := found.heartbeat
	return chain.Candidate{
		Healthy:      m.isLive(identity) && heartbeat.GetStorageHealthy(),
		Reachable:    m.isLive(identity),
		Synchronized: heartbeat.GetSynchronised() && heartbeat.GetViewNumber() == m.View().GetNumber(),
		Stable:       m.now-found.liveSince >= stableAfter && m.mayReturn(identity),
		Leaving:      heartbeat.GetLeaving(),
	}
}
