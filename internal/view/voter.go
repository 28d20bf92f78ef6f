package view

import (
	"encoding/binary"
	"io"
	"log"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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

// silent has the engine log nothing: it would write where the program's own log goes. What matters is told as a Notice.
type quietLogger struct{ *raft.DefaultLogger }

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

// forget gives the vote up, with the identity.
func (m *Machine) giveUpVote() {
	m.voter, m.identity, m.cfg.Stored = nil, 0, nil
	m.out = append(m.out, Save{Change{Forget: true}})
	if slices.Contains(m.cfg.Voters, m.cfg.Name) {
		m.drawIdentity()
	}
}

// replaced is that another voter has this one's place.
func (m *Machine) leaveGroup() {
	group := m.voter.decided.Group
	m.notice(false, "another voter has taken this one's place")
	m.giveUpVote()
	m.group = group
}

// guard runs what calls the engine, which panics where its state contradicts a message. A sidecar goes on without a
// vote then; its identity is gone with the state.
func (m *Machine) guard(do func()) {
	defer func() {
		if fault := recover(); fault != nil {
			m.notice(true, "the voter's state contradicts what the others say and is given up: %v", fault)
			m.giveUpVote()
		}
	}()
	do()
}

func (m *Machine) drawIdentity() {
	for m.identity == 0 {
		m.identity = m.rng.Uint64()
	}
}
