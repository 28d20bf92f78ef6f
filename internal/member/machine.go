package member

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Machine is the state of one member. It is not safe for use by several goroutines.
type Machine struct {
	cfg   Config
	rng   *rand.Rand
	self  Record
	peers map[string]*peer
	names []string // of peers, sorted: nothing may follow from the order of a map

	order   []string // whom to probe, this round
	probe   *probe
	score   int // of the doubt of oneself
	seq     uint64
	helping []help
	news    newsQueue
	waiting []*peer // with a suspicion or a held return
	digest  uint64
	count   int               // of those present, with this one
	summed  bool              // digest and count are up to date
	seeds   map[string]string // address to join by to the name of who answered there: it may say that it is reached elsewhere
	asked   string            // the address that was asked last, with number askedSeq
	askedAs uint64
	correct Record // what is known of the asker, if that is not what it says; for the answer that is being made

	periodDue, gossipDue, failedDue, seedDue, syncDue time.Duration
	joinWait                                          time.Duration
	differsSince                                      time.Duration // -1: they do not
	agreeing                                          int           // digests in a row that were the same
	ended                                             bool
	tablesAt                                          time.Duration // begin of the pace in which
	tables                                            int           // so many whole tables were asked for
	now                                               time.Duration
	out                                               []Action
}

type peer struct {
	Record
	shown     State // what has been told; Alive and Suspect differ from Failed only after a hold
	since     time.Duration
	heard     time.Duration // of the last message from it; -1: none
	suspicion *suspicion
	flaps     []time.Duration // of returns
	hold      time.Duration   // until when a return is not told; 0: none is held
	holdFor   time.Duration
}

type suspicion struct {
	since, until time.Duration
	by           []string
}

type probe struct {
	name       string
	seq        uint64
	directDue  time.Duration // 0: the others are asked already
	nacksAsked int
	nacks      int
	acked      bool
}

// help is a probe for another.
type help struct {
	seq     uint64 // ours
	asker   Record
	askSeq  uint64
	nackDue time.Duration // 0: said already
	endDue  time.Duration
}

// New makes a machine. now is the present on the clock that Step is called with.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)), peers: map[string]*peer{}, seeds: map[string]string{}, now: now, differsSince: -1}
	m.self = Record{Name: cfg.Name, Addr: cfg.Addr, Boot: cfg.Boot, Inc: max(1, cfg.Inc), Zone: cfg.Zone, Reads: cfg.Reads}
	m.seq = uint64(m.rng.Uint32()) // an answer to an earlier process of this name must not pass for one to this one
	m.periodDue = now + m.jitter(cfg.Pace)
	m.seedDue = now
	m.joinWait = joinFirst * cfg.Pace
	m.failedDue = now + m.jitter(askFailed*cfg.Pace)
	m.syncDue = now
	m.gossipDue = now
	return m
}

// Self is the record of this process.
func (m *Machine) Self() Record { return m.self }

// Score is the doubt of oneself, 0 to 8.
func (m *Machine) Score() int { return m.score }

// Known is a process other than this one, as it is told to those above: a return that is held still counts as failed.
type Known struct {
	Record
	Since time.Duration // of the state
	Heard time.Duration // of its last message; -1: none
}

// Others are all that is known, by name.
func (m *Machine) Others() []Known {
	all := make([]Known, 0, len(m.names))
	for _, name := range m.names {
		p := m.peers[name]
		k := Known{p.Record, p.since, p.heard}
		k.State = p.shown
		all = append(all, k)
	}
	return all
}

// Those are the records of those present, this process among them, by name.
func (m *Machine) Those() []Record {
	all := make([]Record, 0, m.Present())
	own := false
	for _, name := range m.names {
		if !own && name > m.self.Name {
			all, own = append(all, m.self), true
		}
		if p := m.peers[name]; p.shown <= Suspect {
			all = append(all, p.Record)
		}
	}
	if !own {
		all = append(all, m.self)
	}
	return all
}

// Peer is the record of one other process.
func (m *Machine) Peer(name string) (Record, bool) {
	p, ok := m.peers[name]
	if !ok {
		return Record{}, false
	}
	r := p.Record
	r.State = p.shown
	return r, true
}

// Present is how many are there, with this one.
func (m *Machine) Present() int {
	m.sum()
	return m.count
}

