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

// voter is the voting part of a machine: the Raft engine and the decided state.
type voter struct {
	id            uint64
	node          *raft.RawNode
	store         *raft.MemoryStorage
	decided       decidedState
	confState     *raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64 // index of the last snapshot

	tickDue          time.Duration
	campaignDue      time.Duration            // this voter campaigns at this time, unless a message from a leader arrives before
	readDue          time.Duration            // time of the next read index request
	pendingReads     map[uint64]time.Duration // time of each unconfirmed read index request, by its number
	readStates       []raft.ReadState         // read index requests confirmed by a majority; the log may not be applied up to their index yet
	leadConfirmedAt  time.Duration            // the last time at which this voter certainly led; -1: never
	confirmNotBefore time.Duration            // no view is confirmed before this time: leases of an earlier group may still be valid
	differsSince     time.Duration            // since when the leader's opinion differs from the view; -1: it does not differ
	proposedAt       time.Duration            // when the pending proposal of a view was made; -1: none is pending
	proposalNonce    uint64                   // nonce of the pending proposal of a view
	requestedRules   Rules                    // rules to propose with the next view, if they are newer than those in force
	changeProposedAt time.Duration            // when the pending change of voters was proposed; -1: none is pending
	candidates       map[string]candidate
	absentSince      map[uint64]time.Duration // start of the absence of each absent voter, by its ID
	senders          map[uint64]string        // names of the senders of Raft messages, by ID: a new voter does not know the group yet
	replaced         bool                     // another voter has replaced this one in the group
}

// discardLogger discards the engine's log lines, which would otherwise go into the program's own log. Relevant events are
// reported as a Notice.
type discardLogger struct{ *raft.DefaultLogger }

// startEngine starts the engine on a store, as a voter of the group of the given era.
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
	if m.cfg.Stored == nil { // leases of an earlier group, unknown to this process, may still be valid
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

// resetElectionTimer restarts the randomized election timeout. The engine's own timeout is not used: its random source cannot
// be seeded.
func (m *Machine) resetElectionTimer() {
	m.voter.campaignDue = m.now + electionTicks*tickInterval*m.cfg.Pace + m.jitter(electionTicks*tickInterval*m.cfg.Pace)
}

// leaderName returns the name of the voters' leader, as far as this voter knows. It is empty if no leader is known or this
// process is not a voter.
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

// runVoterTimers ticks the engine, campaigns if the election timeout has passed, and runs the leader's tasks if this voter leads.
func (m *Machine) runVoterTimers() {
	v := m.voter
	if v.tickDue > m.now {
		return
	}
	if m.now-v.tickDue > electionTicks*m.cfg.Pace {
		m.resetElectionTimer() // this process was stalled: messages from the leader may be unread
	}
	v.tickDue = m.now + tickInterval*m.cfg.Pace
	if v.leads() {
		v.node.Tick()
	} else {
		v.node.TickQuiesced()
		_, included := v.decided.Group.voter(v.id)
		if v.campaignDue <= m.now && (included || v.appliedIndex > 0) {
			m.resetElectionTimer()
			_ = v.node.Campaign() // a voter that may not campaign now tries again after the next timeout
		}
	}
	if m.voter.leads() {
		m.runLeader()
	} else {
		v.requestedRules = Rules{} // the caller repeats the request, to the next leader
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

// runLeader runs the leader's tasks at a tick: it confirms its leadership with a majority (read index), and proposes views and
// changes of the voters.
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
		return // entries up to the commit index are not applied yet: the latest view may not be known
	}
	m.proposeView()
	m.proposeVoters()
}

// requestRules makes this process, if it is the leader, propose an edition of rules with the next view.
func (m *Machine) requestRules(rules Rules) {
	if v := m.voter; v != nil && v.leads() && len(rules.Digest) <= maxDigestBytes && rules.Number > v.decided.View.Rules.Number {
		v.requestedRules = rules
	}
}

// nextView returns the view that this process would propose next, with the members that it believes to be present.
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

// proposeView proposes the next view once this process's opinion has differed from the decided view for proposalDelay.
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

// receiveRaft passes a Raft message to the engine, if it belongs to this voter's group. A process that awaits a group joins the
// group of a message that is addressed to its identity.
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

// confirmReads extends the lease by the read index requests that a majority has confirmed, once the log is applied up to their
// index.
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

// discardVoter discards the voter, its identity and its stored state. A configured voter generates a new identity.
func (m *Machine) discardVoter() {
	m.voter, m.identity, m.cfg.Stored = nil, 0, nil
	m.out = append(m.out, Save{Change{Forget: true}})
	if slices.Contains(m.cfg.Voters, m.cfg.Name) {
		m.ensureIdentity()
	}
}

// leaveGroup makes this process stop voting after another voter has replaced it in the group.
func (m *Machine) leaveGroup() {
	group := m.voter.decided.Group
	m.notice(false, "this process no longer votes: another voter has replaced it in the group")
	m.discardVoter()
	m.group = group
}

// guard runs a function that calls the engine, and recovers from a panic: the engine panics if its state contradicts a message.
// The sidecar then continues without a vote. The identity is discarded together with the state, so that no promise that was
// made under that identity can be broken.
func (m *Machine) guard(do func()) {
	defer func() {
		if fault := recover(); fault != nil {
			m.notice(true, "the voter's state contradicts messages of the other voters and is discarded: %v", fault)
			m.discardVoter()
		}
	}()
	do()
}

// ensureIdentity generates an identity to vote under, if there is none.
func (m *Machine) ensureIdentity() {
	for m.identity == 0 {
		m.identity = m.rng.Uint64()
	}
}

// decodeSeq decodes the number in the context of a read index request; 0: the context has no valid number.
func decodeSeq(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
