package member

import (
	"math/bits"
	"time"
)

// leaveFanout is the number of members that a shutdown is announced to.
const leaveFanout = 8

// send sends a message with as many updates as its datagram has room for. The first update is a record of the receiver that the
// receiver has to refute or to correct, if there is one.
func (m *Machine) send(to Record, msg Message) {
	if msg.Kind == Ping || msg.Kind == Ack {
		msg.Digest = m.presentDigest()
	}
	if m.correction.Name != "" && m.correction.Name == to.Name {
		msg.Updates = append(msg.Updates, m.correction)
	} else if p := m.peers[to.Name]; p != nil && p.State != Alive {
		msg.Updates = append(msg.Updates, p.Record)
	}
	msg.Updates = m.broadcasts.appendTo(msg.Updates, to.Name, retransmitMult*bits.Len(uint(m.Present())))
	m.out = append(m.out, Send{To: to, Message: msg})
}

// broadcast queues an update to be sent with later messages.
func (m *Machine) broadcast(r Record) { m.broadcasts.add(r) }

// gossip sends queued updates to a few random members.
func (m *Machine) gossip() {
	m.gossipDue = m.now + time.Duration(gossipFraction*float64(m.cfg.Pace))
	for _, p := range m.sample(gossipNodes, (*peer).present) {
		m.send(p.Record, Message{Kind: Gossip})
	}
	if len(m.names) == 0 {
		m.broadcasts.clear()
	}
}

// announceLeave announces the shutdown of this process to leaveFanout random members, and ends the machine.
func (m *Machine) announceLeave() {
	m.self.State = Left
	m.broadcast(m.self)
	for _, p := range m.sample(leaveFanout, (*peer).present) {
		m.send(p.Record, Message{Kind: Gossip})
		m.send(p.Record, Message{Kind: Gossip}) // sent twice, since a datagram may be lost
	}
	m.ended = true
}
