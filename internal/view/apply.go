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

// decided is what the voters have decided, as it stands in a snapshot.
type decidedState struct {
	Group Group `cbor:"1,keyasint"`
	View  View  `cbor:"2,keyasint"`
}

// command is what is proposed.
type command struct {
	View *View `cbor:"1,keyasint,omitempty"`
	// Nonce tells this proposal from one of the same view by another leader, which may be decided long since.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
}

// work does what the engine wants, until it wants nothing.
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

// keep is what has to be synced before the engine's messages leave.
func (m *Machine) persist(rd raft.Ready) {
	v := m.voter
	c := Change{Voter: v.id, Era: v.decided.Group.Era}
	if !raft.IsEmptySnap(rd.Snapshot) {
		c.Snapshot = marshal(rd.Snapshot)
		_ = v.store.ApplySnapshot(rd.Snapshot) // one that is out of date changes nothing
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		c.HardState = marshal(rd.HardState)
		_ = v.store.SetHardState(rd.HardState) // in memory it never fails
	}
	for _, e := range rd.Entries {
		c.Entries = append(c.Entries, Entry{Index: e.GetIndex(), Data: marshal(e)})
	}
	if len(rd.Entries) > 0 {
		_ = v.store.Append(rd.Entries) // likewise
	}
	if c.HardState != nil || c.Snapshot != nil || len(c.Entries) > 0 {
		m.out = append(m.out, Save{c})
	}
}

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
			// Lost, it would not be sent again until the engine hears so: the peer's next answer says what it lacks.
			defer v.node.ReportSnapshot(em.GetTo(), raft.SnapshotFinish)
		}
		m.send(name, Message{Kind: Raft, Voter: v.id, To: em.GetTo(), Group: Group{Era: v.decided.Group.Era}, Raft: marshal(em)})
	}
}

func (m *Machine) applySnapshot(s *raftpb.Snapshot) {
	v := m.voter
	var d decidedState
	if err := cbor.Unmarshal(s.GetData(), &d); err != nil {
		panic(fmt.Errorf("a snapshot that cannot be read: %w", err))
	}
	v.appliedIndex, v.snapshotIndex, v.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	m.decide(d, -1)
}

// apply takes in one entry that is decided.
func (m *Machine) apply(e *raftpb.Entry) {
	v := m.voter
	v.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		var c command
		if len(e.GetData()) == 0 {
			return
		}
		if err := cbor.Unmarshal(e.GetData(), &c); err != nil {
			panic(fmt.Errorf("an entry that cannot be read: %w", err))
		}
		last := v.decided.View.ID
		if c.View == nil || c.View.ID.Era != last.Era || c.View.ID.Number != last.Number+1 {
			return // made before another one was decided
		}
		since := time.Duration(-1)
		if v.proposedAt >= 0 && c.Nonce == v.proposalNonce {
			since = v.proposedAt
		}
		v.proposedAt = -1
		m.decide(decidedState{Group: v.decided.Group, View: *c.View}, since)
	case raftpb.EntryConfChangeV2, raftpb.EntryConfChange:
		var change raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &change); err != nil {
			panic(fmt.Errorf("a change of voters that cannot be read: %w", err))
		}
		v.confState = v.node.ApplyConfChange(&change)
		v.changeProposedAt = -1
		d := v.decided
		var add Voter
		if len(change.GetContext()) > 0 && cbor.Unmarshal(change.GetContext(), &add) == nil && add.ID != 0 {
			d.Group.Voters = append(slices.Clone(d.Group.Voters), add)
		}
		// Those of the old group stay known until it is left for good: they still have to be heard.
		d.Group.Voters = slices.DeleteFunc(slices.Clone(d.Group.Voters), func(o Voter) bool {
			return !slices.Contains(v.confState.GetVoters(), o.ID) && !slices.Contains(v.confState.GetVotersOutgoing(), o.ID)
		})
		m.decide(d, -1)
		m.compact(true) // a new voter must find itself in the snapshot that it is sent
		if !slices.Contains(v.confState.GetVoters(), v.id) && !slices.Contains(v.confState.GetVotersOutgoing(), v.id) {
			v.replaced = true
		}
	}
}

// decide takes in what the voters have decided; since is when this process proposed it, if it did.
func (m *Machine) decide(d decidedState, since time.Duration) {
	v := m.voter
	newer := d.View.ID.Number > 0 && d.View.ID != v.decided.View.ID
	v.decided = d
	m.group = d.Group
	if !newer {
		return
	}
	m.out = append(m.out, Decided{View: d.View})
	if !m.hasView || d.View.ID.Compare(m.latest()) > 0 || d.View.ID.Era != m.view.ID.Era && !m.mayBeCurrent() {
		m.adopt(d.View)
		// Decided after it was proposed, it was the newest at some moment since.
		if since >= 0 && v.quietUntil <= m.now && m.latest() == d.View.ID {
			m.confirmLatest(since)
		}
	}
}

// compact makes a snapshot of what is decided and drops the log before it.
func (m *Machine) compact(now bool) {
	v := m.voter
	if v.appliedIndex == v.snapshotIndex || !now && v.appliedIndex-v.snapshotIndex < maxLogEntries {
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

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // numbers, text and lists of them
	}
	return b
}
