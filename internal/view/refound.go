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
	seq   uint64
	at    time.Duration // when the last of those asked so far was asked
	asked []string
	todo  []string // not asked so far
	told  map[string]Message
	due   time.Duration
	said  string // the last line on what is missing
}

// In paces, but for surveyBatch.
const (
	surveyAfter = 20 // without a leader: elections are over by then, and so is the shortest lease but 12 paces
	surveyAgain = 4  // between two surveys; up to twice as many
	surveyWait  = 1  // for the answers
	surveyPart  = 4  // parts of a pace between two batches
	surveyBatch = 8  // who are asked at a time: all at once would answer at once
)

// surveys tells whether it is this process's part to survey.
func (m *Machine) surveys() bool {
	return m.cfg.Refound && slices.Contains(m.cfg.Voters, m.cfg.Name) && slices.Min(m.cfg.Voters) == m.cfg.Name
}

// refound surveys, and founds where that is safe.
func (m *Machine) refound() {
	s := &m.survey
	led := m.leaderName() != "" || m.Holds(m.now) || m.knownGroup().Era == 0
	if led {
		m.ledHere = m.now
		s.seq = 0
		return
	}
	if m.now-m.ledHere < surveyAfter*m.cfg.Pace {
		return
	}
	if s.seq != 0 {
		switch wait := surveyWait * m.cfg.Pace; {
		case len(s.todo) > 0 && m.votersTold() && m.now-s.at >= m.cfg.Pace/surveyPart:
			batch := s.todo[:min(surveyBatch, len(s.todo))]
			s.todo = s.todo[len(batch):]
			m.askSurvey(batch)
		case m.now-s.at >= wait:
			m.decideSurvey()
			s.seq = 0
			s.due = m.now + surveyAgain*m.cfg.Pace + m.jitter(surveyAgain*m.cfg.Pace)
		}
		return
	}
	if s.due > m.now {
		return
	}
	m.seq++
	s.seq, s.told, s.asked, s.todo = m.seq, map[string]Message{m.cfg.Name: m.surveyed(m.seq)}, []string{m.cfg.Name}, nil
	var voters []string
	for _, r := range m.cfg.Members() {
		switch {
		case r.Name == m.cfg.Name:
		case slices.Contains(m.cfg.Voters, r.Name):
			voters = append(voters, r.Name) // without all of these the others need not be asked
		default:
			s.todo = append(s.todo, r.Name)
		}
	}
	m.askSurvey(voters)
}

func (m *Machine) askSurvey(names []string) {
	m.survey.at = m.now
	m.survey.asked = append(m.survey.asked, names...)
	for _, name := range names {
		m.send(name, Message{Kind: Survey, Seq: m.survey.seq})
	}
}

// votersTold tells whether all named voters have answered.
func (m *Machine) votersTold() bool {
	return !slices.ContainsFunc(m.cfg.Voters, func(name string) bool { _, ok := m.survey.told[name]; return !ok })
}

func (m *Machine) knownGroup() Group {
	g, _ := m.Voting()
	return g
}

// surveyed is what this process answers: the group it knows, the identity under which it votes, 0 for none, and its last
// view with its age.
func (m *Machine) surveyed(seq uint64) Message {
	group, leader := m.Voting()
	msg := Message{Kind: Surveyed, Seq: seq, Group: group, Leader: leader, Stamp: m.Stamp(m.now)}
	if m.voter != nil {
		msg.Voter = m.voter.id
	}
	if m.has {
		v := m.view
		if m.voter != nil && m.voter.decided.View.ID.Compare(v.ID) > 0 {
			v = m.voter.decided.View
		}
		v.Members = nil // which the surveyor has, or asks one for
		msg.View = &v
	}
	return msg
}

// decideSurvey looks whether the answers prove that no group of the latest era can decide again.
func (m *Machine) decideSurvey() {
	era, last, missing := m.judgeSurvey()
	if missing != "" {
		if missing != m.survey.said {
			m.survey.said = missing
			m.notice(true, "the voters have no majority, and a new group is not founded without RECOVER: %s", missing)
		}
		return
	}
	m.survey.said = ""
	m.notice(true, "no group of era %x can decide again: the named voters found a new one", era)
	if m.voter != nil {
		m.forget()
	}
	m.drawIdentity()
	m.founds.tries++
	m.founds.safe, m.founds.last = true, last
	m.founds.era = max(m.cfg.Boot+m.founds.tries, era+1, last.ID.Era+1)
	m.founds.promised = m.founds.era
	m.founds.promises = map[string]uint64{m.cfg.Name: m.blank}
	for _, name := range m.cfg.Voters {
		m.send(name, Message{Kind: Found, Seq: m.founds.era, Safe: true})
	}
	m.founded()
}

// judgeSurvey gives the latest era, the last known view, and what keeps a new group from being founded; empty: nothing.
func (m *Machine) judgeSurvey() (era uint64, last View, missing string) {
	s := &m.survey
	for _, name := range m.cfg.Voters {
		if _, ok := s.told[name]; !ok {
			return 0, last, "voter " + name + " has not answered"
		}
	}
	if len(s.todo) > 0 {
		return 0, last, "not all have been asked"
	}
	for _, name := range s.asked {
		if _, ok := s.told[name]; !ok {
			return 0, last, name + " is there and has not answered"
		}
	}
	var groups []Group
	for _, msg := range s.told {
		era = max(era, msg.Group.Era)
	}
	for _, name := range s.asked {
		msg := s.told[name]
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
			for _, name := range s.asked {
				if v := s.told[name].View; v != nil && v.ID == last.ID {
					m.ask(name)
					break
				}
			}
			return era, last, "who belongs to view " + last.ID.String() + " is asked for"
		}
		last.Members = m.voter.decided.View.Members
	}
	for _, x := range last.Members {
		if _, ok := s.told[x.Name]; !ok {
			away = append(away, x.Name)
		}
	}
	if m.cfg.Mutate == RefoundBlind {
		return era, last, ""
	}
	for _, g := range groups {
		left := slices.Clone(away) // any of these may have been taken in as a voter since
		for _, v := range g.Voters {
			msg, answered := s.told[v.Name]
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

// promiseSafe gives up what this process was as a voter, and promises to join the group that is founded.
func (m *Machine) promiseSafe(to string, msg Message) {
	if !m.cfg.Refound || !slices.Contains(m.cfg.Voters, to) || m.leaderName() != "" || m.Holds(m.now) || msg.Seq <= m.knownGroup().Era {
		return
	}
	if m.voter != nil {
		m.notice(true, "this voter's identity is given up for a new group of era %x", msg.Seq)
		m.forget()
	}
	m.drawIdentity()
	m.group, m.leader = Group{}, ""
	m.founds.promised = msg.Seq
	m.send(to, Message{Kind: Promise, Seq: msg.Seq, Voter: m.blank, Have: m.view.ID, Safe: true})
}
