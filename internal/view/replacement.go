package view

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"fieldrelay/internal/member"
)

// candidate is one that could vote and belongs to no group.
type candidate struct {
	id        uint64
	offeredAt time.Duration
}

// maxCandidates bounds those that are remembered.
const maxCandidates = 64

// proposeVoters replaces a voter that lost its state, or stays away, by one that offers itself.
func (m *Machine) proposeVoters() {
	v := m.voter
	if v.changeProposedAt >= 0 && m.now-v.changeProposedAt < proposalTimeout*m.cfg.Pace || len(v.confState.GetVotersOutgoing()) > 0 {
		return
	}
	for name, c := range v.candidates {
		if r, ok := m.cfg.Member(name); m.now-c.offeredAt > absenceTimeout*m.cfg.Pace/2 || !ok || !r.Present() {
			delete(v.candidates, name)
		}
	}
	group := v.decided.Group
	// In the place of its own name at once: the one before is gone with its state.
	for _, old := range group.Voters {
		if c, ok := v.candidates[old.Name]; ok && c.id != old.ID {
			m.changeVoters(old, Voter{old.Name, c.id})
			return
		}
	}
	add := m.bestCandidate()
	if len(group.Voters) < len(m.cfg.Voters) {
		if add.ID != 0 {
			m.changeVoters(Voter{}, add)
		} else {
			m.invite()
		}
		return
	}
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
			if add.ID != 0 {
				m.changeVoters(old, add)
			} else {
				m.invite()
			}
			return
		}
	}
}

// bestCandidate is one without a vote that offers itself; those the file names come first.
func (m *Machine) bestCandidate() Voter {
	var best Voter
	for name, c := range m.voter.candidates {
		if m.voter.decided.Group.hasVoter(name) {
			continue
		}
		better := best.ID == 0 || slices.Contains(m.cfg.Voters, name) && !slices.Contains(m.cfg.Voters, best.Name)
		if better || slices.Contains(m.cfg.Voters, name) == slices.Contains(m.cfg.Voters, best.Name) && name < best.Name {
			best = Voter{name, c.id}
		}
	}
	return best
}

// invite asks one that is there and does not vote.
func (m *Machine) invite() {
	for _, r := range m.cfg.Members() {
		if !m.voter.decided.Group.hasVoter(r.Name) && r.State == member.Alive && r.Name != m.cfg.Name {
			m.send(r.Name, Message{Kind: Invite})
			return
		}
	}
}

// changeVoters takes one in and lets one go, in one step that needs a majority of both groups.
func (m *Machine) changeVoters(old, add Voter) {
	change := &raftpb.ConfChangeV2{Context: encode(add)}
	single := func(kind raftpb.ConfChangeType, id uint64) {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id})
	}
	single(raftpb.ConfChangeAddNode, add.ID)
	if old.ID != 0 {
		single(raftpb.ConfChangeRemoveNode, old.ID)
	}
	if m.voter.node.ProposeConfChange(change) == nil {
		m.voter.changeProposedAt = m.now
		m.notice(false, "voter %s (%x) in the place of %s (%x)", add.Name, add.ID, old.Name, old.ID)
	}
}
