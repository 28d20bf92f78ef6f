package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

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
