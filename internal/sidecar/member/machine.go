package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the failure detector of one member. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	self  Record
	now   time.Duration
	out   []Action
	ended bool   // left, or yielded its name
	seq   uint64 // of the last request

	peers        map[string]*peer
	names        []string // of peers, sorted: nothing may follow from the order of a map
	timed        []*peer  // those with a suspicion or a damped return
	digest       uint64   // see presentDigest
	presentCount int      // processes present, including this one
	digestValid  bool     // digest and presentCount are up to date

	// Probes.
	probe         *probe   // under way; nil: none
	probeOrder    []string // whom to probe in the rest of this round
	probeDue      time.Duration
	failedPingDue time.Duration
	relays        []relayedProbe
	healthScore   int // Lifeguard's: 0 healthy to maxHealthScore

	// Dissemination.
	broadcasts broadcastQueue
	gossipDue  time.Duration
	// correction is what is known of the sender of the message being answered, if that is not what it says of itself.
	correction Record

	// State exchange with the addresses to join by.
	seedNames   map[string]string // address to the name of the process that answered there: it may say that it is reached elsewhere
	seedSyncDue time.Duration
	joinBackoff time.Duration
	joinAddr    string // address of the last request
	joinSeq     uint64 // its number

	// State exchange with members whose digests differ.
	divergedSince   time.Duration // since when digests differ; -1: they do not
	equalDigests    int           // equal digests received in a row
	syncDue         time.Duration // no exchange is requested before
	syncWindowStart time.Duration // begin of the pace in which syncsInWindow counts
	syncsInWindow   int           // whole tables requested of this process in that pace
}

// peer is what is known of another process.
type peer struct {
	Record
	reported    State // last reported to the caller; differs from the record's state only while a return is damped
	stateSince  time.Duration
	lastContact time.Duration // of the last message received from it; -1: none
	suspicion   *suspicion    // nil: not suspect
	returns     []time.Duration
	dampedUntil time.Duration // until when a return is not reported; 0: none is damped
	damping     time.Duration // duration of the last damping
}

func (p *peer) present() bool { return p.Present() }

// New makes a machine. now is the present time on the monotonic clock that Step is called with.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)), now: now,
		peers: make(map[string]*peer), seedNames: make(map[string]string), divergedSince: -1}
	m.self = Record{Name: cfg.Name, Addr: cfg.Addr, Boot: cfg.Boot, Incarnation: max(1, cfg.Incarnation), Zone: cfg.Zone, Reads: cfg.Reads}
	m.seq = uint64(m.rng.Uint32()) // so that an answer to an earlier process of this name does not pass for one to this process
	m.probeDue = now + m.jitter(cfg.Pace)
	m.seedSyncDue = now
	m.joinBackoff = joinBackoffMin * cfg.Pace
	m.failedPingDue = now + m.jitter(failedPingInterval*cfg.Pace)
	m.syncDue = now
	m.gossipDue = now
	return m
}

// Next is the time by which Step has to be called with Tick, if no event comes before.
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

// Step takes an event at a time, on the clock of New, that is not before that of the last call. The actions are valid until
// the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.out = m.out[:0]
	if m.ended {
		return nil
	}
	now = max(now, m.now)
	m.allowForStall(now - m.Next())
	m.now = now
	switch event := event.(type) {
	case Received:
		m.receive(event.From, event.Message)
	case Leave:
		m.announceLeave()
	case Seeds:
		m.cfg.Join = event.Join
		clear(m.seedNames)
		m.seedSyncDue = now
	}
	if !m.ended {
		m.runTimers()
	}
	return m.out
}

// allowForStall extends the pending timeouts after this process was stalled: answers may be unread in its sockets, and others
// must not be suspected for that. It also raises the health score.
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

// jitter draws a duration from 0 to d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// scaledPace is a pace, longer the higher the health score.
func (m *Machine) scaledPace() time.Duration { return time.Duration(m.healthScore+1) * m.cfg.Pace }

// runTimers does what is due.
func (m *Machine) runTimers() {
	m.runPeerTimers()
	m.runRelayTimers()
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
		m.gossip()
	}
}

// runPeerTimers ends the suspicions and dampings that are over.
func (m *Machine) runPeerTimers() {
	for _, p := range slices.Clone(m.timed) {
		if s := p.suspicion; s != nil && s.deadline <= m.now {
			failed := p.Record
			failed.State, failed.SuspectedBy = Failed, ""
			m.apply(p, failed)
		}
		if p.dampedUntil > 0 && p.dampedUntil <= m.now {
			p.dampedUntil = 0
			m.report(p)
		}
	}
	m.timed = slices.DeleteFunc(m.timed, func(p *peer) bool { return p.suspicion == nil && p.dampedUntil == 0 })
}

// watchTimers has runPeerTimers look at a process.
func (m *Machine) watchTimers(p *peer) {
	if !slices.Contains(m.timed, p) {
		m.timed = append(m.timed, p)
	}
}

// sample draws up to n different processes that fit.
func (m *Machine) sample(n int, matches func(*peer) bool) []*peer {
	if len(m.names) == 0 {
		return nil
	}
	var selected []*peer
	add := func(name string) {
		if p := m.peers[name]; len(selected) < n && matches(p) && !slices.Contains(selected, p) {
			selected = append(selected, p)
		}
	}
	for range 4 * n {
		add(m.names[m.rng.IntN(len(m.names))])
	}
	// Few may fit: then all are looked at, from a position that is drawn.
	start := m.rng.IntN(len(m.names))
	for i := 0; len(selected) < n && i < len(m.names); i++ {
		add(m.names[(start+i)%len(m.names)])
	}
	return selected
}

// nextSeq numbers a request.
func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

// reap forgets the processes that failed or left long ago.
func (m *Machine) reap() {
	for _, name := range slices.Clone(m.names) {
		if p := m.peers[name]; !p.Present() && m.now-p.stateSince > reapAfter*m.cfg.Pace {
			delete(m.peers, name)
			m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == name })
		}
	}
}
