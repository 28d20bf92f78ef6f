package view

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// survey is the first named voter's survey of all members, before it founds a group in the place of one that can never decide
// again. docs/design/comeback.md says when that is safe.
type survey struct {
	seq         uint64        // of the survey under way; 0: none is
	requestedAt time.Duration // when the last request was sent
	requested   []string      // names of those that were sent a request
	remaining   []string      // names of those that were not so far
	replies     map[string]Message
	due         time.Duration // of the next survey
	reported    string        // what is missing, as it was reported last
}

// The constants of a survey, in paces but for batchesPerPace and surveyBatch.
const (
	surveyDelay    = 20 // without a leader before a survey: elections are over by then, and of the shortest lease 12 paces are left
	surveyInterval = 4  // between two surveys; up to twice as many
	surveyTimeout  = 1  // for the replies to the last request
	batchesPerPace = 4  // batches of requests in a pace
	surveyBatch    = 8  // requests in a batch: all members at once would also reply at once
)

// isSurveyor reports whether this process is to survey the others: it is the first, by name, of the named voters.
func (m *Machine) isSurveyor() bool {
	return m.cfg.Refound && slices.Contains(m.cfg.Voters, m.cfg.Name) && slices.Min(m.cfg.Voters) == m.cfg.Name
}

// runSurvey surveys the members while the voters have no leader, and founds a new group if that is safe.
func (m *Machine) runSurvey() {
	s := &m.survey
	if m.leaderName() != "" || m.HoldsLease(m.now) || m.knownGroup().Era == 0 {
		m.surveyLastLed = m.now
		s.seq = 0
		return
	}
	switch {
	case m.now-m.surveyLastLed < surveyDelay*m.cfg.Pace:
	case s.seq != 0:
		m.continueSurvey()
	case s.due <= m.now:
		m.beginSurvey()
	}
}

// beginSurvey surveys the named voters that are present. Without all of their replies the other members need not be asked.
func (m *Machine) beginSurvey() {
	s := &m.survey
	m.seq++
	s.seq, s.requested, s.remaining = m.seq, []string{m.cfg.Name}, nil
	s.replies = map[string]Message{m.cfg.Name: m.surveyReply(m.seq)}
	var voters []string
	for _, r := range m.cfg.Members() {
		switch {
		case r.Name == m.cfg.Name:
		case slices.Contains(m.cfg.Voters, r.Name):
			voters = append(voters, r.Name)
		default:
			s.remaining = append(s.remaining, r.Name)
		}
	}
	m.sendSurvey(voters)
}

// continueSurvey surveys the next batch of members once the named voters have replied, and evaluates the replies in the end.
func (m *Machine) continueSurvey() {
	s := &m.survey
	switch {
	case len(s.remaining) > 0 && m.votersReplied() && m.now-s.requestedAt >= m.cfg.Pace/batchesPerPace:
		batch := s.remaining[:min(surveyBatch, len(s.remaining))]
		s.remaining = s.remaining[len(batch):]
		m.sendSurvey(batch)
	case m.now-s.requestedAt >= surveyTimeout*m.cfg.Pace:
		m.finishSurvey()
		s.seq = 0
		s.due = m.now + surveyInterval*m.cfg.Pace + m.jitter(surveyInterval*m.cfg.Pace)
	}
}

// sendSurvey surveys some members.
func (m *Machine) sendSurvey(names []string) {
	m.survey.requestedAt = m.now
	m.survey.requested = append(m.survey.requested, names...)
	for _, name := range names {
		m.send(name, Message{Kind: Survey, Seq: m.survey.seq})
	}
}

// votersReplied reports whether all named voters have replied.
func (m *Machine) votersReplied() bool {
	return !slices.ContainsFunc(m.cfg.Voters, func(name string) bool { _, ok := m.survey.replies[name]; return !ok })
}

// knownGroup is the group of voters as far as this process knows.
func (m *Machine) knownGroup() Group {
	g, _ := m.VoterGroup()
	return g
}

// surveyReply is this process's reply to a survey: the group it knows, the identity under which it votes, 0 for none, and its
// last view with its age.
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
		v.Members = nil // the surveyor has them, or queries them
		msg.View = &v
	}
	return msg
}

// finishSurvey founds a new group if the replies prove that no group of the latest era can decide again.
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
		m.discardVoter()
	}
	m.ensureIdentity()
	m.founding.attempts++
	m.founding.afterSurvey, m.founding.lastView = true, last
	m.founding.era = max(m.cfg.Boot+m.founding.attempts, era+1, last.ID.Era+1)
	m.founding.promisedEra = m.founding.era
	m.founding.promises = map[string]uint64{m.cfg.Name: m.identity}
	for _, name := range m.cfg.Voters {
		m.send(name, Message{Kind: FoundingRequest, Seq: m.founding.era, AfterSurvey: true})
	}
	m.foundIfPromised()
}

