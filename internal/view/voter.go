package view

import (
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"fieldrelay/internal/member"
)

// voter is the part of a machine that votes: the engine, and what it has decided.
type voter struct {
	id            uint64
	node          *raft.RawNode
	store         *raft.MemoryStorage
	decided       decidedState
	confState     *raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64 // index of the last snapshot

	tickDue          time.Duration
	readDue          time.Duration
	leadConfirmedAt  time.Duration // the last time at which this voter surely led; -1: never
	campaignDue      time.Duration // without a word of a leader until then, this voter stands
	quietUntil       time.Duration // nothing is confirmed before: leases of an earlier group may run
	pendingReads     map[uint64]time.Duration
	readStates       []raft.ReadState // confirmed by the majority; the log is not applied so far
	differsSince     time.Duration    // since when the leader's opinion is not the view; -1: it is
	proposedAt       time.Duration    // when the last proposal was made; -1: none is open
	proposalNonce    uint64           // its nonce
	wantedRules      Rules            // to be proposed with the next view, if they are later than the present ones
	changeProposedAt time.Duration    // when the last change of voters was proposed; -1: none
	candidates       map[string]candidate
	absentSince      map[uint64]time.Duration // voters that stay away, since when
	senders          map[uint64]string        // names of those who have sent something: a new voter knows no group so far
	replaced         bool                     // it has been replaced
}

// candidate is one that could vote and belongs to no group.
type candidate struct {
	id        uint64
	offeredAt time.Duration
}

// silent has the engine log nothing: it would write where the program's own log goes. What matters is told as a Notice.
type quietLogger struct{ *raft.DefaultLogger }

// maxCandidates bounds those that are remembered.
const maxCandidates = 64

// engine starts the engine on a store.
func (m *Machine) startEngine(store *raft.MemoryStorage, d decidedState, era uint64) error {
	snapshot, err := store.Snapshot()
	if err != nil {
		return err
	}
	v := &voter{id: m.identity, store: store, decided: d, confState: snapshot.GetMetadata().GetConfState(), appliedIndex: snapshot.GetMetadata().GetIndex(),
		tickDue: m.now + m.jitter(tickInterval*m.cfg.Pace), readDue: m.now, leadConfirmedAt: -1, pendingReads: map[uint64]time.Duration{}, differsSince: -1, proposedAt: -1, changeProposedAt: -1,
		candidates: map[string]candidate{}, absentSince: map[uint64]time.Duration{}, senders: map[uint64]string{}}
	v.decided.Group.Era = era
	if m.cfg.Stored == nil { // leases of a group before this one may still run, and this process would not know
		v.quietUntil = m.now + Bound(m.cfg.Lease, m.cfg.Drift)
	}
	v.snapshotIndex = v.appliedIndex
	quiet := quietLogger{&raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: store, Applied: v.appliedIndex,
		MaxSizePerMsg: maxRaftMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted, CheckQuorum: true, PreVote: true, Logger: quiet})
	if err != nil {
		return err
	}
	m.voter = v
	m.resetElectionTimer()
	m.lastLed = m.now
	return nil
}

// resetElectionTimer puts off standing for leader. The engine would draw that time itself, from a source that is not seeded.
func (m *Machine) resetElectionTimer() {
	m.voter.campaignDue = m.now + electionTicks*tickInterval*m.cfg.Pace + m.jitter(electionTicks*tickInterval*m.cfg.Pace)
}

func (m *Machine) leaderName() string {
	if m.voter == nil {
		return ""
	}
	if lead, ok := m.voter.decided.Group.voter(m.voter.node.BasicStatus().Lead); ok {
		return lead.Name
	}
	return ""
}

func (v *voter) leads() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

func (m *Machine) runVoterTimers() {
	v := m.voter
	if v.tickDue > m.now {
		return
	}
	if m.now-v.tickDue > electionTicks*m.cfg.Pace {
		m.resetElectionTimer() // the process was held up: the leader's word may lie unread
	}
	v.tickDue = m.now + tickInterval*m.cfg.Pace
	if v.leads() {
		v.node.Tick()
	} else {
		v.node.TickQuiesced()
		_, mine := v.decided.Group.voter(v.id)
		if v.campaignDue <= m.now && (mine || v.appliedIndex > 0) {
			m.resetElectionTimer()
			_ = v.node.Campaign() // one that may not stand now stands later
		}
	}
	if m.voter.leads() {
		m.runLeader()
	} else {
		v.wantedRules = Rules{} // the next one that leads asks all anew
	}
	m.processReady()
	if v = m.voter; v == nil {
		return
	}
	if m.cfg.Mutate == WithoutMajority && !v.leads() && v.node.BasicStatus().Lead == raft.None {
		next := m.nextView()
		m.out = append(m.out, Decided{View: next})
		m.adopt(next)
		v.decided.View, m.confirmedAt, m.isConfirmed = next, m.now, true
	}
}

