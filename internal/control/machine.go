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

// Machine is a control machine's part in agreement and replication, as a state machine without I/O. It consists of parts
// with one concern each, which joinParts joins; a part names the other parts that it uses as its first fields. A
// Machine is not safe for concurrent use.
type Machine struct {
	config Config

	// What the parts share.
	clock  *clock
	local  *localMachine
	output *stepOutput
	ids    *idSequence

	// What is known of the machines.
	peers     *peerTable
	heartbeat *heartbeats
	staleness *staleness
	health    *localHealth
	leaving   *leaving

	// Agreement on views.
	electorate *electorate
	planner    *viewPlanner
	rejoin     *rejoinBackoff
	founding   *founding
	proposer   *proposer
	voter      *voter

	// The state of the chain, and the disk.
	replica     *chain.Replica
	replication *replication
	disk        *diskQueue

	// Orders of the operator.
	origin        *originOrders
	head          *headOrders
	tail          *tailReads
	confirmations *confirmations
	checks        *quorumChecks
}

// NewMachine resumes from what the ring held. The error is a *RecordError if that cannot be read.
func NewMachine(config Config, recovered *ring.Recovered) (*Machine, error) {
	state, err := recoverState(recovered)
	if err != nil {
		return nil, err
	}
	local := &localMachine{bootstrap: state.bootstrap, incarnation: config.Random.Uint64()}
	identity := state.identity
	isNew := identity == ""
	if isNew {
		identity = strconv.FormatUint(config.Random.Uint64(), 36)
		local.bootstrap = config.Bootstrap
	}
	local.replica = &pb.Replica{
		Host:           config.Self.GetHost(),
		Identity:       identity,
		Address:        config.Self.GetAddress(),
		Zone:           config.Self.GetZone(),
		Region:         config.Self.GetRegion(),
		ControlAddress: config.Self.GetControlAddress(),
	}
	machine := &Machine{
		config:  config,
		clock:   &clock{},
		local:   local,
		replica: chain.NewReplica(identity, state.chain, local.incarnation),
	}
	machine.joinParts()
	machine.voter.acceptor = state.restoreAcceptor()
	machine.disk.schedule = snapshotSchedule{
		// behind a snapshot, no record is of an earlier version of this program
		due:        isNew || state.migrated,
		maxRecords: cmp.Or(config.SnapshotRecords, snapshotRecords),
	}
	machine.origin.lastID = config.Random.Uint64()
	machine.ids.last = config.Random.Uint64() >> 1 // it must not wrap
	return machine, nil
}

// joinParts makes the parts and gives each the others that it uses.
func (m *Machine) joinParts() {
	m.joinPeers()
	m.joinAgreement()
	m.joinOrders()
}

func (m *Machine) joinPeers() {
	m.peers = &peerTable{clock: m.clock, local: m.local, known: make(map[string]*peer)}
	m.output = &stepOutput{local: m.local, peers: m.peers, replica: m.replica, deliverLocally: m.handle}
	m.disk = &diskQueue{clock: m.clock, output: m.output, snapshot: m.snapshot}
	m.staleness = &staleness{clock: m.clock, peers: m.peers, replica: m.replica}
	m.replication = &replication{replica: m.replica, output: m.output, disk: m.disk, staleness: m.staleness}
	m.leaving = &leaving{clock: m.clock}
	m.health = &localHealth{clock: m.clock, disk: m.disk, peers: m.peers, leaving: m.leaving, replica: m.replica}
	m.heartbeat = &heartbeats{
		clock: m.clock, local: m.local, peers: m.peers, replica: m.replica, health: m.health, leaving: m.leaving,
		output: m.output, contacts: m.config.Seeds, peerAddress: m.config.PeerAddress,
	}
}