// evaluateSurvey returns the latest era, the last known view, and what keeps a new group from being founded; empty: nothing.
func (m *Machine) evaluateSurvey() (era uint64, last View, missing string) {
	if missing = m.missingReplies(); missing != "" {
		return 0, View{}, missing
	}
	era, last, groups, missing := m.collectReplies()
	if missing != "" {
		return era, last, missing
	}
	if last.Members, missing = m.lastMembers(last); missing != "" {
		return era, last, missing
	}
	if m.cfg.Mutate == RefoundUnchecked {
		return era, last, ""
	}
	var absent []string
	for _, member := range last.Members {
		if _, ok := m.survey.replies[member.Name]; !ok {
			absent = append(absent, member.Name)
		}
	}
	for _, group := range groups {
		if possible := m.possibleVoters(group, era, absent); len(possible) > len(group.Voters)/2 {
			return era, last, fmt.Sprintf("%s may still be the majority of the voters", strings.Join(possible, ", "))
		}
	}
	return era, last, ""
}

// missingReplies says whose reply is missing; empty: nobody's.
func (m *Machine) missingReplies() string {
	s := &m.survey
	for _, name := range m.cfg.Voters {
		if _, ok := s.replies[name]; !ok {
			return "voter " + name + " has not answered"
		}
	}
	if len(s.remaining) > 0 {
		return "not all have been asked"
	}
	for _, name := range s.requested {
		if _, ok := s.replies[name]; !ok {
			return name + " is there and has not answered"
		}
	}
	return ""
}

// collectReplies returns the latest era of the replies, the last view, without its members, and the groups of that era that
// any reply names; or what in the replies keeps a new group from being founded.
func (m *Machine) collectReplies() (era uint64, last View, groups []Group, missing string) {
	s := &m.survey
	for _, reply := range s.replies {
		era = max(era, reply.Group.Era)
	}
	for _, name := range s.requested {
		reply := s.replies[name]
		if age := time.Duration(reply.Stamp.Age) * time.Microsecond; reply.Stamp.Age > 0 && age < StalenessBound(m.cfg.Lease, m.cfg.Drift) {
			return era, last, nil, fmt.Sprintf("%s has a view that was the newest %v ago", name, age.Round(time.Millisecond))
		}
		if reply.View != nil && (reply.View.ID.Compare(last.ID) > 0 || last.ID == ID{}) {
			last = *reply.View
		}
		if reply.Group.Era != era {
			continue
		}
		if !slices.ContainsFunc(groups, func(g Group) bool { return slices.Equal(g.Voters, reply.Group.Voters) }) {
			groups = append(groups, reply.Group)
		}
		if _, known := reply.Group.voter(reply.Voter); reply.Voter != 0 && !known {
			return era, last, nil, name + " votes in a group that nobody knows"
		}
	}
	return era, last, groups, ""
}

// lastMembers returns the members of the last view. If this process does not know them, it queries them.
func (m *Machine) lastMembers(last View) (members []Member, missing string) {
	switch {
	case last.ID == ID{}:
		return last.Members, ""
	case last.ID == m.latest() && m.pending != nil:
		return m.pending.Members, ""
	case last.ID == m.latest():
		return m.view.Members, ""
	case m.voter != nil && m.voter.decided.View.ID == last.ID:
		return m.voter.decided.View.Members, ""
	}
	for _, name := range m.survey.requested {
		if v := m.survey.replies[name].View; v != nil && v.ID == last.ID {
			m.query(name)
			break
		}
	}
	return nil, "who belongs to view " + last.ID.String() + " is asked for"
}

// possibleVoters returns the names of those that may still vote in a group: the absent members of the last view, any of which
// may have become a voter since, and the voters that have kept their identity or did not reply.
func (m *Machine) possibleVoters(group Group, era uint64, absent []string) []string {
	possible := slices.Clone(absent)
	for _, voter := range group.Voters {
		reply, replied := m.survey.replies[voter.Name]
		keptIdentity := replied && reply.Voter == voter.ID && reply.Group.Era == era
		if (keptIdentity || !replied) && !slices.Contains(possible, voter.Name) {
			possible = append(possible, voter.Name)
		}
	}
	return possible
}

// answerRefoundingRequest gives up what this process was as a voter, and promises to join the group that is founded.
func (m *Machine) answerRefoundingRequest(to string, msg Message) {
	if !m.cfg.Refound || !slices.Contains(m.cfg.Voters, to) || m.leaderName() != "" || m.HoldsLease(m.now) || msg.Seq <= m.knownGroup().Era {
		return
	}
	if m.voter != nil {
		m.notice(true, "this voter's identity is given up for a new group of era %x", msg.Seq)
		m.discardVoter()
	}
	m.ensureIdentity()
	m.group, m.leader = Group{}, ""
	m.founding.promisedEra = msg.Seq
	m.send(to, Message{Kind: FoundingReply, Seq: msg.Seq, Voter: m.identity, Have: m.view.ID, AfterSurvey: true})
}
