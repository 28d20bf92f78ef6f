package view

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fieldrelay/internal/sidecar/member"
)

// Machine is one member's state machine for the agreement on views. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Duration
	out []Action

	// The view in force on this member, and the lease on it.
	view          View
	hasView       bool
	pending       *View         // a newer view, not confirmed yet, while the lease on the view in force lasts; nil: none
	confirmedAt   time.Duration // the view in force was the newest at some time not before this; valid if isConfirmed
	isConfirmed   bool
	everHeldLease bool // this member has held a lease on some view

	// The group of voters and the queries to them, as far as this member knows.
	group                Group
	leader               string                   // name of the voters' leader; empty: not known
	seq                  uint64                   // number of the last request
	queries              map[uint64]time.Duration // time at which each unanswered query was sent, by its number
	queryDue             time.Duration
	lastLed              time.Duration // when the voters last counted as having a leader, see watchLeader
	majorityLossReported bool          // the loss of the majority was reported to the operator

	voter         *voter // nil: this process is not a voter
	identity      uint64 // identity under which this process votes or would vote; 0: none was generated
	founding      founding
	survey        survey
	surveyLastLed time.Duration // when this process, as surveyor, last knew a leader or held a lease, or knew no group
}

// New creates a machine. now is the current time on the monotonic clock of the calls to Step. An error reports that the stored
// state is inconsistent.
func New(cfg Config, now time.Duration) (*Machine, error) {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)), now: now, queries: make(map[uint64]time.Duration)}
	m.seq = uint64(m.rng.Uint32()) // so that an answer to an earlier process of this name is not taken for an answer to this one
	m.queryDue, m.lastLed = now+m.jitter(cfg.Pace), now
	m.founding.due = now + m.jitter(cfg.Pace)
	m.surveyLastLed = now
	if cfg.Stored != nil && cfg.Stored.Voter == 0 { // its content may have been lost: earlier leases may still be valid
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
		m.ensureIdentity()
	}
	return m, nil
}

// jitter returns a random duration from 0 to d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// View returns the view in force on this member, and whether there is one. The view may be outdated: see HoldsLease.
func (m *Machine) View() (View, bool) { return m.view, m.hasView }

// Decided returns the view that the voters decided last, as far as this voter knows. It returns false if this process is not a
// voter.
func (m *Machine) Decided() (View, bool) {
	if m.voter == nil {
		return View{}, false
	}
	return m.voter.decided.View, true
}

// VoterGroup returns the group of voters and the name of their leader, as far as this process knows. The name is empty if no
// leader is known.
func (m *Machine) VoterGroup() (Group, string) {
	if m.voter != nil {
		return m.voter.decided.Group, m.leaderName()
	}
	return m.group, m.leader
}

// Leadership returns the era and Raft term in which this process leads the voters, and when a majority last confirmed that: no
// other process had led in a later term before that time. ok is false if this process does not believe that it leads, or no
// majority has confirmed it yet.
func (m *Machine) Leadership() (era, term uint64, confirmed time.Duration, ok bool) {
	if m.voter == nil || !m.voter.leads() || m.voter.leadConfirmedAt < 0 {
		return 0, 0, 0, false
	}
	return m.voter.decided.Group.Era, m.voter.node.BasicStatus().GetTerm(), m.voter.leadConfirmedAt, true
}

// IsVoter reports whether this process is a voter.
func (m *Machine) IsVoter() bool { return m.voter != nil }

// IsEffectiveVoter reports whether this process votes under its own identity and no joint consensus with an earlier group is
// in progress. Until then an earlier voter of the same name may still count toward the majority, and the loss of another voter
// could lose the majority.
func (m *Machine) IsEffectiveVoter() bool {
	return m.voter != nil && slices.Contains(m.voter.confState.GetVoters(), m.voter.id) && len(m.voter.confState.GetVotersOutgoing()) == 0
}

// Next returns the time by which Step has to be called with Tick, if no other event occurs before.
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

// Step processes an event and returns the resulting actions. now is on the same clock as in New, and not before the time of the
// previous call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.out = nil
	m.now = max(now, m.now)
	if m.pending != nil && !m.HoldsLease(m.now) {
		m.switchTo(*m.pending)
	}
	switch event := event.(type) {
	case Received:
		m.receive(event.From, event.Message)
	case Stamped:
		m.receiveStamp(event.From.Name, event.Stamp, event.RequestedAt, nil)
	case Recover:
		m.recoverGroup()
	case ProposeRules:
		m.requestRules(event.Rules)
	}
	m.guard(m.runTimers)
	return m.out
}

// notice reports an event to the operator. alert is set if the operator has to act on it.
func (m *Machine) notice(alert bool, format string, args ...any) {
	m.out = append(m.out, Notice{Text: fmt.Sprintf(format, args...), Alert: alert})
}

// send sends a message to another member.
func (m *Machine) send(to string, msg Message) {
	if to != m.cfg.Name {
		m.out = append(m.out, Send{To: to, Message: msg})
	}
}

// runTimers runs all timers that are due.
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
		m.runQueryTimer()
		m.watchLeader()
	}
}

// receive processes a message from another member.
func (m *Machine) receive(from member.Record, msg Message) {
	switch msg.Kind {
	case Query:
		m.addCandidate(from.Name, msg.Voter)
		m.answerQuery(from.Name, msg)
	case QueryReply:
		m.receiveReply(from.Name, msg)
	case Survey:
		m.send(from.Name, m.surveyReply(msg.Seq))
	case SurveyReply:
		if s := &m.survey; s.seq != 0 && msg.Seq == s.seq && slices.Contains(s.requested, from.Name) {
			s.replies[from.Name] = msg
		}
	case FoundingRequest:
		if msg.AfterSurvey {
			m.answerRefoundingRequest(from.Name, msg)
		} else {
			m.answerFoundingRequest(from.Name, msg)
		}
	case FoundingReply:
		m.receiveFoundingReply(from.Name, msg)
	case FoundingCommit: // a commit of an attempt before the last promised one is ignored: the later attempt may have succeeded
		if msg.Group.Era == m.founding.promisedEra {
			m.joinGroup(msg.Group)
		}
	case Invite:
		if m.voter == nil && m.isKnownVoter(from.Name) {
			m.ensureIdentity()
			m.query(from.Name)
		}
	case Raft:
		m.guard(func() { m.receiveRaft(from.Name, msg) })
	}
}

// watchLeader alerts the operator when the voters have had no leader for leaderlessAlert: their majority may be permanently
// lost. It also reports when the voters have a leader again.
func (m *Machine) watchLeader() {
	led := m.voter != nil && m.leaderName() != "" || m.voter == nil && (m.isConfirmed && m.now < m.confirmedAt+m.cfg.Lease || !m.everHeldLease && m.group.Era == 0)
	switch {
	case led:
		m.lastLed = m.now
		if m.majorityLossReported {
			m.majorityLossReported = false
			m.notice(false, "the voters have a majority again")
		}
	case !m.majorityLossReported && m.now-m.lastLed > leaderlessAlert*m.cfg.Pace:
		m.majorityLossReported = true
		m.notice(true, "no majority of the voters is heard: no new views are decided, placement continues. If those voters are permanently lost, "+
			"send RECOVER to the management address of a remaining one; docs/sidecar/peers.md describes the risks")
	}
}
