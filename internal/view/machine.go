package view

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

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

func decodeSeq(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}
