package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
)

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
	reads         *chainReads
	confirmations *confirmations
	checks        *quorumChecks

	// Calls of applications.
	coordination *coordinationHost
}

// Self is this machine, with its identity.
func (m *Machine) Self() *pb.Replica { return m.local.replica }

// View is the view in force, nil before founding or joining.
func (m *Machine) View() *pb.View { return viewInForce(m.replica) }

// Committed is the newest state known to be committed; nil before the first is known.
func (m *Machine) Committed() *catalog.Snapshot { return m.replica.Committed() }

// Authoritative reports whether the machine holds the state of the view in force, has had heartbeats of a majority of the
// voters within FailureTimeout, and knows neither of a later view nor of changes that it does not get.
func (m *Machine) Authoritative() bool { return m.AuthorityGap() == GapNone }

// AuthorityGap names what the machine lacks to be authoritative.
func (m *Machine) AuthorityGap() AuthorityGap { return m.staleness.gap() }

// Live lists the hosts of the live voters in the order of the view.
func (m *Machine) Live() []string {
	var hosts []string
	for _, voter := range m.peers.liveVoters(m.View()) {
		hosts = append(hosts, voter.GetHost())
	}
	return hosts
}

// CoordinationStatus describes the calls of applications and the registers behind them.
func (m *Machine) CoordinationStatus() CoordinationStatus {
	return CoordinationStatus{Stats: m.coordination.engine.Stats(), Epoch: m.coordination.durableEpoch}
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
	case CallSubmitted:
		m.coordination.engine.Submit(now, event.Request, event.Call)
	case CallCanceled:
		m.coordination.engine.Cancel(event.Request)
	case BroadcastServerList:
		m.broadcastServerList(event.List)
	case SeedsChanged:
		m.heartbeat.contacts = event.Seeds
	case Leave:
		m.leave()
	}
	m.checks.sendComplete()
	m.head.proposeNext()
	m.leaving.report(m.planner, m.output)
	return m.output.takeActions()
}

func (m *Machine) start() {
	m.clock.start()
	m.disk.persistStart()
	m.coordination.engine.FinishRestore(m.clock.now)
	if m.View() != nil {
		m.output.add(ViewChanged{View: m.View()})
		m.coordination.engine.Enter(m.clock.now, m.View())
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
	m.coordination.engine.Tick(m.clock.now)
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
	default:
		m.coordination.engine.Receive(m.clock.now, from, message)
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
		m.reads.receive(from, order)
		return
	}
	m.head.receive(from, order)
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
		if m.coordination.persisted(done) {
			m.heartbeat.sendAll()
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

// leave announces that this machine is to end, and has a view without it decided.
func (m *Machine) leave() {
	if !m.leaving.begin() {
		return
	}
	m.coordination.engine.Leave()
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
