package control

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/quorum"
	"fieldrelay/internal/ring"
)

// Periods and limits of a Machine.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 150 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats to each other machine.
	HeartbeatInterval = 2 * TickInterval
	// FailureTimeout is how long a machine may be silent before it counts as not live.
	FailureTimeout = 1200 * time.Millisecond
	// stallThreshold is the gap between two ticks from which a machine blames itself for the silence of others.
	stallThreshold = 4 * TickInterval
	// stallGracePeriod is how long after a late wake no orders are taken: they may have waited for the machine, and
	// their senders given up.
	stallGracePeriod = 500 * time.Millisecond
)

// Config is what a Machine must know at its start.
type Config struct {
	Self        *pb.Replica // without an identity
	Seeds       []string    // ip:port of operator's APIs
	Bootstrap   bool        // the whole system starts for the first time
	Requirement chain.Requirement
	// PeerAddress gives the ip:port of the peer service of a machine known by its operator's API.
	PeerAddress func(controlAddress string) string
	// Random must differ from start to start.
	Random *rand.Rand
	// SnapshotRecords is the number of records after which the ring gets a new snapshot; 0: the default.
	SnapshotRecords int
	// SpuriousProposals is asked at each tick whether to propose another view without need and out of turn; nil: never.
	// It is for simulations: proposals that compete must do no harm.
	SpuriousProposals func() bool
}

// Machine is the whole of a control machine's part in agreement and replication.
type Machine struct {
	config      Config
	random      *rand.Rand
	self        *pb.Replica
	bootstrap   bool
	incarnation uint64
	contacts    []string // operator's addresses to ask when no majority is heard

	now       time.Duration // of the event that is handled
	lastTick  time.Duration
	lastStall time.Duration // when the last late tick came; 0: none came
	started   time.Duration
	ticks     uint64
	actions   []Action // of the event that is handled

	acceptor          *quorum.Acceptor
	replica           *chain.Replica
	peers             peerTable
	disk              diskQueue
	election          election
	leaving           leaving
	origin            originOrders
	head              headOrders
	checks            quorumChecks
	advertisedByPeers peerAdvertisements
	shown             *catalog.Snapshot // committed state that the shell was told last
	sizes             ringSizes
}

// NewMachine resumes from what the ring held. The error is a *RecordError if that cannot be read.
func NewMachine(config Config, recovered *ring.Recovered) (*Machine, error) {
	state, err := recoverState(recovered)
	if err != nil {
		return nil, err
	}
	machine := &Machine{
		config:      config,
		random:      config.Random,
		incarnation: config.Random.Uint64(),
		contacts:    config.Seeds,
		bootstrap:   state.bootstrap,
		acceptor:    state.restoreAcceptor(),
	}
	identity := state.identity
	if identity == "" {
		identity = strconv.FormatUint(config.Random.Uint64(), 36)
		machine.bootstrap = config.Bootstrap
		machine.sizes.snapshotDue = true
	}
	machine.self = &pb.Replica{
		Host:           config.Self.GetHost(),
		Identity:       identity,
		Address:        config.Self.GetAddress(),
		Zone:           config.Self.GetZone(),
		Region:         config.Self.GetRegion(),
		ControlAddress: config.Self.GetControlAddress(),
	}
	if state.migrated {
		machine.sizes.snapshotDue = true // behind it, no record is of the earlier version
	}
	machine.sizes.limit = cmp.Or(config.SnapshotRecords, snapshotRecords)
	machine.replica = chain.NewReplica(identity, state.chain, machine.incarnation)
	machine.peers = newPeerTable()
	machine.election.dropped = make(map[string]dropRecord)
	// answers to an earlier life of this machine must not be taken for answers to this one
	machine.origin.next = config.Random.Uint64()
	machine.checks.next = config.Random.Uint64() >> 1 // it must not wrap
	return machine, nil
}

// Step handles one event. The time is of a steady clock that does not go backwards; its zero is of no
// importance.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.now = now
	m.actions = nil
	switch event := event.(type) {
	case Started:
		m.start()
	case Tick:
		m.tick()
	case Received:
		m.receive(event.Message)
	case Undelivered:
		m.replica.Undelivered(event.Message)
	case Persisted:
		m.persisted(event.Token)
	case WriteFailed:
		m.disk.failed = true
	case OrderSubmitted:
		m.submit(event)
	case OrderCanceled:
		m.withdraw(event.Request)
	case BroadcastServerList:
		m.broadcast(event.List)
	case SeedsChanged:
		m.contacts = event.Seeds
	case Leave:
		m.leave()
	}
	m.pump()
	m.tellLeft()
	return m.actions
}

// Self is this machine, with its identity.
func (m *Machine) Self() *pb.Replica { return m.self }

// View is the view in force, nil before founding or joining.
func (m *Machine) View() *pb.View { return m.replica.State().View }

// Committed is the newest state known to be committed; nil before the first is known.
func (m *Machine) Committed() *catalog.Snapshot { return m.replica.Committed() }

// Live lists the hosts of the live voters in the order of the view.
func (m *Machine) Live() []string {
	var hosts []string
	for _, voter := range m.View().GetVoters() {
		if m.isLive(voter.GetIdentity()) {
			hosts = append(hosts, voter.GetHost())
		}
	}
	return hosts
}

// wakesLate reports whether what arrives now may have waited while the machine did not run.
func (m *Machine) wakesLate() bool {
	justWoke := m.lastStall > 0 && m.now-m.lastStall < stallGracePeriod
	return justWoke || m.now-m.lastTick >= stallThreshold
}

func (m *Machine) start() {
	m.started = m.now
	m.lastTick = m.now
	if m.sizes.snapshotDue {
		m.persist(nil, false, nil)
	}
	if m.View() != nil {
		m.actions = append(m.actions, ViewChanged{View: m.View()})
	}
	m.sendHeartbeats()
	m.perform(m.replica.Tick())
}

func (m *Machine) tick() {
	gap := m.now - m.lastTick
	m.lastTick = m.now
	m.ticks++
	if gap >= stallThreshold {
		m.lastStall = m.now
		m.peers.excuse(gap, m.now)
		m.election.concern = 0
	}
	m.peers.forget(m.now, m.View())
	m.compareWithTold()
	if m.View() == nil || m.ticks%uint64(HeartbeatInterval/TickInterval) == 0 {
		m.sendHeartbeats()
	}
	m.perform(m.replica.Tick())
	m.tickElection()
	m.tickOrigin()
	m.tickHead()
	m.tickChecks()
}

// perform turns the output of the replica into actions.
func (m *Machine) perform(output chain.Output) {
	for _, outgoing := range output.Messages {
		m.send(outgoing.To, outgoing.Message)
	}
	if len(output.Writes) > 0 {
		records := make([]ring.Record, 0, len(output.Writes))
		for _, write := range output.Writes {
			records = append(records, writeRecord(write))
		}
		m.persist(records, true, nil)
	}
	if output.Committed {
		m.tellCommitted()
	}
}

func (m *Machine) tellCommitted() {
	committed := m.replica.Committed()
	action := Committed{Snapshot: committed}
	if m.shown == nil {
		action.Changes = m.replica.RecentChanges()
	} else if changes, found := m.replica.ChangesSince(m.shown.Sequence()); found {
		action.Changes = changes
	}
	for index, change := range action.Changes {
		action.Changes[index] = catalog.ForAgents(change)
	}
	m.shown = committed
	m.compareWithTold()
	m.actions = append(m.actions, action)
}
