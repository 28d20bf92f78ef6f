package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
)

// Machine implements consensus and replication for one control machine, as a state machine without I/O. It consists of
// components with one concern each, which wireComponents connects; the first fields of a component are the other
// components that it uses. A Machine is not safe for concurrent use.
type Machine struct {
	config Config

	// Components that all other components share.
	clock  *clock
	local  *localMachine
	output *stepOutput
	ids    *idSequence

	// Failure detection and health.
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

// Self describes this machine, with its identity.
func (m *Machine) Self() *pb.Replica { return m.local.replica }

// View returns the view in force; nil before the machine knows a view.
func (m *Machine) View() *pb.View { return viewInForce(m.replica) }

// Committed returns the newest state known to be committed; nil before the first committed state is known.
func (m *Machine) Committed() *catalog.Snapshot { return m.replica.Committed() }

// Authoritative reports whether the machine holds the state of the view in force, has received heartbeats of a majority
// of the voters within FailureTimeout, and knows neither of a later view nor of committed changes that do not arrive.
func (m *Machine) Authoritative() bool { return m.AuthorityGap() == GapNone }

// AuthorityGap returns the reason why the machine is not authoritative; GapNone if it is.
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

// Step handles one event and returns the actions that the shell must carry out, in this order. The time is that of a
// monotonic clock; its zero is arbitrary.
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

// tick lets each component act on the time that has passed. The recorded runs of the simulation depend on the order of
// the calls: the components draw from one source of random numbers and send messages in this order.
func (m *Machine) tick() {
	if gap, stalled := m.clock.tick(); stalled {
		m.peers.compensateStall(gap)
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

// receive checks that a message is addressed to this machine, records the contact with its sender, and handles the
// message.
func (m *Machine) receive(message *pb.Message) {
	from := message.GetFrom()
	if from.GetIdentity() == "" || from.GetIdentity() == m.local.identity() {
		return
	}
	if to := message.GetToIdentity(); to != "" && to != m.local.identity() {
		m.observeMisaddressed(from)
		return
	}
	cluster := m.View().GetCluster()
	if cluster != "" && message.GetCluster() != "" && message.GetCluster() != cluster {
		return
	}
	m.staleness.update() // must precede observe: this message may restore contact that was lost since the last tick
	found := m.peers.observe(from)
	if heartbeat := message.GetHeartbeat(); heartbeat != nil &&
		!found.acceptHeartbeat(heartbeat, m.clock.now, m.clock.isStalled()) {
		return
	}
	m.handle(message)
}

// observeMisaddressed records the sender of a message to an earlier identity of this machine. A machine that has lost
// its disk, and whose seeds no longer exist, discovers the other machines by these messages.
func (m *Machine) observeMisaddressed(from *pb.Replica) {
	if m.View() == nil {
		m.peers.observe(from)
	}
}

// handle dispatches a message of another machine, or of this machine to itself.
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

// receiveHeartbeat processes the heartbeat of a peer, and sends the view in force to a peer that knows only an earlier
// view.
func (m *Machine) receiveHeartbeat(from *pb.Replica, heartbeat *pb.Heartbeat) {
	m.output.add(HeartbeatReceived{From: from, Heartbeat: heartbeat})
	if view := m.View(); view != nil && heartbeat.GetViewNumber() < view.GetNumber() {
		m.output.sendView(from)
	}
	m.staleness.observe(from, heartbeat)
	m.replication.perform(m.replica.ObserveHeartbeat(from, heartbeat))
}

// receiveReplication handles a message of chain replication, which may commit the change of the head's active order.
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

// persisted sends the messages, and continues the operations, that waited for writes that are on disk now.
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

// replicaPersisted tells the replica that its writes are on disk. If a view or a synchronized state has become durable,
// heartbeats advertise it at once, because machines that shut down, join or synchronize wait for that.
func (m *Machine) replicaPersisted() {
	before := m.replica.Advertised()
	m.replication.perform(m.replica.WritesPersisted())
	m.head.answerCommitted()
	after := m.replica.Advertised()
	if after.ViewNumber != before.ViewNumber || after.Synchronized != before.Synchronized {
		m.heartbeat.sendAll()
	}
}

// leave announces the graceful shutdown of this machine, and proposes a view without this machine if the proposer wants
// a change.
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
