package view

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
