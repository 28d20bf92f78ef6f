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

// voter is the part of a machine that votes: the Raft engine, and what the voters have decided.
type voter struct {
	id            uint64
	node          *raft.RawNode
	store         *raft.MemoryStorage
	decided       decidedState
	confState     *raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64 // index of the last snapshot

	tickDue          time.Duration
	campaignDue      time.Duration // without a message of a leader until then, this voter campaigns
	readDue          time.Duration // of the next read index request
	pendingReads     map[uint64]time.Duration
	readStates       []raft.ReadState // confirmed by the majority; the log may not be applied so far
	leadConfirmedAt  time.Duration    // the last time at which this voter surely led; -1: never
	confirmNotBefore time.Duration    // nothing is confirmed before: leases of an earlier group may last
	differsSince     time.Duration    // since when the leader's opinion differs from the view; -1: it does not
	proposedAt       time.Duration    // when the pending view was proposed; -1: none is pending
	proposalNonce    uint64           // of the pending view
	requestedRules   Rules            // to propose with the next view, if they are newer than those in force
	changeProposedAt time.Duration    // when the pending change of voters was proposed; -1: none is pending
	candidates       map[string]candidate
	absentSince      map[uint64]time.Duration // since when absent voters have been so, by identity
	senders          map[uint64]string        // names of those that sent Raft messages: a new voter knows no group so far
	replaced         bool                     // the group has left this voter behind
}

// discardLogger keeps the engine from logging to where the program's own log goes. What matters is reported as a Notice.
type discardLogger struct{ *raft.DefaultLogger }

// startEngine starts the engine on a store, as a voter of the group of an era.
func (m *Machine) startEngine(store *raft.MemoryStorage, d decidedState, era uint64) error {
	snapshot, err := store.Snapshot()
	if err != nil {
		return err
	}
	last := snapshot.GetMetadata()
	v := &voter{id: m.identity, store: store, decided: d, confState: last.GetConfState(), appliedIndex: last.GetIndex(), snapshotIndex: last.GetIndex(),
		tickDue: m.now + m.jitter(tickInterval*m.cfg.Pace), readDue: m.now, leadConfirmedAt: -1, differsSince: -1, proposedAt: -1, changeProposedAt: -1,
		pendingReads: make(map[uint64]time.Duration), candidates: make(map[string]candidate), absentSince: make(map[uint64]time.Duration),
		senders: make(map[uint64]string)}
	v.decided.Group.Era = era
	if m.cfg.Stored == nil { // leases of an earlier group may last, and this process would not know
		v.confirmNotBefore = m.now + StalenessBound(m.cfg.Lease, m.cfg.Drift)
	}
	logger := discardLogger{&raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: store, Applied: v.appliedIndex,
		MaxSizePerMsg: maxRaftMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted, CheckQuorum: true, PreVote: true, Logger: logger})
	if err != nil {
		return err
	}
	m.voter = v
	m.resetElectionTimer()
	m.lastLed = m.now
	return nil
}

// resetElectionTimer postpones the next campaign. The engine would draw its time itself, but from a source that is not seeded.
func (m *Machine) resetElectionTimer() {
	m.voter.campaignDue = m.now + electionTicks*tickInterval*m.cfg.Pace + m.jitter(electionTicks*tickInterval*m.cfg.Pace)
}

// leaderName is the name of the voters' leader, as far as this voter knows; empty if it knows none or does not vote.
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

// runVoterTimers ticks the engine, and does what a leader does.
func (m *Machine) runVoterTimers() {
	v := m.voter
	if v.tickDue > m.now {
		return
	}
	if m.now-v.tickDue > electionTicks*m.cfg.Pace {
		m.resetElectionTimer() // this process was stalled: messages of the leader may be unread
	}
	v.tickDue = m.now + tickInterval*m.cfg.Pace
	if v.leads() {
		v.node.Tick()
	} else {
		v.node.TickQuiesced()
		_, included := v.decided.Group.voter(v.id)
		if v.campaignDue <= m.now && (included || v.appliedIndex > 0) {
			m.resetElectionTimer()
			_ = v.node.Campaign() // a voter that may not campaign now does so later
		}
	}
	if m.voter.leads() {
		m.runLeader()
	} else {
		v.requestedRules = Rules{} // the next leader is requested anew
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

// runLeader does what the leader does at each tick: it confirms with a majority that it leads, and proposes.
func (m *Machine) runLeader() {
	v := m.voter
	if v.readDue <= m.now && v.confirmNotBefore <= m.now {
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
		return // it may not know the latest view yet
	}
	m.proposeView()
	m.proposeVoters()
}

// requestRules has this process, if it leads, propose an edition of rules with the next view.
func (m *Machine) requestRules(rules Rules) {
	if v := m.voter; v != nil && v.leads() && len(rules.Digest) <= maxDigestBytes && rules.Number > v.decided.View.Rules.Number {
		v.requestedRules = rules
	}
}

// nextView is the view that this process would have next, by its opinion on who is present.
func (m *Machine) nextView() View {
	present := m.cfg.Members()
	next := View{ID: ID{Era: m.voter.decided.Group.Era, Number: m.voter.decided.View.ID.Number + 1}, Rules: m.voter.decided.View.Rules}
	if m.voter.requestedRules.Number > next.Rules.Number {
		next.Rules = m.voter.requestedRules
	}
	for _, r := range present {
		next.Members = append(next.Members, Member{Name: r.Name, Addr: r.Addr, Boot: r.Boot, Incarnation: r.Incarnation, FractionPPM: uint32(totalPPM / len(present))})
	}
	return next
}

// proposeView proposes the next view once this process's opinion has differed from the present one for a while.
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

// receiveRaft passes a Raft message to the engine, if it is of this voter's group.
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

// confirmReads extends the lease by the read requests that a majority has confirmed, once the log is applied that far.
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

// discardVoter gives up the vote and the identity. A named voter draws a new one.
func (m *Machine) discardVoter() {
	m.voter, m.identity, m.cfg.Stored = nil, 0, nil
	m.out = append(m.out, Save{Change{Forget: true}})
	if slices.Contains(m.cfg.Voters, m.cfg.Name) {
		m.ensureIdentity()
	}
}

// leaveGroup ends a vote that another voter has taken over.
func (m *Machine) leaveGroup() {
	group := m.voter.decided.Group
	m.notice(false, "another voter has taken this one's place")
	m.discardVoter()
	m.group = group
}

// guard runs what calls the engine, which panics if its state contradicts a message. The sidecar then goes on without a vote;
// the identity is given up with the state, so that nothing that was promised under it is broken.
func (m *Machine) guard(do func()) {
	defer func() {
		if fault := recover(); fault != nil {
			m.notice(true, "the voter's state contradicts what the others say and is given up: %v", fault)
			m.discardVoter()
		}
	}()
	do()
}

// ensureIdentity draws an identity to vote under, if there is none.
func (m *Machine) ensureIdentity() {
	for m.identity == 0 {
		m.identity = m.rng.Uint64()
	}
}

// decodeSeq reads the number that a read request of the engine carries; 0 is none.
func decodeSeq(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