// Next is when Step is to be called with Tick at the latest.
func (m *Machine) Next() time.Duration {
	if m.ended {
		return math.MaxInt64
	}
	next := min(m.periodDue, m.failedDue, m.seedDue)
	if !m.news.empty() {
		next = min(next, m.gossipDue)
	}
	if m.probe != nil && m.probe.directDue > 0 {
		next = min(next, m.probe.directDue)
	}
	for _, h := range m.helping {
		if h.nackDue > 0 {
			next = min(next, h.nackDue)
		}
	}
	for _, p := range m.waiting {
		if p.suspicion != nil {
			next = min(next, p.suspicion.until)
		}
		if p.hold > 0 {
			next = min(next, p.hold)
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
	m.lateBy(now - m.Next())
	m.now = now
	switch e := e.(type) {
	case Received:
		m.received(e.From, e.Message)
	case Leave:
		m.leave()
	case Seeds:
		m.cfg.Join = e.Join
		clear(m.seeds)
		m.seedDue = now
	}
	if !m.ended {
		m.timers()
	}
	return m.out
}

// lateBy moves what is being waited for when the process was held up: answers may lie unread, and who slept judges no
// one by that.
func (m *Machine) lateBy(late time.Duration) {
	if late <= time.Duration(lateness*float64(m.cfg.Pace)) {
		return
	}
	m.score = min(mostScore, m.score+1)
	m.periodDue += late
	if m.probe != nil && m.probe.directDue > 0 {
		m.probe.directDue += late
	}
	for i := range m.helping {
		if m.helping[i].nackDue > 0 {
			m.helping[i].nackDue += late
		}
		m.helping[i].endDue += late
	}
	for _, p := range m.waiting {
		if s := p.suspicion; s != nil {
			s.since += late
			s.until += late
		}
	}
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

// stretched is a pace, longer while this process doubts itself.
func (m *Machine) stretched() time.Duration { return time.Duration(m.score+1) * m.cfg.Pace }

func (m *Machine) timers() {
	for _, p := range slices.Clone(m.waiting) {
		if s := p.suspicion; s != nil && s.until <= m.now {
			r := p.Record
			r.State, r.By = Failed, ""
			m.believe(p, r)
		}
		if p.hold > 0 && p.hold <= m.now {
			p.hold = 0
			m.show(p)
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(p *peer) bool { return p.suspicion == nil && p.hold == 0 })
	m.helping = slices.DeleteFunc(m.helping, func(h help) bool { return h.endDue <= m.now })
	for i := range m.helping {
		if h := &m.helping[i]; h.nackDue > 0 && h.nackDue <= m.now {
			h.nackDue = 0
			m.send(h.asker, Message{Kind: Nack, Seq: h.askSeq})
		}
	}
	if p := m.probe; p != nil && p.directDue > 0 && p.directDue <= m.now && !p.acked {
		p.directDue = 0
		m.askOthers(p)
	}
	if m.periodDue <= m.now {
		m.endProbe()
		m.nextProbe()
		m.periodDue = m.now + m.stretched()
	}
	if m.failedDue <= m.now {
		m.failedDue = m.now + askFailed*m.cfg.Pace/2 + m.jitter(askFailed*m.cfg.Pace)
		for _, p := range m.pick(1, func(p *peer) bool { return p.State == Failed }) {
			m.ping(p, m.nextSeq())
		}
		m.forgetOld()
	}
	if m.seedDue <= m.now {
		m.callSeeds()
	}
	if !m.news.empty() && m.gossipDue <= m.now {
		m.gossipDue = m.now + time.Duration(gossipPart*float64(m.cfg.Pace))
		for _, p := range m.pick(gossipWidth, (*peer).present) {
			m.send(p.Record, Message{Kind: News})
		}
		if len(m.names) == 0 {
			m.news.clear()
		}
	}
}

func (p *peer) present() bool { return p.Present() }

// callSeeds asks for the table at an address to join by: soon and again while nobody is there, seldom afterwards, when
// only an address at which nobody known stands is of use (two sides that have forgotten each other).
func (m *Machine) callSeeds() {
	alone := m.Present() == 1
	if !alone {
		m.joinWait = joinFirst * m.cfg.Pace
		m.seedDue = m.now + askSeeds*m.cfg.Pace/2 + m.jitter(askSeeds*m.cfg.Pace)
	} else {
		m.seedDue = m.now + m.joinWait/2 + m.jitter(m.joinWait)
		m.joinWait = min(2*m.joinWait, joinMost*m.cfg.Pace)
	}
	var open []string
	for _, a := range m.cfg.Join {
		if p := m.peers[m.seeds[a]]; p != nil && p.Present() {
			continue
		}
		if a != m.cfg.Addr && !slices.ContainsFunc(m.names, func(n string) bool { return m.peers[n].Present() && m.peers[n].Addr == a }) {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return
	}
	m.asked, m.askedAs = open[m.rng.IntN(len(open))], m.nextSeq()
	m.sendTable(Record{Addr: m.asked}, Table, m.askedAs)
}

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

func (m *Machine) ping(p *peer, seq uint64) {
	m.send(p.Record, Message{Kind: Ping, Seq: seq, To: p.Name})
}

// nextProbe asks the next one of this round.
func (m *Machine) nextProbe() {
	for range 2 {
		for len(m.order) > 0 {
			p := m.peers[m.order[0]]
			m.order = m.order[1:]
			if p != nil && p.Present() {
				m.probe = &probe{name: p.Name, seq: m.nextSeq(), directDue: m.now + time.Duration(directPart*float64(m.stretched()))}
				m.ping(p, m.probe.seq)
				return
			}
		}
		m.order = append(m.order[:0:0], m.names...)
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
}

func (m *Machine) askOthers(pr *probe) {
	p := m.peers[pr.name]
	if p == nil {
		return
	}
	for _, h := range m.pick(helpers, func(q *peer) bool { return q.State == Alive && q.Name != pr.name }) {
		pr.nacksAsked++
		m.send(h.Record, Message{Kind: PingReq, Seq: pr.seq, Target: Record{Name: p.Name, Addr: p.Addr}})
	}
}

// endProbe judges the probe of the pace that is over.
func (m *Machine) endProbe() {
	pr := m.probe
	m.probe = nil
	if pr == nil {
		return
	}
	if pr.acked {
		m.score = max(0, m.score-1)
		return
	}
	// Helpers that say nothing at all speak against this process, not against the one that was asked.
	if missing := pr.nacksAsked - pr.nacks; missing > 0 {
		m.score = min(mostScore, m.score+missing)
	} else if pr.nacksAsked == 0 {
		m.score = min(mostScore, m.score+1)
	}
	if p := m.peers[pr.name]; p != nil && p.Present() {
		r := p.Record
		r.State, r.By = Suspect, m.self.Name
		m.learn(r)
	}
}

func (m *Machine) received(from Record, msg Message) {
	if from.Valid() != nil || from.Name == m.self.Name {
		if from.Name == m.self.Name && from.Boot != m.self.Boot {
			m.aboutMe(from)
		}
		return
	}
	from.State, from.By = Alive, ""
	m.learn(from)
	if p := m.peers[from.Name]; p != nil && p.Boot == from.Boot {
		p.heard = m.now
	}
	for _, r := range msg.News {
		if m.ended {
			return
		}
		if r.Valid() == nil {
			m.learn(r)
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
	if known.Boot != from.Boot || known.Inc > from.Inc {
		m.correct = known.Record
		defer func() { m.correct = Record{} }()
	}
	// It is reached where it says it is, also while another record of its name still counts.
	answer := Record{Name: from.Name, Addr: from.Addr}
	switch msg.Kind {
	case Ping:
		if msg.To == m.self.Name {
			m.send(answer, Message{Kind: Ack, Seq: msg.Seq})
		}
	case PingReq:
		if msg.Target.Valid() == nil && len(m.helping) < MostMembers {
			h := help{seq: m.nextSeq(), asker: answer, askSeq: msg.Seq,
				nackDue: m.now + time.Duration(directPart*float64(m.cfg.Pace)), endDue: m.now + 2*m.cfg.Pace}
			m.helping = append(m.helping, h)
			m.send(Record{Name: msg.Target.Name, Addr: msg.Target.Addr}, Message{Kind: Ping, Seq: h.seq, To: msg.Target.Name})
		}
	case Ack:
		m.acked(msg.Seq)
	case Nack:
		if m.probe != nil && m.probe.seq == msg.Seq {
			m.probe.nacks++
		}
	case Table:
		m.tellTable(answer, msg.Seq)
	case TableTold:
		if msg.Part { // the next one that has another table is asked for all of it
			m.differsSince = m.now - (differs+1)*m.cfg.Pace
			m.syncDue = m.now + m.jitter(m.cfg.Pace)
		}
		if msg.Seq == m.askedAs && m.asked != "" && len(m.seeds) < MostMembers {
			m.seeds[m.asked], m.asked = from.Name, ""
		}
	}
	if msg.Digest != 0 {
		m.compare(answer, msg.Digest)
	}
}

func (m *Machine) acked(seq uint64) {
	if p := m.probe; p != nil && p.seq == seq {
		p.acked, p.directDue = true, 0
		return
	}
	for i, h := range m.helping {
		if h.seq == seq {
			m.helping = slices.Delete(m.helping, i, i+1)
			m.send(h.asker, Message{Kind: Ack, Seq: h.askSeq})
			return
		}
	}
}

// compare exchanges tables with one that goes on having another one.
func (m *Machine) compare(with Record, digest uint64) {
	if digest == m.sum() {
		m.differsSince = -1
		if m.agreeing++; m.agreeing >= agree { // what all know need not be told: after many joins that would take minutes
			m.news.known()
		}
		return
	}
	m.agreeing = 0
	if m.differsSince < 0 {
		m.differsSince = m.now
	}
	if m.now-m.differsSince > differs*m.cfg.Pace && m.syncDue <= m.now {
		m.syncDue = m.now + differs*m.cfg.Pace + m.jitter(differs*m.cfg.Pace)
		m.sendTable(with, Table, 0)
	}
}

// sum is the digest of those present: the same where the same processes are believed to be there.
func (m *Machine) sum() uint64 {
	if m.summed {
		return m.digest
	}
	m.digest, m.count, m.summed = hash(m.self), 1, true
	for _, p := range m.peers {
		if p.Present() {
			m.count++
			m.digest ^= hash(p.Record)
		}
	}
	return m.digest
}

func hash(r Record) uint64 {
	h := xxhash.Sum64String(r.Name) ^ bits.RotateLeft64(r.Boot, 17)
	h = (h ^ r.Inc) * 0x9e3779b97f4a7c15
	return h ^ h>>29
}

// send adds what goes with every datagram. What the receiver has to hear for its own sake comes first.
func (m *Machine) send(to Record, msg Message) {
	if msg.Kind == Ping || msg.Kind == Ack {
		msg.Digest = m.sum()
	}
	if m.correct.Name != "" && m.correct.Name == to.Name {
		msg.News = append(msg.News, m.correct)
	} else if p := m.peers[to.Name]; p != nil && p.State != Alive {
		msg.News = append(msg.News, p.Record)
	}
	msg.News = m.news.take(msg.News, to.Name, spread*bits.Len(uint(m.Present())))
	m.out = append(m.out, Send{To: to, Message: msg})
}

func (m *Machine) sendTable(to Record, kind Kind, seq uint64) {
	all := make([]Record, 0, len(m.names)+1)
	all = append(all, m.self)
	if kind == TableTold || to.Name != "" {
		for _, name := range m.names {
			all = append(all, m.peers[name].Record)
		}
	}
	m.out = append(m.out, Send{To: to, Message: Message{Kind: kind, Seq: seq, News: all}, Stream: true})
}

// tellTable tells all that is known, or, to those who ask after many others, whom else to ask: when most of a fleet is started
// at once, all ask the few addresses to join by.
func (m *Machine) tellTable(to Record, seq uint64) {
	if m.now-m.tablesAt >= m.cfg.Pace {
		m.tablesAt, m.tables = m.now, 0
	}
	if m.tables++; m.tables <= mostTables || len(m.names) <= named {
		m.sendTable(to, TableTold, seq)
		return
	}
	all := []Record{m.self}
	for _, p := range m.pick(named, (*peer).present) {
		all = append(all, p.Record)
	}
	m.out = append(m.out, Send{To: to, Message: Message{Kind: TableTold, Seq: seq, News: all, Part: true}, Stream: true})
}

// tell queues news.
func (m *Machine) tell(r Record) { m.news.add(r) }

// pick draws up to n different processes.
func (m *Machine) pick(n int, fits func(*peer) bool) []*peer {
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

func (m *Machine) leave() {
	m.self.State = Left
	m.tell(m.self)
	told := m.pick(8, (*peer).present)
	for _, p := range told {
		m.send(p.Record, Message{Kind: News})
		m.send(p.Record, Message{Kind: News}) // a datagram may be lost
	}
	m.ended = true
}

// forgetOld drops those that failed or left long ago.
func (m *Machine) forgetOld() {
	for _, name := range slices.Clone(m.names) {
		if p := m.peers[name]; !p.Present() && m.now-p.since > forget*m.cfg.Pace {
			delete(m.peers, name)
			m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == name })
		}
	}
}
