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
	ended bool   // this process has left, or yielded its name
	seq   uint64 // number of the last request

	peers        map[string]*peer
	names        []string // names of peers, sorted: iteration must not depend on the order of a map
	timed        []*peer  // peers with a suspicion or a damped return
	digest       uint64   // digest of the processes present, see presentDigest
	presentCount int      // number of processes present, including this one
	digestValid  bool     // digest and presentCount are up to date

	// Probes.
	probe         *probe   // probe of the current protocol period; nil: none
	probeOrder    []string // names of the processes to probe in the rest of this round
	probeDue      time.Duration
	failedPingDue time.Duration
	relays        []relayedProbe
	healthScore   int // Lifeguard's local health score, from 0 (healthy) to maxHealthScore

	// Dissemination.
	broadcasts broadcastQueue
	gossipDue  time.Duration
	// correction is the known record of the sender of the message being processed, if that record takes precedence over the
	// sender's own one. Its name is empty if there is none.
	correction Record

	// State exchange with the seed addresses.
	seedNames   map[string]string // name of the process that answered at each seed address; its record may have another address
	seedSyncDue time.Duration
	joinBackoff time.Duration
	joinAddr    string // seed address that the last request was sent to; empty: the request was answered
	joinSeq     uint64 // number of the last request to a seed address

	// State exchange with members whose digests differ.
	divergedSince   time.Duration // since when digests have differed; -1: they do not differ
	equalDigests    int           // number of consecutive equal digests received
	syncDue         time.Duration // earliest time of the next request for an exchange
	syncWindowStart time.Duration // start of the current window of one pace
	syncsInWindow   int           // number of table requests received in that window
}

// peer is the state of another process, as known to this one.
type peer struct {
	Record
	reported    State           // state last reported to the caller; it differs from the record's state only while a return is damped
	stateSince  time.Duration   // time of the last change of the state
	lastContact time.Duration   // time of the last message received from the process; -1: none was received
	suspicion   *suspicion      // nil: the process is not suspect
	returns     []time.Duration // times of the process's returns within returnWindow
	dampedUntil time.Duration   // time until which a return is not reported; 0: no return is damped
	damping     time.Duration   // duration of the last damping
}

func (p *peer) present() bool { return p.Present() }

// New creates a machine. now is the current time on the monotonic clock of the calls to Step.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)), now: now,
		peers: make(map[string]*peer), seedNames: make(map[string]string), divergedSince: -1}
	m.self = Record{Name: cfg.Name, Addr: cfg.Addr, Boot: cfg.Boot, Incarnation: max(1, cfg.Incarnation), Zone: cfg.Zone, Reads: cfg.Reads}
	m.seq = uint64(m.rng.Uint32()) // so that an answer to an earlier process of this name is not taken for an answer to this one
	m.probeDue = now + m.jitter(cfg.Pace)
	m.seedSyncDue = now
	m.joinBackoff = joinBackoffMin * cfg.Pace
	m.failedPingDue = now + m.jitter(failedPingInterval*cfg.Pace)
	m.syncDue = now
	m.gossipDue = now
	return m
}

// Next returns the time by which Step has to be called with Tick, if no other event occurs before.
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

// Step processes an event and returns the resulting actions, which are valid until the next call. now is on the same clock as in
// New, and not before the time of the previous call.
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

// allowForStall extends the pending timeouts if this step is late, since this process was then stalled: its sockets may contain
// unread answers, and the processes that sent them must not be suspected. It also raises the health score.
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

// jitter returns a random duration from 0 to d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// scaledPace returns the pace scaled by the health score: the higher the score, the longer the pace.
func (m *Machine) scaledPace() time.Duration { return time.Duration(m.healthScore+1) * m.cfg.Pace }

// runTimers runs all timers that are due.
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

// runPeerTimers declares suspects failed whose deadline has passed, and reports damped returns whose damping has ended.
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

// watchTimers adds a process to those whose timers runPeerTimers checks.
func (m *Machine) watchTimers(p *peer) {
	if !slices.Contains(m.timed, p) {
		m.timed = append(m.timed, p)
	}
}

// sample returns up to n different random processes that match.
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
	// If too few were found, few may match: all processes are checked, starting at a random position.
	start := m.rng.IntN(len(m.names))
	for i := 0; len(selected) < n && i < len(m.names); i++ {
		add(m.names[(start+i)%len(m.names)])
	}
	return selected
}

// nextSeq returns the number of a new request.
func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

// reap removes the processes that failed or left more than reapAfter ago.
func (m *Machine) reap() {
	for _, name := range slices.Clone(m.names) {
		if p := m.peers[name]; !p.Present() && m.now-p.stateSince > reapAfter*m.cfg.Pace {
			delete(m.peers, name)
			m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == name })
		}
	}
}
