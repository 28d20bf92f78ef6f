package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// prepare answers a proposer's first step.
func (m *Machine) prepare(from *pb.Replica, prepare *pb.Prepare) {
	if !m.votesOn(from, prepare.GetViewNumber()) {
		return
	}
	if !m.agreesToChange(from) {
		m.send(from, &pb.Message{Body: &pb.Message_Promise{Promise: &pb.Promise{
			ViewNumber: prepare.GetViewNumber(),
			Ballot:     prepare.GetBallot(),
			Promised:   m.acceptor.Promised(),
		}}})
		return
	}
	promise := m.acceptor.Prepare(prepare)
	answer := &pb.Message{Body: &pb.Message_Promise{Promise: promise}}
	if !promise.GetGranted() {
		m.send(from, answer)
		return
	}
	m.voterReply(from, answer)
}

// votesOn reports whether this machine answers a proposer of a view, and tells the proposer of a later one.
func (m *Machine) votesOn(from *pb.Replica, number uint64) bool {
	if view := m.View(); view != nil && number <= view.GetNumber() {
		m.send(from, &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}})
		return false
	}
	return number == m.acceptor.ViewNumber() && m.votes() && m.diskAccepts()
}

// agreesToChange keeps a voter outside of the chain, which may be cut off from one member only, from changing
// a chain that works.
func (m *Machine) agreesToChange(from *pb.Replica) bool {
	view := m.View()
	if view == nil || m.acceptor.HasAccepted() || m.config.SpuriousProposals != nil {
		return true
	}
	if quorum.IndexOf(view.GetChain(), from.GetIdentity()) != quorum.NotFound {
		return true
	}
	candidates := m.candidates(view.GetVoters())
	for _, member := range view.GetChain() {
		if !candidates[member.GetIdentity()].Healthy {
			return true
		}
	}
	return false
}

// accept answers a proposer's second step.
func (m *Machine) accept(from *pb.Replica, accept *pb.Accept) {
	if !m.votesOn(from, accept.GetViewNumber()) {
		return
	}
	accepted := m.acceptor.Accept(accept)
	answer := &pb.Message{Body: &pb.Message_Accepted{Accepted: accepted}}
	if !accepted.GetGranted() {
		m.send(from, answer)
		return
	}
	m.election.accepted = m.now
	m.voterReply(from, answer)
}

// promise takes a voter's answer to this machine's Prepare.
func (m *Machine) promise(from *pb.Replica, promise *pb.Promise) {
	attempt := m.election.attempt
	if attempt == nil {
		return
	}
	majority := attempt.Promised(from, promise)
	if attempt.Phase() == quorum.Superseded {
		m.abandon()
		return
	}
	if !majority {
		return
	}
	wanted := m.chooseView()
	if wanted == nil && attempt.AcceptedEarlier() == nil {
		m.abandon()
		return
	}
	attempt.Choose(wanted)
	m.toVoters(&pb.Message{Body: &pb.Message_Accept{Accept: attempt.Accept()}})
}

// chooseView is the view to propose if the voters leave the choice to this machine; nil if none is needed.
func (m *Machine) chooseView() *pb.View {
	if m.View() == nil {
		return m.foundingView()
	}
	wanted, need := m.wantedView()
	if !need.any() && m.config.SpuriousProposals == nil {
		return nil
	}
	return wanted
}

// accepted takes a voter's answer to this machine's Accept.
func (m *Machine) accepted(from *pb.Replica, accepted *pb.Accepted) {
	attempt := m.election.attempt
	if attempt == nil {
		return
	}
	decided := attempt.Accepted(from, accepted)
	if attempt.Phase() == quorum.Superseded {
		m.abandon()
		return
	}
	if !decided {
		return
	}
	value := attempt.Value()
	before := m.View()
	m.learn(value)
	m.announce(before, value)
}

// announce tells a decided view to the voters of it and of the one before.
func (m *Machine) announce(before, view *pb.View) {
	message := &pb.Message{Body: &pb.Message_Decided{Decided: &pb.Decided{View: view}}}
	for _, voter := range view.GetVoters() {
		if !m.isSelf(voter) {
			m.send(voter, message)
		}
	}
	for _, voter := range before.GetVoters() {
		if quorum.IndexOf(view.GetVoters(), voter.GetIdentity()) == quorum.NotFound && !m.isSelf(voter) {
			m.send(voter, message)
		}
	}
}

// learn moves to a decided view if it is later than the one in force.
func (m *Machine) learn(view *pb.View) {
	before := m.View()
	if view.GetNumber() <= before.GetNumber() {
		return
	}
	if before != nil && view.GetCluster() != before.GetCluster() {
		return
	}
	m.noteDropped(before, view)
	m.acceptor = quorum.NewAcceptor(view.GetNumber() + 1)
	m.election.attempt = nil
	m.election.concern = 0
	m.election.highest = nil
	m.forgetTold()
	m.perform(m.replica.Adopt(view))
	m.actions = append(m.actions, ViewChanged{View: view})
	early := m.head.early
	m.dropHeadOrders()
	m.takeEarly(early)
	m.forwardAgain()
}
