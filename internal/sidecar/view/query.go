package view

// runQueryTimer queries a random voter if the stamps in answers to probes are not sufficient: while this process awaits a group,
// knows no leader, has a pending view, or less than a quarter of its lease is left.
func (m *Machine) runQueryTimer() {
	m.queryDue = m.now + queryInterval*m.cfg.Pace/2 + m.jitter(queryInterval*m.cfg.Pace)
	leaderless := m.voter != nil && m.leaderName() == "" // this voter may have been replaced without having received the change
	if m.awaitsGroup() || leaderless || m.pending != nil || !m.HoldsLease(m.now+m.cfg.Lease/4) {
		m.query(m.randomVoter())
	}
	for seq, at := range m.queries {
		if m.now-at > m.cfg.Lease {
			delete(m.queries, seq)
		}
	}
}

// randomVoter returns the name of a random voter to query, of the group as far as it is known, or of the configured voters;
// empty: none is present.
func (m *Machine) randomVoter() string {
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
	present := names[:0:0]
	for _, name := range names {
		if r, ok := m.cfg.Member(name); name != m.cfg.Name && ok && r.Present() {
			present = append(present, name)
		}
	}
	if len(present) == 0 {
		return ""
	}
	return present[m.rng.IntN(len(present))]
}

// query requests the view and the group of voters that another member knows.
func (m *Machine) query(name string) {
	if name == "" || name == m.cfg.Name {
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
	m.send(name, msg)
}

// answerQuery answers a query with this member's view and group of voters.
func (m *Machine) answerQuery(to string, query Message) {
	group, leader := m.VoterGroup()
	msg := Message{Kind: QueryReply, Seq: query.Seq, Group: group, Leader: leader, Stamp: m.Stamp(m.now)}
	if m.hasView && m.view.ID != query.Have {
		msg.View = &m.view
	}
	if m.awaitsGroup() {
		msg.Voter = m.identity
	}
	m.send(to, msg)
}

// receiveReply processes the answer to a query.
func (m *Machine) receiveReply(from string, reply Message) {
	requestedAt, ours := m.queries[reply.Seq]
	delete(m.queries, reply.Seq)
	if !ours { // without the time of the query the stamp cannot be evaluated
		return
	}
	m.learnGroup(reply)
	m.receiveStamp(from, reply.Stamp, requestedAt, reply.View)
}

// learnGroup processes the group of voters that another member knows.
func (m *Machine) learnGroup(msg Message) {
	if msg.Group.Era == 0 {
		if msg.Voter != 0 && m.founding.era != 0 { // the other member is a voter without a group, too
			m.founding.due = min(m.founding.due, m.now+m.cfg.Pace)
		}
		return
	}
	if m.voter != nil {
		m.leaveReplacedGroup(msg)
		return
	}
	if msg.Group.Era >= m.group.Era || !m.mayBeCurrent() {
		m.group, m.leader = msg.Group, msg.Leader
	}
	m.joinGroup(msg.Group)
}

// leaveReplacedGroup makes this voter leave its group if another member knows a group that has replaced it, or that has
// replaced this voter.
func (m *Machine) leaveReplacedGroup(msg Message) {
	own := m.voter.decided
	_, included := msg.Group.voter(m.voter.id)
	if msg.Group.Era == own.Group.Era && !included && len(msg.Group.Voters) > 0 && m.leaderName() == "" &&
		msg.Stamp.Age > 0 && msg.Stamp.ID.Number > own.View.ID.Number {
		m.leaveGroup()
		return
	}
	// A group of a later era has replaced this one: it was founded by RECOVER, or after the other voters had lost their state.
	if msg.Group.Era > own.Group.Era && msg.Stamp.Age > 0 {
		m.notice(true, "a group of voters of the later era %x has replaced this voter's group: its vote is discarded", msg.Group.Era)
		m.discardVoter()
		m.group, m.leader = msg.Group, msg.Leader
	}
}
