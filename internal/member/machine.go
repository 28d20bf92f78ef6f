package member

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the state of one member. It is not safe for use by several goroutines.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	self  Record
	peers map[string]*peer
	names []string // of peers, sorted: nothing may follow from the order of a map

	probeOrder   []string // whom to probe, this round
	probe        *probe
	healthScore  int // of the doubt of oneself
	seq          uint64
	relays       []relayedProbe
	broadcasts   broadcastQueue
	timed        []*peer // with a suspicion or a held return
	digest       uint64
	presentCount int               // of those present, with this one
	digestValid  bool              // digest and count are up to date
	seedNames    map[string]string // address to join by to the name of who answered there: it may say that it is reached elsewhere
	joinAddr     string            // the address that was asked last, with number askedSeq
	joinSeq      uint64
	correction   Record // what is known of the asker, if that is not what it says; for the answer that is being made

	probeDue, gossipDue, failedPingDue, seedSyncDue, syncDue time.Duration
	joinBackoff                                              time.Duration
	divergedSince                                            time.Duration // -1: they do not
	equalDigests                                             int           // digests in a row that were the same
	ended                                                    bool
	syncWindowStart                                          time.Duration // begin of the pace in which
	syncsInWindow                                            int           // so many whole tables were asked for
	now                                                      time.Duration
	out                                                      []Action
}

type peer struct {
	Record
	reported    State // what has been told; Alive and Suspect differ from Failed only after a hold
	stateSince  time.Duration
	lastContact time.Duration // of the last message from it; -1: none
	suspicion   *suspicion
	returns     []time.Duration // of returns
	dampedUntil time.Duration   // until when a return is not told; 0: none is held
	damping     time.Duration
}

// New makes a machine. now is the present on the clock that Step is called with.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)), peers: map[string]*peer{}, seedNames: map[string]string{}, now: now, divergedSince: -1}
	m.self = Record{Name: cfg.Name, Addr: cfg.Addr, Boot: cfg.Boot, Incarnation: max(1, cfg.Incarnation), Zone: cfg.Zone, Reads: cfg.Reads}
	m.seq = uint64(m.rng.Uint32()) // an answer to an earlier process of this name must not pass for one to this one
	m.probeDue = now + m.jitter(cfg.Pace)
	m.seedSyncDue = now
	m.joinBackoff = joinBackoffMin * cfg.Pace
	m.failedPingDue = now + m.jitter(failedPingInterval*cfg.Pace)
	m.syncDue = now
	m.gossipDue = now
	return m
}

// Next is when Step is to be called with Tick at the latest.
func (m *Machine) Next() time.Duration {
	if m.ended {
		return math.MaxInt64
	}
	next := min(m.probeDue, m.failedPingDue, m.seedSyncDue)
	if !m.broadcasts.empty() {
		next = min(next, m.gossipDue)
	}
	if m.probe != nil && m.probe.ackDeadline > 0 {
		next = min(next, m.probe.ackDeadline)
	}
	for _, h := range m.relays {
		if h.nackDue > 0 {
			next = min(next, h.nackDue)
		}
	}
	for _, p := range m.timed {
		if p.suspicion != nil {
			next = min(next, p.suspicion.deadline)
		}
		if p.dampedUntil > 0 {
			next = min(next, p.dampedUntil)
		}
	}
	return next
}

// Step takes an event at a time that is never before that of the last call. The actions are the caller's until the
// next call.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	m.out = m.out[:0]
	if m.ended {
		return nil
	}
	now = max(now, m.now)
	m.allowForStall(now - m.Next())
	m.now = now
	switch e := e.(type) {
	case Received:
		m.receive(e.From, e.Message)
	case Leave:
		m.announceLeave()
	case Seeds:
		m.cfg.Join = e.Join
		clear(m.seedNames)
		m.seedSyncDue = now
	}
	if !m.ended {
		m.runTimers()
	}
	return m.out
}

