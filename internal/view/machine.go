package view

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"fieldrelay/internal/member"
)

// Machine is the state of one member. It is not safe for use by several goroutines.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out []Action

	// What this member goes by.
	view         View
	hasView      bool          // a view at all
	pending      *View         // a newer one, not confirmed so far, while this one is still held
	confirmedAt  time.Duration // it was the newest at some moment from then on
	isConfirmed  bool          // confirmed holds
	everHeld     bool          // it has been held at some time
	group        Group         // as far as is known
	leader       string
	seq          uint64
	queries      map[uint64]time.Duration // questions out, by number
	queryDue     time.Duration
	lastLed      time.Duration // a leader was known, or nothing was to be led
	lossReported bool          // that there is none has been told

	voter    *voter // nil: this process does not vote
	identity uint64 // identity under which it would; 0: none drawn
	founding founding
	survey   survey
	// surveyLastLed is when the voters were last led as far as the surveyor knows.
	surveyLastLed time.Duration
}

// founding is a try to found a group, by the first of the named voters.
type founding struct {
	era         uint64 // of the try; 0: none
	attempts    uint64
	promises    map[string]uint64
	due         time.Duration
	promisedEra uint64 // era of the last try that this process has promised to join
	afterSurvey bool   // after a survey
	lastView    View   // that is known, then: its rules go on
}

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

// New makes a machine. Faults of what was kept are the error.
func New(cfg Config, now time.Duration) (*Machine, error) {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)), now: now, queries: map[uint64]time.Duration{}}
	m.seq = uint64(m.rng.Uint32()) // an answer to an earlier process of this name must not pass for one to this one
	m.queryDue, m.lastLed = now+m.jitter(cfg.Pace), now
	m.founding.due = now + m.jitter(cfg.Pace)
	m.surveyLastLed = now
	if cfg.Stored != nil && cfg.Stored.Voter == 0 { // a store in which nothing was is no state: leases that it would tell of may run
		m.cfg.Stored, cfg.Stored = nil, nil
	}
	if cfg.Stored != nil {
		store, d, err := cfg.Stored.engineStorage()
		if err != nil {
			return nil, err
		}
		m.identity = cfg.Stored.Voter
		if err := m.startEngine(store, d, cfg.Stored.Era); err != nil {
			return nil, err
		}
	} else if slices.Contains(cfg.Voters, cfg.Name) {
		m.drawIdentity()
	}
	return m, nil
}

