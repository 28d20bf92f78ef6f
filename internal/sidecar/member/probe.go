package member

import (
	"slices"
	"time"
)

// probe is the probe of one process in the current protocol period.
type probe struct {
	name          string
	seq           uint64
	ackDeadline   time.Duration // deadline of the direct probe; 0: indirect probes have been requested, or the probe was answered
	nacksExpected int           // number of processes that were asked for an indirect probe
	nacksReceived int
	acked         bool
}

// relayedProbe is a probe on behalf of another process.
type relayedProbe struct {
	seq          uint64 // number of the ping to the target
	requester    Record
	requesterSeq uint64        // number of the requester's PingReq
	nackDue      time.Duration // time at which a Nack is sent to the requester; 0: it was sent
	endDue       time.Duration // time at which the relayed probe is removed
}

// startProbe pings the next process of this round. Each round visits all present processes in a new random order.
func (m *Machine) startProbe() {
	for range 2 { // first the rest of this round, then a new round
		for len(m.probeOrder) > 0 {
			p := m.peers[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if p != nil && p.Present() {
				m.probe = &probe{name: p.Name, seq: m.nextSeq(), ackDeadline: m.now + time.Duration(ackTimeoutFraction*float64(m.scaledPace()))}
				m.ping(p, m.probe.seq)
				return
			}
		}
		m.probeOrder = append(m.probeOrder[:0:0], m.names...)
		m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
}

// ping requests an Ack from a process.
func (m *Machine) ping(p *peer, seq uint64) {
	m.send(p.Record, Message{Kind: Ping, Seq: seq, To: p.Name})
}

// requestIndirectProbes asks other members to probe a process that did not answer in time.
func (m *Machine) requestIndirectProbes(pr *probe) {
	target := m.peers[pr.name]
	if target == nil {
		return
	}
	for _, relay := range m.sample(indirectProbers, func(p *peer) bool { return p.State == Alive && p.Name != pr.name }) {
		pr.nacksExpected++
		m.send(relay.Record, Message{Kind: PingReq, Seq: pr.seq, Target: Record{Name: target.Name, Addr: target.Addr}})
	}
}

// finishProbe evaluates the probe of the protocol period that has ended.
func (m *Machine) finishProbe() {
	pr := m.probe
	m.probe = nil
	if pr == nil {
		return
	}
	if pr.acked {
		m.healthScore = max(0, m.healthScore-1)
		return
	}
	// Missing Nacks indicate a problem of this process, not of the probed one (Lifeguard).
	if missing := pr.nacksExpected - pr.nacksReceived; missing > 0 {
		m.healthScore = min(maxHealthScore, m.healthScore+missing)
	} else if pr.nacksExpected == 0 {
		m.healthScore = min(maxHealthScore, m.healthScore+1)
	}
	if p := m.peers[pr.name]; p != nil && p.Present() {
		suspect := p.Record
		suspect.State, suspect.SuspectedBy = Suspect, m.self.Name
		m.merge(suspect)
	}
}

// relayProbe pings the target of a PingReq on behalf of the requester.
func (m *Machine) relayProbe(requester Record, request Message) {
	target := request.Target
	if target.Valid() != nil || len(m.relays) >= MaxMembers {
		return
	}
	relay := relayedProbe{seq: m.nextSeq(), requester: requester, requesterSeq: request.Seq,
		nackDue: m.now + time.Duration(ackTimeoutFraction*float64(m.cfg.Pace)), endDue: m.now + 2*m.cfg.Pace}
	m.relays = append(m.relays, relay)
	m.send(Record{Name: target.Name, Addr: target.Addr}, Message{Kind: Ping, Seq: relay.seq, To: target.Name})
}

// runRelayTimers removes relayed probes that have ended, and sends the Nacks that are due.
func (m *Machine) runRelayTimers() {
	m.relays = slices.DeleteFunc(m.relays, func(r relayedProbe) bool { return r.endDue <= m.now })
	for i := range m.relays {
		if r := &m.relays[i]; r.nackDue > 0 && r.nackDue <= m.now {
			r.nackDue = 0
			m.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
}

// receiveAck processes the answer to a ping, and forwards it if the ping was sent on behalf of another process.
func (m *Machine) receiveAck(seq uint64) {
	if p := m.probe; p != nil && p.seq == seq {
		p.acked, p.ackDeadline = true, 0
		return
	}
	for i, r := range m.relays {
		if r.seq == seq {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq})
			return
		}
	}
}