// allowForStall moves what is being waited for when the process was held up: answers may lie unread, and who slept judges no
// one by that.
func (m *Machine) allowForStall(late time.Duration) {
	if late <= time.Duration(stallThreshold*float64(m.cfg.Pace)) {
		return
	}
	m.healthScore = min(maxHealthScore, m.healthScore+1)
	m.probeDue += late
	if m.probe != nil && m.probe.ackDeadline > 0 {
		m.probe.ackDeadline += late
	}
	for i := range m.relays {
		if m.relays[i].nackDue > 0 {
			m.relays[i].nackDue += late
		}
		m.relays[i].endDue += late
	}
	for _, p := range m.timed {
		if s := p.suspicion; s != nil {
			s.begunAt += late
			s.deadline += late
		}
	}
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// stretched is a pace, longer while this process doubts itself.
func (m *Machine) scaledPace() time.Duration { return time.Duration(m.healthScore+1) * m.cfg.Pace }

func (m *Machine) runTimers() {
	for _, p := range slices.Clone(m.timed) {
		if s := p.suspicion; s != nil && s.deadline <= m.now {
			r := p.Record
			r.State, r.SuspectedBy = Failed, ""
			m.apply(p, r)
		}
		if p.dampedUntil > 0 && p.dampedUntil <= m.now {
			p.dampedUntil = 0
			m.report(p)
		}
	}
	m.timed = slices.DeleteFunc(m.timed, func(p *peer) bool { return p.suspicion == nil && p.dampedUntil == 0 })
	m.relays = slices.DeleteFunc(m.relays, func(h relayedProbe) bool { return h.endDue <= m.now })
	for i := range m.relays {
		if h := &m.relays[i]; h.nackDue > 0 && h.nackDue <= m.now {
			h.nackDue = 0
			m.send(h.requester, Message{Kind: Nack, Seq: h.requesterSeq})
		}
	}
	if p := m.probe; p != nil && p.ackDeadline > 0 && p.ackDeadline <= m.now && !p.acked {
		p.ackDeadline = 0
		m.requestIndirectProbes(p)
	}
	if m.probeDue <= m.now {
		m.finishProbe()
		m.startProbe()
		m.probeDue = m.now + m.scaledPace()
	}
	if m.failedPingDue <= m.now {
		m.failedPingDue = m.now + failedPingInterval*m.cfg.Pace/2 + m.jitter(failedPingInterval*m.cfg.Pace)
		for _, p := range m.sample(1, func(p *peer) bool { return p.State == Failed }) {
			m.ping(p, m.nextSeq())
		}
		m.reap()
	}
	if m.seedSyncDue <= m.now {
		m.syncWithSeed()
	}
	if !m.broadcasts.empty() && m.gossipDue <= m.now {
		m.gossipDue = m.now + time.Duration(gossipFraction*float64(m.cfg.Pace))
		for _, p := range m.sample(gossipNodes, (*peer).present) {
			m.send(p.Record, Message{Kind: Gossip})
		}
		if len(m.names) == 0 {
			m.broadcasts.clear()
		}
	}
}

func (p *peer) present() bool { return p.Present() }

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

func (m *Machine) receive(from Record, msg Message) {
	if from.Valid() != nil || from.Name == m.self.Name {
		if from.Name == m.self.Name && from.Boot != m.self.Boot {
			m.receiveSelf(from)
		}
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
	if known == nil { // no room for it
		return
	}
	// An asker that was started anew does not know how far its name has come.
	if known.Boot != from.Boot || known.Incarnation > from.Incarnation {
		m.correction = known.Record
		defer func() { m.correction = Record{} }()
	}
	// It is reached where it says it is, also while another record of its name still counts.
	answer := Record{Name: from.Name, Addr: from.Addr}
	switch msg.Kind {
	case Ping:
		if msg.To == m.self.Name {
			m.send(answer, Message{Kind: Ack, Seq: msg.Seq})
		}
	case PingReq:
		if msg.Target.Valid() == nil && len(m.relays) < MaxMembers {
			h := relayedProbe{seq: m.nextSeq(), requester: answer, requesterSeq: msg.Seq,
				nackDue: m.now + time.Duration(ackTimeoutFraction*float64(m.cfg.Pace)), endDue: m.now + 2*m.cfg.Pace}
			m.relays = append(m.relays, h)
			m.send(Record{Name: msg.Target.Name, Addr: msg.Target.Addr}, Message{Kind: Ping, Seq: h.seq, To: msg.Target.Name})
		}
	case Ack:
		m.receiveAck(msg.Seq)
	case Nack:
		if m.probe != nil && m.probe.seq == msg.Seq {
			m.probe.nacksReceived++
		}
	case Sync:
		m.answerSync(answer, msg.Seq)
	case SyncReply:
		if msg.Partial { // the next one that has another table is asked for all of it
			m.divergedSince = m.now - (syncAfter+1)*m.cfg.Pace
			m.syncDue = m.now + m.jitter(m.cfg.Pace)
		}
		if msg.Seq == m.joinSeq && m.joinAddr != "" && len(m.seedNames) < MaxMembers {
			m.seedNames[m.joinAddr], m.joinAddr = from.Name, ""
		}
	}
	if msg.Digest != 0 {
		m.compareDigest(answer, msg.Digest)
	}
}

// send adds what goes with every datagram. What the receiver has to hear for its own sake comes first.
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

// tell queues news.
func (m *Machine) broadcast(r Record) { m.broadcasts.add(r) }

// pick draws up to n different processes.
func (m *Machine) sample(n int, fits func(*peer) bool) []*peer {
	if len(m.names) == 0 {
		return nil
	}
	var drawn []*peer
	add := func(name string) {
		if p := m.peers[name]; len(drawn) < n && fits(p) && !slices.Contains(drawn, p) {
			drawn = append(drawn, p)
		}
	}
	for range 4 * n {
		add(m.names[m.rng.IntN(len(m.names))])
	}
	// Few may fit: then all are looked at, from a place that is drawn.
	from := m.rng.IntN(len(m.names))
	for i := 0; len(drawn) < n && i < len(m.names); i++ {
		add(m.names[(from+i)%len(m.names)])
	}
	return drawn
}

func (m *Machine) announceLeave() {
	m.self.State = Left
	m.broadcast(m.self)
	told := m.sample(8, (*peer).present)
	for _, p := range told {
		m.send(p.Record, Message{Kind: Gossip})
		m.send(p.Record, Message{Kind: Gossip}) // a datagram may be lost
	}
	m.ended = true
}

// reap drops those that failed or left long ago.
func (m *Machine) reap() {
	for _, name := range slices.Clone(m.names) {
		if p := m.peers[name]; !p.Present() && m.now-p.stateSince > reapAfter*m.cfg.Pace {
			delete(m.peers, name)
			m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == name })
		}
	}
}