func (m *Machine) drawIdentity() {
	for m.identity == 0 {
		m.identity = m.rng.Uint64()
	}
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// View is the view that this member goes by, if it has one. It may be old: see Holds.
func (m *Machine) View() (View, bool) { return m.view, m.hasView }

// Decided is the view that the voters have decided last, as this one knows, if it votes.
func (m *Machine) Decided() (View, bool) {
	if m.voter == nil {
		return View{}, false
	}
	return m.voter.decided.View, true
}

// LeaseEnd is the time to which this member holds its view: it belongs to it, and the view was the newest at some moment
// within the lease before. A time that has passed: it does not hold it.
func (m *Machine) LeaseEnd() time.Duration {
	if !m.isConfirmed {
		return math.MinInt64
	}
	if me, ok := m.view.Find(m.cfg.Name); !ok || me.Boot != m.cfg.Boot {
		return math.MinInt64
	}
	return m.confirmedAt + m.cfg.Lease
}

// HoldsLease tells whether this member holds its view at a time, which must be read after whatever is done by that word.
func (m *Machine) HoldsLease(now time.Duration) bool { return now < m.LeaseEnd() }

// VoterGroup tells who votes as far as is known, and who leads.
func (m *Machine) VoterGroup() (Group, string) {
	if m.voter != nil {
		return m.voter.decided.Group, m.leaderName()
	}
	return m.group, m.leader
}

// Leadership tells whether this process leads the voters as far as it knows, under which era and term, and when a majority has
// last confirmed that: at no later time has another one led before.
func (m *Machine) Leadership() (era, term uint64, confirmed time.Duration, ok bool) {
	if m.voter == nil || !m.voter.leads() || m.voter.leadConfirmedAt < 0 {
		return 0, 0, 0, false
	}
	return m.voter.decided.Group.Era, m.voter.node.BasicStatus().GetTerm(), m.voter.leadConfirmedAt, true
}

// IsVoter tells whether this process votes.
func (m *Machine) IsVoter() bool { return m.voter != nil }

// VoteCounts tells whether this process votes under its own identity and no earlier group has to be heard any more: until
// then an earlier one of its name may still be among those of whom a majority is needed, and another loss could take that.
func (m *Machine) VoteCounts() bool {
	return m.voter != nil && slices.Contains(m.voter.confState.GetVoters(), m.voter.id) && len(m.voter.confState.GetVotersOutgoing()) == 0
}

// Stamp goes with an answer. m.now is when the question was taken in, or earlier: the age is none too small.
func (m *Machine) Stamp(now time.Duration) Stamp {
	if !m.hasView {
		return Stamp{}
	}
	s := Stamp{ID: m.view.ID}
	if m.isConfirmed {
		s.Age = uint64(max(0, now-m.confirmedAt)/time.Microsecond) + 2
	}
	return s
}

// Next is when Step is to be called with Tick at the latest.
func (m *Machine) Next() time.Duration {
	next := m.queryDue
	if m.voter != nil {
		next = min(next, m.voter.tickDue)
	}
	if m.isFounder() {
		next = min(next, m.founding.due)
	}
	if m.isSurveyor() {
		next = min(next, m.now+m.cfg.Pace/2)
	}
	return next
}

// Step takes an event at a time that is never before that of the last call.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.out = nil
	m.now = max(now, m.now)
	if m.pending != nil && !m.HoldsLease(m.now) {
		m.switchTo(*m.pending)
	}
	switch e := e.(type) {
	case Received:
		m.receive(e.From, e.Message)
	case Stamped:
		m.receiveStamp(e.From.Name, e.Stamp, e.RequestedAt, nil)
	case Recover:
		m.recoverGroup()
	case ProposeRules:
		if m.voter != nil && m.voter.leads() && len(e.Rules.Digest) <= maxDigestBytes && e.Rules.Number > m.voter.decided.View.Rules.Number {
			m.voter.wantedRules = e.Rules
		}
	}
	m.guard(m.runTimers)
	return m.out
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

func (m *Machine) notice(loud bool, format string, args ...any) {
	m.out = append(m.out, Notice{Text: fmt.Sprintf(format, args...), Alert: loud})
}

func (m *Machine) send(to string, msg Message) {
	if to != m.cfg.Name {
		m.out = append(m.out, Send{To: to, Message: msg})
	}
}

func (m *Machine) runTimers() {
	if m.voter != nil {
		m.runVoterTimers()
	}
	if m.isFounder() && m.founding.due <= m.now {
		m.proposeGroup()
	}
	if m.isSurveyor() {
		m.runSurvey()
	}
	if m.queryDue <= m.now {
		m.queryDue = m.now + queryInterval*m.cfg.Pace/2 + m.jitter(queryInterval*m.cfg.Pace)
		// With time left, what comes with the answers to probes is enough.
		leaderless := m.voter != nil && m.leaderName() == "" // it may have been replaced and not know
		if m.awaitsGroup() || leaderless || m.pending != nil || !m.HoldsLease(m.now+m.cfg.Lease/4) {
			m.query(m.drawVoter())
		}
		for seq, at := range m.queries {
			if m.now-at > m.cfg.Lease {
				delete(m.queries, seq)
			}
		}
		m.watchLeader()
	}
}

// awaitsGroup tells whether this process could vote and belongs to no group.
func (m *Machine) awaitsGroup() bool { return m.voter == nil && m.identity != 0 }

// drawVoter draws one to ask: of the group, as far as that is known, or of those the file names.
func (m *Machine) drawVoter() string {
	if m.awaitsGroup() && m.leader != "" && m.leader != m.cfg.Name && m.rng.IntN(2) == 0 {
		return m.leader
	}
	var names []string
	group, _ := m.VoterGroup()
	for _, v := range group.Voters {
		names = append(names, v.Name)
	}
	if len(names) == 0 || m.rng.IntN(4) == 0 {
		names = m.cfg.Voters
	}
	open := names[:0:0]
	for _, n := range names {
		if r, ok := m.cfg.Member(n); n != m.cfg.Name && ok && r.Present() {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[m.rng.IntN(len(open))]
}

func (m *Machine) query(whom string) {
	if whom == "" || whom == m.cfg.Name {
		return
	}
	m.seq++
	m.queries[m.seq] = m.now
	msg := Message{Kind: Query, Seq: m.seq}
	if m.hasView {
		msg.Have = m.latest()
	}
	if m.awaitsGroup() {
		msg.Voter = m.identity
	}
	m.send(whom, msg)
}

// tell answers a question.
func (m *Machine) answerQuery(to string, q Message) {
	group, leader := m.VoterGroup()
	msg := Message{Kind: QueryReply, Seq: q.Seq, Group: group, Leader: leader, Stamp: m.Stamp(m.now)}
	if m.hasView && m.view.ID != q.Have {
		msg.View = &m.view
	}
	if m.awaitsGroup() {
		msg.Voter = m.identity
	}
	m.send(to, msg)
}

func (m *Machine) receive(from member.Record, msg Message) {
	switch msg.Kind {
	case Query:
		if msg.Voter != 0 && m.voter != nil {
			if _, known := m.voter.candidates[from.Name]; known || len(m.voter.candidates) < maxCandidates {
				m.voter.candidates[from.Name] = candidate{id: msg.Voter, offeredAt: m.now}
			}
		}
		m.answerQuery(from.Name, msg)
	case QueryReply:
		asked, ours := m.queries[msg.Seq]
		delete(m.queries, msg.Seq)
		if !ours { // an answer to nothing says nothing about the time
			return
		}
		m.learnGroup(msg)
		m.receiveStamp(from.Name, msg.Stamp, asked, msg.View)
	case Survey:
		m.send(from.Name, m.surveyReply(msg.Seq))
	case SurveyReply:
		if s := &m.survey; s.seq != 0 && msg.Seq == s.seq && slices.Contains(s.requested, from.Name) {
			s.replies[from.Name] = msg
		}
	case FoundRequest:
		if msg.AfterSurvey {
			m.promiseAfterSurvey(from.Name, msg)
		} else {
			m.answerFoundRequest(from.Name, msg)
		}
	case FoundPromise:
		m.receivePromise(from.Name, msg)
	case FoundCommit: // of an earlier try than the last one promised, it must not count: the later one may be founded
		if msg.Group.Era == m.founding.promisedEra {
			m.joinGroup(msg.Group)
		}
	case Invite:
		if m.voter == nil && m.mayVote(from.Name) {
			m.drawIdentity()
			m.query(from.Name)
		}
	case Raft:
		m.guard(func() { m.receiveRaft(from.Name, msg) })
	}
}

func (m *Machine) mayVote(name string) bool {
	ok := m.group.hasVoter(name)
	return ok || slices.Contains(m.cfg.Voters, name)
}

// stamped takes in how fresh the view of another is, or was when it was asked for.
func (m *Machine) receiveStamp(from string, s Stamp, asked time.Duration, v *View) {
	if s.ID == (ID{}) {
		return
	}
	if m.cfg.Mutate == PushedAge {
		asked = m.now
	}
	age := time.Duration(s.Age-1) * time.Microsecond
	at := asked - time.Duration(float64(age)*(1+m.cfg.Drift))
	known := s.Age > 0 && s.Age < uint64(math.MaxInt64/int64(time.Microsecond))/2
	if m.hasView && s.ID == m.latest() {
		if known {
			m.confirmLatest(at)
		}
		return
	}
	if m.hasView && s.ID == m.view.ID { // of the one before the latest
		if known && at > m.confirmedAt {
			m.confirmedAt = at
		}
		return
	}
	// Views of one era follow one another; another era is gone to if it is later, or if this one is surely over.
	switch {
	case !m.hasView || s.ID.Compare(m.latest()) > 0:
	case m.voter != nil && s.ID.Era < m.voter.decided.Group.Era: // a new group waits for the leases of the one before it
		return
	case s.ID.Era < m.view.ID.Era && known && m.now-at < m.cfg.Lease && !m.mayBeCurrent():
	default:
		return
	}
	if v == nil || v.ID != s.ID {
		if !known && m.hasView && s.ID.Era != m.view.ID.Era {
			return
		}
		if len(m.queries) < 4 { // the view itself is too long for a stamp
			m.query(from)
		}
		return
	}
	if s.ID.Era != m.view.ID.Era && m.hasView && !known {
		return // of another group, and nobody vouches for it
	}
	m.adopt(*v)
	if known {
		m.confirmLatest(at)
	}
}

// latest is the newest view that this member knows of.
func (m *Machine) latest() ID {
	if m.pending != nil {
		return m.pending.ID
	}
	return m.view.ID
}

// vouched takes in that the latest view was the newest at some moment from a time on.
func (m *Machine) confirmLatest(at time.Duration) {
	if m.pending != nil {
		m.switchTo(*m.pending)
	}
	if !m.isConfirmed || at > m.confirmedAt {
		m.confirmedAt, m.isConfirmed = at, true
		m.everHeld = m.everHeld || m.HoldsLease(m.now)
	}
}

// current tells whether the view may still be the newest, as far as this member's lease goes.
func (m *Machine) mayBeCurrent() bool {
	return m.isConfirmed && m.now < m.confirmedAt+m.cfg.Lease+Bound(m.cfg.Lease, m.cfg.Drift)
}

// watchLeader tells loudly when the voters have had no leader for long: the majority may be lost for good.
func (m *Machine) watchLeader() {
	led := m.voter != nil && m.leaderName() != "" || m.voter == nil && (m.isConfirmed && m.now < m.confirmedAt+m.cfg.Lease || !m.everHeld && m.group.Era == 0)
	switch {
	case led:
		m.lastLed = m.now
		if m.lossReported {
			m.lossReported = false
			m.notice(false, "the voters have a majority again")
		}
	case !m.lossReported && m.now-m.lastLed > leaderlessAlert*m.cfg.Pace:
		m.lossReported = true
		m.notice(true, "no majority of the voters is heard: views stand still, placement goes on. If those voters are lost for good, "+
			"say RECOVER at the management address of one that is left; docs/peers.md tells what that may cost")
	}
}

// adopt takes over a view. While the one before is held and the new one is not vouched for, the one before goes on.
func (m *Machine) adopt(v View) {
	if m.hasView && m.HoldsLease(m.now) && v.ID.Era == m.view.ID.Era {
		m.pending = &v
		m.queryDue = min(m.queryDue, m.now+m.jitter(queryInterval*m.cfg.Pace))
		return
	}
	m.switchTo(v)
}

func (m *Machine) switchTo(v View) {
	m.view, m.hasView, m.isConfirmed, m.pending = v, true, false, nil
	m.out = append(m.out, Adopted{View: v})
}

// learnGroup takes in who votes.
func (m *Machine) learnGroup(msg Message) {
	if msg.Group.Era == 0 {
		if msg.Voter != 0 && m.founding.era != 0 { // another one without a group
			m.founding.due = min(m.founding.due, m.now+m.cfg.Pace)
		}
		return
	}
	if m.voter != nil {
		_, mine := msg.Group.voter(m.voter.id)
		if msg.Group.Era == m.voter.decided.Group.Era && !mine && len(msg.Group.Voters) > 0 && m.leaderName() == "" &&
			msg.Stamp.Age > 0 && msg.Stamp.ID.Number > m.voter.decided.View.ID.Number {
			m.leaveGroup()
			return
		}
		// A group of a later era took over: the operator's word, or a founding after all others had lost their state.
		if msg.Group.Era > m.voter.decided.Group.Era && msg.Stamp.Age > 0 {
			m.notice(true, "another group of voters decides, of era %x: this one's vote is given up", msg.Group.Era)
			m.giveUpVote()
			m.group, m.leader = msg.Group, msg.Leader
		}
		return
	}
	if msg.Group.Era >= m.group.Era || !m.mayBeCurrent() {
		m.group, m.leader = msg.Group, msg.Leader
	}
	m.joinGroup(msg.Group)
}

// begin joins a group to which this process belongs by its identity.
func (m *Machine) joinGroup(g Group) {
	if _, ok := g.voter(m.identity); !ok || !m.awaitsGroup() || g.Era == 0 {
		return
	}
	m.guard(func() {
		if err := m.startEngine(raft.NewMemoryStorage(), decidedState{}, g.Era); err != nil {
			panic(err)
		}
	})
	if m.voter != nil {
		m.out = append(m.out, Save{Change{Forget: true, Voter: m.identity, Era: g.Era}})
	}
}

// founder tells whether it is this process's part to found a group: the first, by name, of those the file names.
func (m *Machine) isFounder() bool {
	return m.awaitsGroup() && slices.Min(m.cfg.Voters) == m.cfg.Name && m.group.Era == 0
}

// proposeGroup asks all named voters for their promise. All must be there and blank: one that is not belongs to a group,
// and tells which.
func (m *Machine) proposeGroup() {
	m.founding.due = m.now + foundingInterval*m.cfg.Pace/2 + m.jitter(foundingInterval*m.cfg.Pace)
	for _, name := range m.cfg.Voters {
		if r, ok := m.cfg.Member(name); name != m.cfg.Name && (!ok || !r.Present()) {
			return
		}
	}
	m.founding.attempts++
	m.founding.afterSurvey, m.founding.lastView = false, View{}
	m.founding.era = max(m.cfg.Boot+m.founding.attempts, m.view.ID.Era+1)
	m.founding.promisedEra = m.founding.era
	m.founding.promises = map[string]uint64{m.cfg.Name: m.identity}
	for _, name := range m.cfg.Voters {
		m.send(name, Message{Kind: FoundRequest, Seq: m.founding.era})
	}
	m.foundIfPromised()
}

func (m *Machine) answerFoundRequest(to string, msg Message) {
	if !m.awaitsGroup() || m.group.Era != 0 || !slices.Contains(m.cfg.Voters, to) {
		group, leader := m.VoterGroup()
		m.send(to, Message{Kind: FoundPromise, Seq: msg.Seq, Group: group, Leader: leader}) // no
		return
	}
	m.founding.promisedEra = msg.Seq
	m.send(to, Message{Kind: FoundPromise, Seq: msg.Seq, Voter: m.identity, Have: m.view.ID})
}

func (m *Machine) receivePromise(from string, msg Message) {
	if m.founding.era == 0 || msg.Seq != m.founding.era || !m.isFounder() && (!m.founding.afterSurvey || !m.awaitsGroup()) || !slices.Contains(m.cfg.Voters, from) || msg.AfterSurvey != m.founding.afterSurvey {
		return
	}
	if msg.Voter == 0 { // it belongs to a group: this process has to join that one
		m.founding.era = 0
		if msg.Group.Era > 0 && m.group.Era == 0 {
			m.group, m.leader = msg.Group, msg.Leader
		}
		return
	}
	if msg.Have.Era >= m.founding.era { // it knows a later view: the new era must be later still
		m.founding.attempts += msg.Have.Era - m.founding.era + 1
		m.founding.era = 0
		return
	}
	m.founding.promises[from] = msg.Voter
	m.foundIfPromised()
}

// founded begins the group once all have promised.
func (m *Machine) foundIfPromised() {
	if len(m.founding.promises) < len(m.cfg.Voters) {
		return
	}
	g := Group{Era: m.founding.era}
	for _, name := range slices.Sorted(slices.Values(m.cfg.Voters)) {
		g.Voters = append(g.Voters, Voter{name, m.founding.promises[name]})
	}
	m.startGroup(g, View{ID: ID{Era: g.Era}, Rules: m.founding.lastView.Rules})
	for _, v := range g.Voters {
		m.send(v.Name, Message{Kind: FoundCommit, Group: g})
	}
	m.notice(false, "group of voters founded, era %x", g.Era)
}

// found begins a group with this process as its first. The others get the state from it, as any later voter does.
func (m *Machine) startGroup(g Group, v View) {
	var ids []uint64
	for _, voter := range g.Voters {
		ids = append(ids, voter.ID)
	}
	d := decidedState{Group: g, View: v}
	one := uint64(1)
	snapshot := &raftpb.Snapshot{Data: encode(d), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: ids}}}
	hard := &raftpb.HardState{Term: &one, Commit: &one}
	change := Change{Forget: true, Voter: m.identity, Era: g.Era, HardState: marshal(hard), Snapshot: marshal(snapshot)}
	m.out = append(m.out, Save{change})
	m.guard(func() {
		kept := &StoredState{}
		if err := kept.Apply(change); err != nil {
			panic(err)
		}
		store, d, err := kept.engineStorage()
		if err == nil {
			err = m.startEngine(store, d, g.Era)
		}
		if err != nil {
			panic(err)
		}
		_ = m.voter.node.Campaign() // one that may not stand now stands when its time comes
		m.processReady()
	})
}

// recover founds a group of this process alone, with what it knows. Others join it as voters that are missing.
func (m *Machine) recoverGroup() {
	era := max(m.cfg.Boot+m.founding.attempts+1, m.view.ID.Era+1, m.group.Era+1)
	m.founding.attempts++
	v := m.view
	if m.voter != nil {
		era = max(era, m.voter.decided.Group.Era+1)
		if m.voter.decided.View.ID.Compare(v.ID) > 0 {
			v = m.voter.decided.View
		}
	}
	v.ID = ID{Era: era}
	m.voter, m.identity, m.cfg.Stored = nil, 0, nil
	m.drawIdentity()
	m.notice(true, "recovered by the operator's word: a new group of voters, era %x. Leases of the old one run out within %v", era,
		Bound(m.cfg.Lease, m.cfg.Drift))
	m.startGroup(Group{Era: era, Voters: []Voter{{m.cfg.Name, m.identity}}}, v)
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // numbers, text and lists of them
	}
	return b
}

func decodeSeq(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
