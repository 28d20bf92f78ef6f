package view

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// survey is the state of a survey of all members. The first configured voter makes one before it founds a group to replace one
// that can never decide again. docs/design/comeback.md describes when that is safe.
type survey struct {
	seq         uint64             // number of the current survey; 0: there is none
	requestedAt time.Duration      // when the last request was sent
	requested   []string           // names of the members that a request was sent to, and of this process
	remaining   []string           // names of the members that no request was sent to yet
	replies     map[string]Message // replies received, by name
	due         time.Duration      // time of the next survey
	reported    string             // the last reported reason why no new group is founded
}

// Constants of a survey, in units of Config.Pace except batchesPerPace and surveyBatch.
const (
	surveyDelay    = 20 // time without a leader before a survey: elections are over by then, and 12 paces remain of the shortest lease
	surveyInterval = 4  // interval between two surveys; up to twice as long with jitter
	surveyTimeout  = 1  // time to wait for the replies to the last request
	batchesPerPace = 4  // batches of requests per pace
	surveyBatch    = 8  // requests per batch: if all members were asked at once, all would reply at once
)

// isSurveyor reports whether this process is responsible for surveys: it is the first, by name, of the configured voters, and
// refounding is enabled.
func (m *Machine) isSurveyor() bool {
	return m.cfg.Refound && slices.Contains(m.cfg.Voters, m.cfg.Name) && slices.Min(m.cfg.Voters) == m.cfg.Name
}

// runSurvey surveys the members while no leader of the voters is known, and founds a new group if that is safe.
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

// beginSurvey sends requests to the configured voters that are present. The other members are asked only after all configured
// voters have replied.
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

// continueSurvey sends requests to the next batch of members once all configured voters have replied. After the timeout of the
// last request it evaluates the replies.
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

// sendSurvey sends survey requests to the named members.
func (m *Machine) sendSurvey(names []string) {
	m.survey.requestedAt = m.now
	m.survey.requested = append(m.survey.requested, names...)
	for _, name := range names {
		m.send(name, Message{Kind: Survey, Seq: m.survey.seq})
	}
}

// votersReplied reports whether all configured voters have replied.
func (m *Machine) votersReplied() bool {
	return !slices.ContainsFunc(m.cfg.Voters, func(name string) bool { _, ok := m.survey.replies[name]; return !ok })
}

// knownGroup returns the group of voters, as far as this process knows.
func (m *Machine) knownGroup() Group {
	g, _ := m.VoterGroup()
	return g
}

// surveyReply returns this process's reply to a survey: the group that it knows, the identity under which it votes (0: it does
// not vote), the stamp of its view, and its last view without members.
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
		v.Members = nil // the surveyor has the members already, or queries for them
		msg.View = &v
	}
	return msg
}

// finishSurvey starts to found a new group if the replies prove that no group of the latest era can decide again.
func (m *Machine) finishSurvey() {
	era, last, missing := m.evaluateSurvey()
	if missing != "" {
		if missing != m.survey.reported {
			m.survey.reported = missing
			m.notice(true, "no majority of the voters, and no new group can be founded without RECOVER: %s", missing)
		}
		return
	}
	m.survey.reported = ""
	m.notice(true, "no group of era %x can decide again: the configured voters are founding a new one", era)
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

// evaluateSurvey returns the latest era, the last known view, and the reason why a new group must not be founded; empty: it may
// be founded.
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

// missingReplies describes which reply or request is missing; empty: none.
func (m *Machine) missingReplies() string {
	s := &m.survey
	for _, name := range m.cfg.Voters {
		if _, ok := s.replies[name]; !ok {
			return "voter " + name + " has not answered"
		}
	}
	if len(s.remaining) > 0 {
		return "not all members have been asked yet"
	}
	for _, name := range s.requested {
		if _, ok := s.replies[name]; !ok {
			return name + " is present and has not answered"
		}
	}
	return ""
}

// collectReplies returns the latest era of the replies, the last view (without its members), and the distinct groups of the
// latest era in the replies; or the reason in the replies why a new group must not be founded.
func (m *Machine) collectReplies() (era uint64, last View, groups []Group, missing string) {
	s := &m.survey
	for _, reply := range s.replies {
		era = max(era, reply.Group.Era)
	}
	for _, name := range s.requested {
		reply := s.replies[name]
		if age := time.Duration(reply.Stamp.Age) * time.Microsecond; reply.Stamp.Age > 0 && age < StalenessBound(m.cfg.Lease, m.cfg.Drift) {
			return era, last, nil, fmt.Sprintf("%s has a view that was still the newest %v ago", name, age.Round(time.Millisecond))
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
			return era, last, nil, name + " votes under an identity that its group does not include"
		}
	}
	return era, last, groups, ""
}

// lastMembers returns the members of the last view. If this process does not have them, it queries a member that replied with
// that view.
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
	return nil, "the members of view " + last.ID.String() + " are not known yet"
}

// possibleVoters returns the names of the members that may still be voters of a group: the absent members of the last view, any
// of which may have become a voter since, and the voters of the group that have kept their identity or did not reply.
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

// answerRefoundingRequest answers a FoundingRequest that follows a survey: this process discards its state as a voter and
// promises to join the new group. It does not answer if it knows a leader, holds a lease, or knows a group of this or a later
// era.
func (m *Machine) answerRefoundingRequest(to string, msg Message) {
	if !m.cfg.Refound || !slices.Contains(m.cfg.Voters, to) || m.leaderName() != "" || m.HoldsLease(m.now) || msg.Seq <= m.knownGroup().Era {
		return
	}
	if m.voter != nil {
		m.notice(true, "this voter's identity and state are discarded to join a new group of era %x", msg.Seq)
		m.discardVoter()
	}
	m.ensureIdentity()
	m.group, m.leader = Group{}, ""
	m.founding.promisedEra = msg.Seq
	m.send(to, Message{Kind: FoundingReply, Seq: msg.Seq, Voter: m.identity, Have: m.view.ID, AfterSurvey: true})
}
