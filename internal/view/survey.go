package view

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// survey is what the first named voter asks everybody, before it founds a group in the place of one that can never decide
// again. docs/design-comeback.md says when that may be.
type survey struct {
	seq         uint64
	requestedAt time.Duration // when the last of those asked so far was asked
	requested   []string
	remaining   []string // not asked so far
	replies     map[string]Message
	due         time.Duration
	reported    string // the last line on what is missing
}

// In paces, but for surveyBatch.
const (
	surveyDelay    = 20 // without a leader: elections are over by then, and so is the shortest lease but 12 paces
	surveyInterval = 4  // between two surveys; up to twice as many
	surveyTimeout  = 1  // for the answers
	batchesPerPace = 4  // parts of a pace between two batches
	surveyBatch    = 8  // who are asked at a time: all at once would answer at once
)

// surveys tells whether it is this process's part to survey.
func (m *Machine) isSurveyor() bool {
	return m.cfg.Refound && slices.Contains(m.cfg.Voters, m.cfg.Name) && slices.Min(m.cfg.Voters) == m.cfg.Name
}

// refound surveys, and founds where that is safe.
func (m *Machine) runSurvey() {
	s := &m.survey
	led := m.leaderName() != "" || m.HoldsLease(m.now) || m.knownGroup().Era == 0
	if led {
		m.surveyLastLed = m.now
		s.seq = 0
		return
	}
	if m.now-m.surveyLastLed < surveyDelay*m.cfg.Pace {
		return
	}
	if s.seq != 0 {
		switch wait := surveyTimeout * m.cfg.Pace; {
		case len(s.remaining) > 0 && m.votersReplied() && m.now-s.requestedAt >= m.cfg.Pace/batchesPerPace:
			batch := s.remaining[:min(surveyBatch, len(s.remaining))]
			s.remaining = s.remaining[len(batch):]
			m.sendSurvey(batch)
		case m.now-s.requestedAt >= wait:
			m.finishSurvey()
			s.seq = 0
			s.due = m.now + surveyInterval*m.cfg.Pace + m.jitter(surveyInterval*m.cfg.Pace)
		}
		return
	}
	if s.due > m.now {
		return
	}
	m.seq++
	s.seq, s.replies, s.requested, s.remaining = m.seq, map[string]Message{m.cfg.Name: m.surveyReply(m.seq)}, []string{m.cfg.Name}, nil
	var voters []string
	for _, r := range m.cfg.Members() {
		switch {
		case r.Name == m.cfg.Name:
		case slices.Contains(m.cfg.Voters, r.Name):
			voters = append(voters, r.Name) // without all of these the others need not be asked
		default:
			s.remaining = append(s.remaining, r.Name)
		}
	}
	m.sendSurvey(voters)
}

func (m *Machine) sendSurvey(names []string) {
	m.survey.requestedAt = m.now
	m.survey.requested = append(m.survey.requested, names...)
	for _, name := range names {
		m.send(name, Message{Kind: Survey, Seq: m.survey.seq})
	}
}

// votersReplied tells whether all named voters have answered.
func (m *Machine) votersReplied() bool {
	return !slices.ContainsFunc(m.cfg.Voters, func(name string) bool { _, ok := m.survey.replies[name]; return !ok })
}

func (m *Machine) knownGroup() Group {
	g, _ := m.VoterGroup()
	return g
}

// surveyed is what this process answers: the group it knows, the identity under which it votes, 0 for none, and its last
// view with its age.
func (m *Machine) surveyReply(seq uint64) Message {
	group, leader := m.VoterGroup()
	msg := Message{Kind: SurveyReply, Seq: seq, Group: group, Leader: leader, Stamp: m.Stamp(m.now)}
	if m.voter != nil {
		msg.Voter = m.voter.id
	}
	if m.hasView {
		v := m.view
		if m.voter != nil && m.voter.decided.View.ID.Compare(v.ID) > 0 {
			v = m.voter.decided.View
		}
		v.Members = nil // which the surveyor has, or asks one for
		msg.View = &v
	}
	return msg
}

