package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// receiveAccepted handles a voter's answer to an Accept of this machine. If the answer decides the proposed view, the
// machine enters that view and announces it.
func (m *Machine) receiveAccepted(from *pb.Replica, accepted *pb.Accepted) {
	decided := m.proposer.receiveAccepted(from, accepted)
	if decided == nil {
		return
	}
	before := m.View()
	m.enterView(decided)
	m.announce(before, decided)
}

// announce sends a decided view to its voters and to the voters of the view before it.
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

// enterView enters a decided view if it is later than the view in force. Views of a cluster are decided one after
// another, so a later view supersedes everything that this machine did in earlier views; a machine may skip views.
func (m *Machine) enterView(view *pb.View) {
	before := m.View()
	if view.GetNumber() <= before.GetNumber() {
		return
	}
	if before != nil && view.GetCluster() != before.GetCluster() {
		return
	}
	m.rejoin.observeChange(before, view, m.planner.isLeaving)
	m.planner.enterView(before, view)
	m.voter.enterView(view)
	m.proposer.enterView()
	m.staleness.enterView()
	m.replication.perform(m.replica.Adopt(view))
	m.output.add(ViewChanged{View: view})
	m.coordination.engine.Enter(m.clock.now, view)
	m.head.enterView()
	m.origin.forwardAll()
}
