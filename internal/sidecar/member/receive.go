package member

// receive processes a message: first the sender's record of itself and the records in the message, then its request or answer.
func (m *Machine) receive(from Record, msg Message) {
	if from.Name == m.self.Name {
		if from.Boot != m.self.Boot {
			m.receiveSelf(from)
		}
		return
	}
	if from.Valid() != nil {
		return
	}
	from.State, from.SuspectedBy = Alive, ""
	m.merge(from)
	if p := m.peers[from.Name]; p != nil && p.Boot == from.Boot {
		p.lastContact = m.now
	}
	for _, r := range msg.Updates {
		if m.ended {
			return
		}
		if r.Valid() == nil {
			m.merge(r)
		}
	}
	if m.ended {
		return
	}
	known := m.peers[from.Name]
	if known == nil { // the table is full
		return
	}
	// A restarted process does not know which incarnation its name has reached.
	if known.Boot != from.Boot || known.Incarnation > from.Incarnation {
		m.correction = known.Record
		defer func() { m.correction = Record{} }()
	}
	// The answer is sent to the address in the sender's own record, also while another record of its name takes precedence.
	sender := Record{Name: from.Name, Addr: from.Addr}
	m.answer(sender, msg)
	if msg.Digest != 0 {
		m.compareDigest(sender, msg.Digest)
	}
}

// answer handles the request in a message, or processes the message as an answer.
func (m *Machine) answer(sender Record, msg Message) {
	switch msg.Kind {
	case Ping:
		if msg.To == m.self.Name {
			m.send(sender, Message{Kind: Ack, Seq: msg.Seq})
		}
	case PingReq:
		m.relayProbe(sender, msg)
	case Ack:
		m.receiveAck(msg.Seq)
	case Nack:
		if m.probe != nil && m.probe.seq == msg.Seq {
			m.probe.nacksReceived++
		}
	case Sync:
		m.answerSync(sender, msg.Seq)
	case SyncReply:
		m.receiveSyncReply(sender.Name, msg)
	}
}