func (m *Machine) joinAgreement() {
	m.electorate = &electorate{
		local: m.local, replica: m.replica, output: m.output, seeds: m.config.Seeds, peerAddress: m.config.PeerAddress,
	}
	m.rejoin = &rejoinBackoff{clock: m.clock, removals: make(map[string]removal)}
	m.planner = &viewPlanner{
		clock: m.clock, local: m.local, peers: m.peers, replica: m.replica, health: m.health, leaving: m.leaving,
		rejoin: m.rejoin, requirement: m.config.Requirement,
	}
	m.founding = &founding{
		clock: m.clock, local: m.local, peers: m.peers, electorate: m.electorate, seeds: m.config.Seeds,
		requirement: m.config.Requirement, random: m.config.Random,
	}
	m.voter = &voter{
		clock: m.clock, replica: m.replica, electorate: m.electorate, planner: m.planner, disk: m.disk, output: m.output,
		spuriousProposals: m.config.SpuriousProposals != nil,
	}
	m.proposer = &proposer{
		clock: m.clock, local: m.local, replica: m.replica, peers: m.peers, health: m.health, planner: m.planner,
		founding: m.founding, electorate: m.electorate, voter: m.voter, disk: m.disk, random: m.config.Random,
		spurious: m.config.SpuriousProposals,
	}
}

func (m *Machine) joinOrders() {
	m.ids = &idSequence{}
	m.checks = &quorumChecks{
		clock: m.clock, replica: m.replica, electorate: m.electorate, output: m.output, ids: m.ids,
	}
	m.confirmations = &confirmations{clock: m.clock, output: m.output, ids: m.ids}
	m.origin = &originOrders{clock: m.clock, peers: m.peers, replica: m.replica, output: m.output}
	m.head = &headOrders{
		clock: m.clock, local: m.local, replica: m.replica, replication: m.replication, output: m.output,
		checks: m.checks, confirmations: m.confirmations, requirement: m.config.Requirement,
	}
	m.tail = &tailReads{local: m.local, replica: m.replica, output: m.output, checks: m.checks}
}

// Self is this machine, with its identity.
func (m *Machine) Self() *pb.Replica { return m.local.replica }

// View is the view in force, nil before founding or joining.
func (m *Machine) View() *pb.View { return viewInForce(m.replica) }

// Committed is the newest state known to be committed; nil before the first is known.
func (m *Machine) Committed() *catalog.Snapshot { return m.replica.Committed() }

// Authoritative reports whether the machine holds the state of the view in force, has had heartbeats of a majority of the
// voters within FailureTimeout, and knows neither of a later view nor of changes that it does not get.
func (m *Machine) Authoritative() bool { return m.staleness.isAuthoritative() }

// Live lists the hosts of the live voters in the order of the view.
func (m *Machine) Live() []string {
	var hosts []string
	for _, voter := range m.peers.liveVoters(m.View()) {
		hosts = append(hosts, voter.GetHost())
	}
	return hosts
}

// Step handles one event and returns what the shell must do, in this order. The time is of a steady clock that does not
// go backwards; its zero is of no importance.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	m.clock.now = now
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
		m.origin.submit(event)
	case OrderCanceled:
		m.origin.cancel(event.Request)
	case BroadcastServerList:
		m.broadcastServerList(event.List)
	case SeedsChanged:
		m.heartbeat.contacts = event.Seeds
	case Leave:
		m.leave()
	}
	m.head.proposeNext()
	m.leaving.report(m.planner, m.output)
	return m.output.takeActions()
}

func (m *Machine) start() {
	m.clock.start()
	m.disk.persistStart()
	if m.View() != nil {
		m.output.add(ViewChanged{View: m.View()})
	}
	m.heartbeat.sendAll()
	m.replication.perform(m.replica.Tick())
}

// tick lets each part act on the time that has passed. The parts draw from one source of random numbers and send in this
// order, on which recorded runs of the simulation rest.
func (m *Machine) tick() {
	if gap, stalled := m.clock.tick(); stalled {
		m.peers.excuseStall(gap)
		m.proposer.observeStall()
	}
	m.peers.expire(m.View())
	m.staleness.update()
	if m.heartbeat.isDue() {
		m.heartbeat.sendAll()
	}
	m.replication.perform(m.replica.Tick())
	m.proposer.tick()
	m.origin.tick()
	m.head.tick()
	m.checks.tick()
}