// finishSurvey looks whether the answers prove that no group of the latest era can decide again.
func (m *Machine) finishSurvey() {
	era, last, missing := m.evaluateSurvey()
	if missing != "" {
		if missing != m.survey.reported {
			m.survey.reported = missing
			m.notice(true, "the voters have no majority, and a new group is not founded without RECOVER: %s", missing)
		}
		return
	}
	m.survey.reported = ""
	m.notice(true, "no group of era %x can decide again: the named voters found a new one", era)
	if m.voter != nil {
		m.giveUpVote()
	}
	m.drawIdentity()
	m.founding.attempts++
	m.founding.afterSurvey, m.founding.lastView = true, last
	m.founding.era = max(m.cfg.Boot+m.founding.attempts, era+1, last.ID.Era+1)
	m.founding.promisedEra = m.founding.era
	m.founding.promises = map[string]uint64{m.cfg.Name: m.identity}
	for _, name := range m.cfg.Voters {
		m.send(name, Message{Kind: FoundRequest, Seq: m.founding.era, AfterSurvey: true})
	}
	m.foundIfPromised()
}

// evaluateSurvey gives the latest era, the last known view, and what keeps a new group from being founded; empty: nothing.
func (m *Machine) evaluateSurvey() (era uint64, last View, missing string) {
	s := &m.survey
	for _, name := range m.cfg.Voters {
		if _, ok := s.replies[name]; !ok {
			return 0, last, "voter " + name + " has not answered"
		}
	}
	if len(s.remaining) > 0 {
		return 0, last, "not all have been asked"
	}
	for _, name := range s.requested {
		if _, ok := s.replies[name]; !ok {
			return 0, last, name + " is there and has not answered"
		}
	}
	var groups []Group
	for _, msg := range s.replies {
		era = max(era, msg.Group.Era)
	}
	for _, name := range s.requested {
		msg := s.replies[name]
		if age := time.Duration(msg.Stamp.Age) * time.Microsecond; msg.Stamp.Age > 0 && age < Bound(m.cfg.Lease, m.cfg.Drift) {
			return era, last, fmt.Sprintf("%s has a view that was the newest %v ago", name, age.Round(time.Millisecond))
		}
		if msg.View != nil && (msg.View.ID.Compare(last.ID) > 0 || last.ID == ID{}) {
			last = *msg.View
		}
		if msg.Group.Era == era && !slices.ContainsFunc(groups, func(g Group) bool { return slices.Equal(g.Voters, msg.Group.Voters) }) {
			groups = append(groups, msg.Group)
		}
		if msg.Voter != 0 && msg.Group.Era == era {
			if _, known := msg.Group.voter(msg.Voter); !known {
				return era, last, name + " votes in a group that nobody knows"
			}
		}
	}
	var away []string
	switch last.ID {
	case ID{}:
	case m.latest():
		last.Members = m.view.Members
		if m.pending != nil {
			last.Members = m.pending.Members
		}
	default:
		if m.voter == nil || m.voter.decided.View.ID != last.ID {
			for _, name := range s.requested {
				if v := s.replies[name].View; v != nil && v.ID == last.ID {
					m.query(name)
					break
				}
			}
			return era, last, "who belongs to view " + last.ID.String() + " is asked for"
		}
		last.Members = m.voter.decided.View.Members
	}
	for _, x := range last.Members {
		if _, ok := s.replies[x.Name]; !ok {
			away = append(away, x.Name)
		}
	}
	if m.cfg.Mutate == RefoundBlind {
		return era, last, ""
	}
	for _, g := range groups {
		left := slices.Clone(away) // any of these may have been taken in as a voter since
		for _, v := range g.Voters {
			msg, answered := s.replies[v.Name]
			if (answered && msg.Voter == v.ID && msg.Group.Era == era || !answered) && !slices.Contains(left, v.Name) {
				left = append(left, v.Name)
			}
		}
		if len(left) > len(g.Voters)/2 {
			return era, last, fmt.Sprintf("%s may still be the majority of the voters", strings.Join(left, ", "))
		}
	}
	return era, last, ""
}

// promiseAfterSurvey gives up what this process was as a voter, and promises to join the group that is founded.
func (m *Machine) promiseAfterSurvey(to string, msg Message) {
	if !m.cfg.Refound || !slices.Contains(m.cfg.Voters, to) || m.leaderName() != "" || m.HoldsLease(m.now) || msg.Seq <= m.knownGroup().Era {
		return
	}
	if m.voter != nil {
		m.notice(true, "this voter's identity is given up for a new group of era %x", msg.Seq)
		m.giveUpVote()
	}
	m.drawIdentity()
	m.group, m.leader = Group{}, ""
	m.founding.promisedEra = msg.Seq
	m.send(to, Message{Kind: FoundPromise, Seq: msg.Seq, Voter: m.identity, Have: m.view.ID, AfterSurvey: true})
}
