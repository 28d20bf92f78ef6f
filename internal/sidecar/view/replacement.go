package view

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"fieldrelay/internal/sidecar/member"
)

// candidate is a process that offers to become a voter and belongs to no group.
type candidate struct {
	id        uint64        // identity under which the process would vote
	offeredAt time.Duration // time of the last offer
}

// maxCandidates limits the number of candidates, and of senders of Raft messages, that a voter stores.
const maxCandidates = 64

// addCandidate records a member that offers to vote under an identity. An identity of 0 is no offer.
func (m *Machine) addCandidate(name string, identity uint64) {
	if identity == 0 || m.voter == nil {
		return
	}
	if _, known := m.voter.candidates[name]; known || len(m.voter.candidates) < maxCandidates {
		m.voter.candidates[name] = candidate{id: identity, offeredAt: m.now}
	}
}

// dropOutdatedCandidates removes candidates whose offer is outdated, or that are no longer present.
func (m *Machine) dropOutdatedCandidates() {
	v := m.voter
	for name, c := range v.candidates {
		r, known := m.cfg.Member(name)
		if !known || !r.Present() || m.now-c.offeredAt > absenceTimeout*m.cfg.Pace/2 {
			delete(v.candidates, name)
		}
	}
}

// dropAdmittedCandidates removes the offers under the names of voters that the next group newly includes. Such an offer was made
// before the voter was added, so an offer under another identity may come from an earlier process of that name: accepting
// the offer would replace a live voter by one that no longer exists. A process that still wants to vote repeats its offer.
func (v *voter) dropAdmittedCandidates(next Group) {
	for _, admitted := range next.Voters {
		if _, known := v.decided.Group.voter(admitted.ID); !known {
			delete(v.candidates, admitted.Name)
		}
	}
}

// proposeVoters proposes to replace a voter that lost its state, or has been absent for absenceTimeout, by a candidate, and to
// fill vacant places.
func (m *Machine) proposeVoters() {
	v := m.voter
	if v.changeProposedAt >= 0 && m.now-v.changeProposedAt < proposalTimeout*m.cfg.Pace || len(v.confState.GetVotersOutgoing()) > 0 {
		return
	}
	m.dropOutdatedCandidates()
	group := v.decided.Group
	// A candidate replaces the voter of its own name at once: that voter lost its identity with its state.
	for _, old := range group.Voters {
		if c, ok := v.candidates[old.Name]; ok && c.id != old.ID {
			m.changeVoters(old, Voter{old.Name, c.id})
			return
		}
	}
	if len(group.Voters) < len(m.cfg.Voters) {
		m.addVoter(Voter{})
		return
	}
	if old, ok := m.longAbsent(); ok {
		m.addVoter(old)
	}
}

// addVoter adds the best candidate to the group, in place of old if that is a voter. Without a candidate it invites a member.
func (m *Machine) addVoter(old Voter) {
	if add := m.bestCandidate(); add.ID != 0 {
		m.changeVoters(old, add)
	} else {
		m.invite()
	}
}

// longAbsent returns a voter that has been absent for longer than absenceTimeout, and whether there is one. It also updates the
// times since when voters have been absent.
func (m *Machine) longAbsent() (Voter, bool) {
	v := m.voter
	group := v.decided.Group
	for id := range v.absentSince {
		if _, ok := group.voter(id); !ok {
			delete(v.absentSince, id)
		}
	}
	for _, old := range group.Voters {
		r, ok := m.cfg.Member(old.Name)
		if old.Name == m.cfg.Name || ok && r.Present() {
			delete(v.absentSince, old.ID)
			continue
		}
		if _, known := v.absentSince[old.ID]; !known {
			v.absentSince[old.ID] = m.now
		}
		if m.now-v.absentSince[old.ID] > absenceTimeout*m.cfg.Pace {
			return old, true
		}
	}
	return Voter{}, false
}

// bestCandidate returns the candidate to add next, among those whose name has no vote: configured voters come first, then the
// order is by name.
func (m *Machine) bestCandidate() Voter {
	var best Voter
	for name, c := range m.voter.candidates {
		if m.voter.decided.Group.hasVoter(name) {
			continue
		}
		named, bestNamed := slices.Contains(m.cfg.Voters, name), slices.Contains(m.cfg.Voters, best.Name)
		if best.ID == 0 || named && !bestNamed || named == bestNamed && name < best.Name {
			best = Voter{name, c.id}
		}
	}
	return best
}

// invite asks the first member that is alive and does not vote to offer itself as a voter.
func (m *Machine) invite() {
	for _, r := range m.cfg.Members() {
		if !m.voter.decided.Group.hasVoter(r.Name) && r.State == member.Alive && r.Name != m.cfg.Name {
			m.send(r.Name, Message{Kind: Invite})
			return
		}
	}
}

// changeVoters proposes to add a voter, and to remove old if that is a voter, by joint consensus: until the change is complete,
// a majority of the old group and a majority of the new group are needed.
func (m *Machine) changeVoters(old, add Voter) {
	change := &raftpb.ConfChangeV2{Context: encode(add)}
	addSingle := func(kind raftpb.ConfChangeType, id uint64) {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id})
	}
	addSingle(raftpb.ConfChangeAddNode, add.ID)
	if old.ID != 0 {
		addSingle(raftpb.ConfChangeRemoveNode, old.ID)
	}
	if m.voter.node.ProposeConfChange(change) == nil {
		m.voter.changeProposedAt = m.now
		m.notice(false, "proposed voter %s (%x) to replace %s (%x)", add.Name, add.ID, old.Name, old.ID)
	}
}
