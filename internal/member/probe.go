package member

import (
	"slices"
	"time"
)

type probe struct {
	name          string
	seq           uint64
	ackDeadline   time.Duration // 0: the others are asked already
	nacksExpected int
	nacksReceived int
	acked         bool
}

// help is a probe for another.
type relayedProbe struct {
	seq          uint64 // ours
	requester    Record
	requesterSeq uint64
	nackDue      time.Duration // 0: said already
	endDue       time.Duration
}

// startProbe asks the next one of this round.
func (m *Machine) startProbe() {
	for range 2 {
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

func (m *Machine) requestIndirectProbes(pr *probe) {
	p := m.peers[pr.name]
	if p == nil {
		return
	}
	for _, h := range m.sample(indirectProbers, func(q *peer) bool { return q.State == Alive && q.Name != pr.name }) {
		pr.nacksExpected++
		m.send(h.Record, Message{Kind: PingReq, Seq: pr.seq, Target: Record{Name: p.Name, Addr: p.Addr}})
	}
}

// finishProbe judges the probe of the pace that is over.
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
	// Helpers that say nothing at all speak against this process, not against the one that was asked.
	if missing := pr.nacksExpected - pr.nacksReceived; missing > 0 {
		m.healthScore = min(maxHealthScore, m.healthScore+missing)
	} else if pr.nacksExpected == 0 {
		m.healthScore = min(maxHealthScore, m.healthScore+1)
	}
	if p := m.peers[pr.name]; p != nil && p.Present() {
		r := p.Record
		r.State, r.SuspectedBy = Suspect, m.self.Name
		m.merge(r)
	}
}

func (m *Machine) ping(p *peer, seq uint64) {
	m.send(p.Record, Message{Kind: Ping, Seq: seq, To: p.Name})
}

func (m *Machine) receiveAck(seq uint64) {
	if p := m.probe; p != nil && p.seq == seq {
		p.acked, p.ackDeadline = true, 0
		return
	}
	for i, h := range m.relays {
		if h.seq == seq {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.send(h.requester, Message{Kind: Ack, Seq: h.requesterSeq})
			return
		}
	}
}