// receive checks that a message is meant for this machine, and records the contact with its sender.
func (m *Machine) receive(message *pb.Message) {
	from := message.GetFrom()
	if from.GetIdentity() == "" || from.GetIdentity() == m.local.identity() {
		return
	}
	if to := message.GetToIdentity(); to != "" && to != m.local.identity() {
		m.observeStranger(from)
		return
	}
	cluster := m.View().GetCluster()
	if cluster != "" && message.GetCluster() != "" && message.GetCluster() != cluster {
		return
	}
	m.staleness.update() // before this message restores contact that was lost since the last tick
	found := m.peers.observe(from)
	if heartbeat := message.GetHeartbeat(); heartbeat != nil &&
		!found.acceptHeartbeat(heartbeat, m.clock.now, m.clock.isStalled()) {
		return
	}
	m.handle(message)
}

// observeStranger records a machine that looks for an earlier identity of this one: a machine that has lost its disk,
// and whose seeds are gone, finds the others by that.
func (m *Machine) observeStranger(from *pb.Replica) {
	if m.View() == nil {
		m.peers.observe(from)
	}
}

// handle dispatches a message, of another machine or of this one to itself.
func (m *Machine) handle(message *pb.Message) {
	from := message.GetFrom()
	switch body := message.GetBody().(type) {
	case *pb.Message_Prepare:
		m.voter.prepare(from, body.Prepare)
	case *pb.Message_Promise:
		m.proposer.receivePromise(from, body.Promise)
	case *pb.Message_Accept:
		m.voter.accept(from, body.Accept)
	case *pb.Message_Accepted:
		m.receiveAccepted(from, body.Accepted)
	case *pb.Message_Decided:
		m.enterView(body.Decided.GetView())
	case *pb.Message_Fenced:
		m.enterView(body.Fenced.GetView())
	case *pb.Message_Heartbeat:
		m.receiveHeartbeat(from, body.Heartbeat)
	case *pb.Message_Append, *pb.Message_Acknowledge, *pb.Message_SyncRequest, *pb.Message_SyncResponse:
		m.receiveReplication(message)
	case *pb.Message_Order:
		m.receiveOrder(from, body.Order)
	case *pb.Message_OrderResult:
		m.origin.receiveResult(from, body.OrderResult)
	case *pb.Message_ViewCheck:
		m.voter.checkQuorum(from, body.ViewCheck)
	case *pb.Message_ViewCheckResult:
		m.checks.receive(from, body.ViewCheckResult)
	case *pb.Message_ServerList:
		m.output.add(ServerListReceived{List: body.ServerList})
	}
}

// receiveHeartbeat takes what a peer advertises, and sends it a later view.
func (m *Machine) receiveHeartbeat(from *pb.Replica, heartbeat *pb.Heartbeat) {
	m.output.add(HeartbeatReceived{From: from, Heartbeat: heartbeat})
	if view := m.View(); view != nil && heartbeat.GetViewNumber() < view.GetNumber() {
		m.output.sendView(from)
	}
	m.staleness.observe(from, heartbeat)
	m.replication.perform(m.replica.ObserveHeartbeat(from, heartbeat))
}

// receiveReplication takes a message of the chain, which may commit the change of the head's active order.
func (m *Machine) receiveReplication(message *pb.Message) {
	number := m.replication.receive(message)
	m.head.answerCommitted()
	m.replication.fence(message.GetFrom(), number)
}

func (m *Machine) receiveOrder(from *pb.Replica, order *pb.Order) {
	if order.GetKind() == pb.Order_KIND_READ {
		m.tail.receive(from, order)
		return
	}
	m.head.receive(from, order)
}

