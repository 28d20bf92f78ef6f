package view

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// decidedState is the replicated state that the voters have decided: the content of a snapshot.
type decidedState struct {
	Group Group `cbor:"1,keyasint"`
	View  View  `cbor:"2,keyasint"`
}

// command is the content of a log entry.
type command struct {
	View *View `cbor:"1,keyasint,omitempty"`
	// Nonce distinguishes this proposal from another leader's proposal of the same view, which may have been decided long ago.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
}

// processReady processes the engine's pending output until there is none left.
func (m *Machine) processReady() {
	v := m.voter
	for v.node.HasReady() {
		rd := v.node.Ready()
		m.persist(rd)
		if !raft.IsEmptySnap(rd.Snapshot) {
			m.applySnapshot(rd.Snapshot)
		}
		for _, e := range rd.CommittedEntries {
			m.apply(e)
		}
		m.sendRaft(rd.Messages)
		v.readStates = append(v.readStates, rd.ReadStates...)
		v.node.Advance(rd)
	}
	if v.replaced {
		m.leaveGroup()
		return
	}
	m.confirmReads()
	m.compact(false)
}

// persist saves the state that has to be synced before the engine's messages are sent.
func (m *Machine) persist(rd raft.Ready) {
	v := m.voter
	c := Change{Voter: v.id, Era: v.decided.Group.Era}
	if !raft.IsEmptySnap(rd.Snapshot) {
		c.Snapshot = marshal(rd.Snapshot)
		_ = v.store.ApplySnapshot(rd.Snapshot) // the only error is that the snapshot is outdated, which changes nothing
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		c.HardState = marshal(rd.HardState)
		_ = v.store.SetHardState(rd.HardState) // MemoryStorage never fails here
	}
	for _, e := range rd.Entries {
		c.Entries = append(c.Entries, Entry{Index: e.GetIndex(), Data: marshal(e)})
	}
	if len(rd.Entries) > 0 {
		_ = v.store.Append(rd.Entries) // MemoryStorage never fails here
	}
	if c.HardState != nil || c.Snapshot != nil || len(c.Entries) > 0 {
		m.out = append(m.out, Save{c})
	}
}

// sendRaft sends the engine's messages to the voters that they address.
func (m *Machine) sendRaft(messages []*raftpb.Message) {
	v := m.voter
	for _, em := range messages {
		name := v.senders[em.GetTo()]
		if to, ok := v.decided.Group.voter(em.GetTo()); ok {
			name = to.Name
		}
		if name == "" {
			continue
		}
		if em.GetType() == raftpb.MsgSnap {
			// Without a report the engine would wait, also if the snapshot is lost. The answer to the next append tells the
			// engine which entries the receiver lacks.
			defer v.node.ReportSnapshot(em.GetTo(), raft.SnapshotFinish)
		}
		m.send(name, Message{Kind: Raft, Voter: v.id, To: em.GetTo(), Group: Group{Era: v.decided.Group.Era}, Raft: marshal(em)})
	}
}

// applySnapshot applies a snapshot from another voter.
func (m *Machine) applySnapshot(s *raftpb.Snapshot) {
	v := m.voter
	var d decidedState
	if err := cbor.Unmarshal(s.GetData(), &d); err != nil {
		panic(fmt.Errorf("view: decode snapshot from another voter: %w", err))
	}
	v.appliedIndex, v.snapshotIndex, v.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	m.applyDecision(d, -1)
}

// apply applies one committed entry.
func (m *Machine) apply(e *raftpb.Entry) {
	v := m.voter
	v.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		if len(e.GetData()) > 0 {
			m.applyCommand(e.GetData())
		}
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		m.applyVoterChange(e.GetData())
	}
}

// applyCommand applies a committed view, if it is the successor of the last one.
func (m *Machine) applyCommand(data []byte) {
	v := m.voter
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		panic(fmt.Errorf("view: decode committed log entry: %w", err))
	}
	last := v.decided.View.ID
	if c.View == nil || c.View.ID.Era != last.Era || c.View.ID.Number != last.Number+1 {
		return // the view was proposed before another one was decided
	}
	proposedAt := time.Duration(-1)
	if v.proposedAt >= 0 && c.Nonce == v.proposalNonce {
		proposedAt = v.proposedAt
	}
	v.proposedAt = -1
	m.applyDecision(decidedState{Group: v.decided.Group, View: *c.View}, proposedAt)
}

// applyVoterChange applies a committed change of the voters.
func (m *Machine) applyVoterChange(data []byte) {
	v := m.voter
	var change raftpb.ConfChangeV2
	if err := proto.Unmarshal(data, &change); err != nil {
		panic(fmt.Errorf("view: decode committed change of voters: %w", err))
	}
	v.confState = v.node.ApplyConfChange(&change)
	v.changeProposedAt = -1
	d := v.decided
	var add Voter
	if len(change.GetContext()) > 0 && cbor.Unmarshal(change.GetContext(), &add) == nil && add.ID != 0 {
		d.Group.Voters = append(slices.Clone(d.Group.Voters), add)
	}
	// Voters of the old group remain in the group until the joint consensus is over: a majority of them is still needed.
	d.Group.Voters = slices.DeleteFunc(slices.Clone(d.Group.Voters), func(voter Voter) bool { return !v.inConfState(voter.ID) })
	m.applyDecision(d, -1)
	m.compact(true) // the snapshot that is sent to a new voter must include that voter
	if !v.inConfState(v.id) {
		v.replaced = true
	}
}

// inConfState reports whether the voter with the given ID belongs to the current group, or to the old group of a joint
// consensus.
func (v *voter) inConfState(id uint64) bool {
	return slices.Contains(v.confState.GetVoters(), id) || slices.Contains(v.confState.GetVotersOutgoing(), id)
}

// applyDecision replaces the decided state. proposedAt is when this process proposed the decided view; -1: it did not propose
// the view.
func (m *Machine) applyDecision(d decidedState, proposedAt time.Duration) {
	v := m.voter
	newer := d.View.ID.Number > 0 && d.View.ID != v.decided.View.ID
	v.dropAdmittedCandidates(d.Group)
	v.decided = d
	m.group = d.Group
	if !newer {
		return
	}
	m.out = append(m.out, Decided{View: d.View})
	if !m.hasView || d.View.ID.Compare(m.latest()) > 0 || d.View.ID.Era != m.view.ID.Era && !m.mayBeCurrent() {
		m.adopt(d.View)
		// The view was decided after it was proposed, so it was the newest at some time since then.
		if proposedAt >= 0 && v.confirmNotBefore <= m.now && m.latest() == d.View.ID {
			m.confirmLatest(proposedAt)
		}
	}
}

// compact takes a snapshot of the decided state and truncates the log before it: always if atOnce is set, otherwise once
// maxLogEntries entries were applied since the last snapshot.
func (m *Machine) compact(atOnce bool) {
	v := m.voter
	if v.appliedIndex == v.snapshotIndex || !atOnce && v.appliedIndex-v.snapshotIndex < maxLogEntries {
		return
	}
	s, err := v.store.CreateSnapshot(v.appliedIndex, v.confState, encode(v.decided))
	if err != nil {
		panic(err)
	}
	v.snapshotIndex = v.appliedIndex
	if err := v.store.Compact(v.appliedIndex); err != nil {
		panic(err)
	}
	m.out = append(m.out, Save{Change{Snapshot: marshal(s)}})
}

// encode returns the CBOR encoding of a value.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // unreachable: the values consist of numbers, strings and lists of them
	}
	return b
}