// lead is what the leader does at each tick.
func (m *Machine) runLeader() {
	v := m.voter
	if v.readDue <= m.now && v.quietUntil <= m.now {
		v.readDue = m.now + readInterval*m.cfg.Pace
		m.seq++
		for seq, at := range v.pendingReads {
			if m.now-at > m.cfg.Lease {
				delete(v.pendingReads, seq)
			}
		}
		v.pendingReads[m.seq] = m.now
		v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, m.seq))
	}
	if v.appliedIndex < v.node.BasicStatus().GetCommit() {
		return // it may not know its own views yet
	}
	m.proposeView()
	m.proposeVoters()
}

// next is the view that this process's opinion asks for.
func (m *Machine) nextView() View {
	present := m.cfg.Members()
	next := View{ID: ID{Era: m.voter.decided.Group.Era, Number: m.voter.decided.View.ID.Number + 1}, Rules: m.voter.decided.View.Rules}
	if m.voter.wantedRules.Number > next.Rules.Number {
		next.Rules = m.voter.wantedRules
	}
	for _, r := range present {
		next.Members = append(next.Members, Member{Name: r.Name, Addr: r.Addr, Boot: r.Boot, Inc: r.Incarnation, Share: uint32(wholeShare / len(present))})
	}
	return next
}

func (m *Machine) proposeView() {
	v := m.voter
	next := m.nextView()
	same := next.Rules == v.decided.View.Rules && slices.EqualFunc(next.Members, v.decided.View.Members, func(a, b Member) bool {
		return a.Name == b.Name && a.Boot == b.Boot && a.Addr == b.Addr
	})
	switch {
	case same:
		v.differsSince = -1
		return
	case v.differsSince < 0:
		v.differsSince = m.now
		return
	case m.now-v.differsSince < proposalDelay*m.cfg.Pace, v.proposedAt >= 0 && m.now-v.proposedAt < proposalTimeout*m.cfg.Pace:
		return
	}
	nonce := m.rng.Uint64()
	if v.node.Propose(encode(command{View: &next, Nonce: nonce})) == nil {
		v.proposedAt, v.proposalNonce = m.now, nonce
	}
}

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

// receiveRaft passes a message to the engine.
func (m *Machine) receiveRaft(from string, msg Message) {
	var em raftpb.Message
	if proto.Unmarshal(msg.Raft, &em) != nil {
		return
	}
	if m.awaitsGroup() && msg.To == m.identity && msg.Group.Era != 0 && em.GetFrom() == msg.Voter {
		m.joinGroup(Group{Era: msg.Group.Era, Voters: []Voter{{m.cfg.Name, m.identity}}})
	}
	v := m.voter
	if v == nil || msg.To != v.id || em.GetTo() != v.id || em.GetFrom() != msg.Voter || msg.Group.Era != v.decided.Group.Era {
		return
	}
	if len(v.senders) < maxCandidates {
		v.senders[em.GetFrom()] = from
	}
	term := v.node.BasicStatus().GetTerm()
	if v.node.Step(&em) != nil {
		return
	}
	switch em.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if em.GetTerm() >= term && v.node.BasicStatus().Lead == em.GetFrom() {
			m.resetElectionTimer()
		}
	case raftpb.MsgVote:
		if v.node.BasicStatus().GetVote() == em.GetFrom() {
			m.resetElectionTimer()
		}
	}
	m.processReady()
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

// confirm counts what the majority has confirmed, once the log is applied that far.
func (m *Machine) confirmReads() {
	v := m.voter
	v.readStates = slices.DeleteFunc(v.readStates, func(r raft.ReadState) bool {
		if r.Index > v.appliedIndex {
			return false
		}
		seq := decodeSeq(r.RequestCtx)
		at, ok := v.pendingReads[seq]
		delete(v.pendingReads, seq)
		if ok {
			v.leadConfirmedAt = max(v.leadConfirmedAt, at)
		}
		if ok && m.hasView && m.latest() == v.decided.View.ID {
			m.confirmLatest(at)
		}
		return true
	})
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