// receiveAccepted moves to a view that was decided by a proposal of this machine, and announces it.
func (m *Machine) receiveAccepted(from *pb.Replica, accepted *pb.Accepted) {
	decided := m.proposer.receiveAccepted(from, accepted)
	if decided == nil {
		return
	}
	before := m.View()
	m.enterView(decided)
	m.announce(before, decided)
}

// announce sends a decided view to its voters and to those of the view before it.
func (m *Machine) announce(before, view *pb.View) {
	message := decidedMessage(view)
	for _, voter := range view.GetVoters() {
		if !m.local.is(voter) {
			m.output.send(voter, message)
		}
	}
	for _, voter := range before.GetVoters() {
		if quorum.IndexOf(view.GetVoters(), voter.GetIdentity()) == quorum.NotFound && !m.local.is(voter) {
			m.output.send(voter, message)
		}
	}
}

// enterView moves to a decided view if it is later than the one in force. Views are decided one after another, so that a
// later one of the same cluster supersedes whatever this machine did by earlier ones; a machine may skip some.
func (m *Machine) enterView(view *pb.View) {
	before := m.View()
	if view.GetNumber() <= before.GetNumber() {
		return
	}
	if before != nil && view.GetCluster() != before.GetCluster() {
		return
	}
	m.rejoin.observeChange(before, view, m.planner.isLeaving)
	m.voter.enterView(view)
	m.proposer.enterView()
	m.staleness.enterView()
	m.replication.perform(m.replica.Adopt(view))
	m.output.add(ViewChanged{View: view})
	m.head.enterView()
	m.origin.forwardAll()
}

// persisted goes on with what waited for writes that are on disk now.
func (m *Machine) persisted(token uint64) {
	m.disk.failed = false
	for done, ok := m.disk.next(token); ok; done, ok = m.disk.next(token) {
		for _, reply := range done.replies {
			m.output.send(reply.To, reply.Message)
		}
		if done.forChain {
			m.replicaPersisted()
		}
	}
}

// replicaPersisted goes on with what the replica has on disk now. The others receive at once of a view or a state that is
// there: machines that wait to end, to join or to be caught up go on by that.
func (m *Machine) replicaPersisted() {
	before := m.replica.Advertised()
	m.replication.perform(m.replica.WritesPersisted())
	m.head.answerCommitted()
	after := m.replica.Advertised()
	if after.ViewNumber != before.ViewNumber || after.Synchronized != before.Synchronized {
		m.heartbeat.sendAll()
	}
}

// snapshot encodes everything that must be on disk once all writes so far are.
func (m *Machine) snapshot() []byte {
	state := m.replica.State()
	records := []ring.Record{identityRecord(m.local.identity(), m.local.bootstrap)}
	if state.Newest.Sequence() > 0 {
		repair := state.Newest.ReplicaRepairFor(nil)
		records = append(records, writeRecord(chain.Write{Repair: repair, SynchronizedView: state.SynchronizedView}))
	}
	if state.View != nil {
		records = append(records, writeRecord(chain.Write{View: state.View, SynchronizedView: state.SynchronizedView}))
	}
	if !m.voter.acceptor.IsEmpty() {
		records = append(records, promiseRecord(m.voter.acceptor))
	}
	return joinSnapshot(records)
}

// leave announces that this machine is to end, and has a view without it decided.
func (m *Machine) leave() {
	if !m.leaving.begin() {
		return
	}
	m.heartbeat.sendAll()
	m.proposer.tick()
}

// broadcastServerList sends a server list to the live peers.
func (m *Machine) broadcastServerList(list *pb.ServerList) {
	message := &pb.Message{Body: &pb.Message_ServerList{ServerList: list}}
	for _, identity := range m.peers.identities() {
		if m.peers.isLive(identity) {
			m.output.sendTo(m.peers.known[identity].replica.GetAddress(), identity, message)
		}
	}
}
