package coordination

import (
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// Intervals of a control machine's ticks, stall detection and gossip.
const (
	tickInterval     = 150 * time.Millisecond
	stallThreshold   = 4 * tickInterval
	stallGracePeriod = 500 * time.Millisecond
	gossipInterval   = 300 * time.Millisecond
)

// machine is a simulated control machine. It implements Host.
type machine struct {
	simulation *simulation
	replica    *pb.Replica
	disk       *disk
	removed    bool // its disk is lost

	// State of the current run of its process:
	running     bool
	incarnation int
	engine      *Engine
	view        *pb.View
	clockOffset time.Duration
	clockRate   float64
	lastTick    time.Duration
	lastStall   time.Duration
	frozen      bool
	tickPending bool
	deferred    []func() // events that wait until the process is no longer frozen
	requests    map[uint64]func(*pb.CoordinationResult)
	lastRequest uint64
	live        map[string]bool // machines reachable at the last tick
}

func (m *machine) identity() string { return m.replica.GetIdentity() }

// clock returns the monotonic clock of this run of the machine.
func (m *machine) clock() time.Duration {
	return m.clockOffset + time.Duration(float64(m.simulation.now)*m.clockRate)
}

// start begins a run of the process with the durable state of its disk.
func (m *machine) start() {
	s := m.simulation
	m.running = true
	m.incarnation++
	m.frozen = false
	m.deferred = nil
	m.tickPending = false
	m.lastStall = 0
	m.clockOffset = s.between(1_000, 1_000_000)
	m.clockRate = 1 + (s.random.Float64()-0.5)/1000
	m.lastTick = m.clock()
	m.requests = make(map[uint64]func(*pb.CoordinationResult))
	m.live = make(map[string]bool)
	m.engine = NewEngine(Config{
		Self:        m.replica,
		Incarnation: strconv.Itoa(m.incarnation),
		Retention:   retention,
		FirstID:     s.random.Uint64() >> 1,
	}, m)
	m.replaceExecute()
	for _, record := range m.disk.recover() {
		m.engine.Restore(record)
	}
	m.engine.FinishRestore(m.clock())
	m.view = m.disk.view
	if m.view != nil {
		m.engine.Enter(m.clock(), m.view)
	}
	m.scheduleTick()
	m.scheduleGossip()
}

// replaceExecute replaces the execution of calls if the planted fault is one of execution.
func (m *machine) replaceExecute() {
	if change := m.simulation.planted.execute; change != nil {
		output := engineOutput{engine: m.engine, Host: m}
		m.engine.proposers = register.NewProposers(m.engine.replica, m.engine.name, change, output)
	}
}

// handle runs an action in the process: at once, or when the process is no longer frozen. The action is dropped if this
// run of the process ends first.
func (m *machine) handle(action func()) {
	switch {
	case !m.running:
	case m.frozen:
		m.deferred = append(m.deferred, action)
	default:
		action()
	}
}

// whileRunning returns an action of the process that does nothing once this run of the process has ended.
func (m *machine) whileRunning(action func()) func() {
	incarnation := m.incarnation
	return func() {
		if m.incarnation == incarnation {
			m.handle(action)
		}
	}
}

func (m *machine) scheduleTick() {
	m.simulation.after(tickInterval, m.duringThisRun(func() {
		if !m.tickPending {
			m.tickPending = true
			m.handle(m.tick)
		}
		m.scheduleTick()
	}))
}

// duringThisRun returns an action outside the process. It runs while the process is frozen, but does nothing once this
// run of the process has ended.
func (m *machine) duringThisRun(action func()) func() {
	incarnation := m.incarnation
	return func() {
		if m.incarnation == incarnation && m.running {
			action()
		}
	}
}

func (m *machine) tick() {
	m.tickPending = false
	now := m.clock()
	if now-m.lastTick >= stallThreshold {
		m.lastStall = now
	}
	m.lastTick = now
	for _, other := range m.simulation.machines {
		m.live[other.identity()] = m.simulation.network.isOpen(m, other)
	}
	m.engine.Tick(now)
}

func (m *machine) scheduleGossip() {
	m.simulation.after(gossipInterval, m.whileRunning(func() {
		for range 2 {
			m.sendView(pick(m.simulation, m.simulation.machines))
		}
		m.scheduleGossip()
	}))
}

// sendView sends the machine's current view.
func (m *machine) sendView(to *machine) {
	if view := m.view; view != nil {
		m.simulation.network.transmit(m, to, 1, func() { to.adopt(view) })
	}
}

// adopt applies a view if it is newer than the current one.
func (m *machine) adopt(view *pb.View) {
	if view.GetNumber() <= m.view.GetNumber() {
		return
	}
	m.view = view
	m.disk.enqueue(write{view: view})
	m.engine.Enter(m.clock(), view)
}

// crash ends the process.
func (m *machine) crash() {
	m.running = false
	m.incarnation++
	m.deferred = nil
	m.disk.crash()
}

// freeze pauses the process for a while.
func (m *machine) freeze(pause time.Duration) {
	if m.frozen || !m.running {
		return
	}
	m.frozen = true
	m.simulation.after(pause, m.duringThisRun(m.resume))
}

func (m *machine) resume() {
	if !m.frozen {
		return
	}
	m.frozen = false
	held := m.deferred
	m.deferred = nil
	for _, action := range held {
		m.handle(action)
	}
}

// submit submits a call of an application.
func (m *machine) submit(call *pb.CoordinationCall, answer func(*pb.CoordinationResult)) (cancel func()) {
	m.lastRequest++
	request := m.lastRequest
	m.requests[request] = answer
	m.engine.Submit(m.clock(), request, call)
	return m.whileRunning(func() {
		delete(m.requests, request)
		m.engine.Cancel(request)
	})
}

func (m *machine) receive(from *pb.Replica, message *pb.Message) {
	if plantedFault := m.simulation.planted.receive; plantedFault != nil {
		message = plantedFault(m, from, message)
	}
	if message != nil {
		m.engine.Receive(m.clock(), from, message)
	}
}

// Send implements Host.
func (m *machine) Send(to *pb.Replica, message *pb.Message) {
	if to.GetIdentity() == m.identity() {
		m.receive(m.replica, message)
		return
	}
	if receiver := m.simulation.byIdentity[to.GetIdentity()]; receiver != nil {
		m.simulation.network.send(m, receiver, message)
	}
}

// Persist implements Host.
func (m *machine) Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message) {
	isDurable := len(records) == 0 && len(m.disk.pending) == 0
	if isDurable || m.simulation.planted.sendBeforeSync {
		m.disk.enqueueRecords(records, func() {})
		m.Send(to, message)
		return
	}
	m.disk.enqueueRecords(records, func() { m.Send(to, message) })
}

// PersistAll implements Host.
func (m *machine) PersistAll() { m.disk.enqueueAll(func() {}) }

// CanPersist implements Host.
func (m *machine) CanPersist() bool { return len(m.disk.pending) < maxPendingWrites }

// ReplyToCaller implements Host.
func (m *machine) ReplyToCaller(request uint64, result *pb.CoordinationResult) {
	if answer := m.requests[request]; answer != nil {
		delete(m.requests, request)
		answer(result)
	}
}

// HasMajority implements Host.
func (m *machine) HasMajority() bool {
	live := 0
	for _, voter := range m.view.GetVoters() {
		if m.IsLive(voter.GetIdentity()) {
			live++
		}
	}
	return live > len(m.view.GetVoters())/2
}

// IsStalled implements Host.
func (m *machine) IsStalled() bool {
	now := m.clock()
	afterStall := m.lastStall > 0 && now-m.lastStall < stallGracePeriod
	return afterStall || now-m.lastTick >= stallThreshold
}

// IsLive implements Peers.
func (m *machine) IsLive(identity string) bool { return identity == m.identity() || m.live[identity] }

// IsLeaving implements Peers.
func (m *machine) IsLeaving(string) bool { return false }
