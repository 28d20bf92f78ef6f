package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// send addresses a message to a replica. Messages to this machine itself are handled at once.
func (m *Machine) send(to *pb.Replica, message *pb.Message) {
	if to.GetIdentity() == m.self.GetIdentity() {
		message.From = m.self
		m.handle(message)
		return
	}
	m.sendTo(m.addressOf(to), to.GetIdentity(), message)
}

// addressOf prefers the address that the replica itself has told last.
func (m *Machine) addressOf(to *pb.Replica) string {
	if found, known := m.peers.known[to.GetIdentity()]; known {
		return found.replica.GetAddress()
	}
	return to.GetAddress()
}

func (m *Machine) sendTo(address, identity string, message *pb.Message) {
	if address == "" || address == m.self.GetAddress() {
		return
	}
	m.actions = append(m.actions, Send{Address: address, Message: &pb.Message{
		From:       m.self,
		ToIdentity: identity,
		Cluster:    m.View().GetCluster(),
		Body:       message.GetBody(),
	}})
}

// receive checks that a message is meant for this machine and notes its sender.
func (m *Machine) receive(message *pb.Message) {
	from := message.GetFrom()
	if from.GetIdentity() == "" || from.GetIdentity() == m.self.GetIdentity() {
		return
	}
	if to := message.GetToIdentity(); to != "" && to != m.self.GetIdentity() {
		m.noteCaller(from)
		return
	}
	own := m.View().GetCluster()
	if own != "" && message.GetCluster() != "" && message.GetCluster() != own {
		return
	}
	m.compareWithTold() // before this message restores contact that was lost since the last tick
	found := m.peers.note(from, m.now)
	if heartbeat := message.GetHeartbeat(); heartbeat != nil && !found.acceptHeartbeat(heartbeat, m.now, m.wakesLate()) {
		return
	}
	m.handle(message)
}

// noteCaller remembers a machine that looks for an earlier identity of this one: a machine that has lost its
// disk, and whose seeds are gone, finds the others by that.
func (m *Machine) noteCaller(from *pb.Replica) {
	if m.View() == nil {
		m.peers.note(from, m.now)
	}
}

func (m *Machine) handle(message *pb.Message) {
	from := message.GetFrom()
	switch body := message.GetBody().(type) {
	case *pb.Message_Prepare:
		m.prepare(from, body.Prepare)
	case *pb.Message_Promise:
		m.promise(from, body.Promise)
	case *pb.Message_Accept:
		m.accept(from, body.Accept)
	case *pb.Message_Accepted:
		m.accepted(from, body.Accepted)
	case *pb.Message_Decided:
		m.learn(body.Decided.GetView())
	case *pb.Message_Fenced:
		m.learn(body.Fenced.GetView())
	case *pb.Message_Heartbeat:
		m.heartbeat(from, body.Heartbeat)
	case *pb.Message_Append, *pb.Message_Acknowledge, *pb.Message_SyncRequest, *pb.Message_SyncResponse:
		m.chainMessage(message)
	case *pb.Message_Order:
		m.order(from, body.Order)
	case *pb.Message_OrderResult:
		m.orderResult(from, body.OrderResult)
	case *pb.Message_ViewCheck:
		m.viewCheck(from, body.ViewCheck)
	case *pb.Message_ViewCheckResult:
		m.viewCheckResult(from, body.ViewCheckResult)
	case *pb.Message_ServerList:
		m.actions = append(m.actions, ServerListReceived{List: body.ServerList})
	}
}

// chainMessage hands a message of replication to the replica, or tells the sender of a later view.
func (m *Machine) chainMessage(message *pb.Message) {
	from := message.GetFrom()
	number := uint64(0)
	switch body := message.GetBody().(type) {
	case *pb.Message_Append:
		number = body.Append.GetViewNumber()
		m.perform(m.replica.Append(from, body.Append))
	case *pb.Message_Acknowledge:
		number = body.Acknowledge.GetViewNumber()
		m.perform(m.replica.Acknowledged(from, body.Acknowledge))
	case *pb.Message_SyncRequest:
		number = body.SyncRequest.GetViewNumber()
		m.perform(m.replica.SyncRequest(message))
	case *pb.Message_SyncResponse:
		number = body.SyncResponse.GetViewNumber()
		m.perform(m.replica.SyncResponse(from, body.SyncResponse))
	}
	m.settleOrders()
	if view := m.View(); view != nil && number < view.GetNumber() {
		m.send(from, &pb.Message{Body: &pb.Message_Fenced{Fenced: &pb.Fenced{View: view}}})
	}
}

// heartbeat notes another machine's state and tells it of a later view.
func (m *Machine) heartbeat(from *pb.Replica, heartbeat *pb.Heartbeat) {
	m.actions = append(m.actions, HeartbeatReceived{From: from, Heartbeat: heartbeat})
	if view := m.View(); view != nil && heartbeat.GetViewNumber() < view.GetNumber() {
		m.send(from, &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}})
	}
	m.noteTold(from, heartbeat)
	m.perform(m.replica.ObserveHeartbeat(from, heartbeat))
}

// sendHeartbeats shows all machines that matter that this one lives.
func (m *Machine) sendHeartbeats() {
	published := m.replica.Advertised()
	message := &pb.Message{Body: &pb.Message_Heartbeat{Heartbeat: &pb.Heartbeat{
		ViewNumber:     published.ViewNumber,
		Sequence:       published.Sequence,
		Committed:      sequenceOf(m.replica.Committed()),
		StorageHealthy: m.isFit(),
		Synchronised:   published.Synchronized,
		Bootstrap:      m.bootstrap && m.View() == nil,
		Incarnation:    m.incarnation,
		Leaving:        m.leaving.begun,
	}}}
	sent := make(map[string]bool)
	for _, voter := range m.View().GetVoters() {
		address := m.addressOf(voter)
		sent[address] = true
		m.sendTo(address, voter.GetIdentity(), message)
	}
	for _, identity := range sortedKeys(m.peers.known) {
		found := m.peers.known[identity]
		address := found.replica.GetAddress()
		if m.isLive(identity) && !sent[address] {
			sent[address] = true
			m.sendTo(address, identity, message)
		}
	}
	if m.settledIn() {
		return
	}
	for _, seed := range m.contacts {
		if address := m.config.PeerAddress(seed); !sent[address] {
			sent[address] = true
			m.sendTo(address, "", message)
		}
	}
}

// broadcast sends a server list to the live machines.
func (m *Machine) broadcast(list *pb.ServerList) {
	message := &pb.Message{Body: &pb.Message_ServerList{ServerList: list}}
	for _, identity := range sortedKeys(m.peers.known) {
		if m.isLive(identity) {
			m.sendTo(m.peers.known[identity].replica.GetAddress(), identity, message)
		}
	}
}

// settledIn reports whether this machine votes and hears a majority: it need not ask the seeds.
func (m *Machine) settledIn() bool {
	return quorum.VoterIndex(m.View(), m.self) != quorum.NotFound && m.View() != nil && m.hearsMajority()
}
