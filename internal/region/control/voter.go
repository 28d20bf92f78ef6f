package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// voter is the Paxos acceptor of this machine: it answers the proposers of the view that follows the view in force. A
// promise or an accepted proposal is on disk before the answer is sent.
type voter struct {
	clock      *clock
	replica    *chain.Replica
	electorate *electorate
	planner    *viewPlanner
	disk       *diskQueue
	output     *stepOutput
	// spuriousProposals is set in simulations that propose views without need; the voter then withholds no promise.
	spuriousProposals bool

	acceptor   *quorum.Acceptor
	acceptedAt time.Duration // time at which this voter last accepted a proposal
}

// enterView replaces the acceptor by an acceptor for the view that follows a decided view. Promises for the decided
// view have no effect any more.
func (v *voter) enterView(view *pb.View) { v.acceptor = quorum.NewAcceptor(view.GetNumber() + 1) }

// hasUndecided reports whether a proposal that was accepted here has stayed undecided for longer than undecidedTimeout.
// Its proposer may have failed, so another voter should complete it.
func (v *voter) hasUndecided() bool {
	return v.acceptor.HasAccepted() && v.clock.now-v.acceptedAt > undecidedTimeout
}

// prepare answers a proposer's Prepare.
func (v *voter) prepare(from *pb.Replica, prepare *pb.Prepare) {
	if !v.answersFor(from, prepare.GetViewNumber()) {
		return
	}
	if !v.agreesToChange(from) {
		v.output.send(from, &pb.Message{Body: &pb.Message_Promise{Promise: &pb.Promise{
			ViewNumber: prepare.GetViewNumber(),
			Ballot:     prepare.GetBallot(),
			Promised:   v.acceptor.Promised(),
		}}})
		return
	}
	promise := v.acceptor.Prepare(prepare)
	v.answer(from, promise.GetGranted(), &pb.Message{Body: &pb.Message_Promise{Promise: promise}})
}

// accept answers a proposer's Accept.
func (v *voter) accept(from *pb.Replica, accept *pb.Accept) {
	if !v.answersFor(from, accept.GetViewNumber()) {
		return
	}
	accepted := v.acceptor.Accept(accept)
	if accepted.GetGranted() {
		v.acceptedAt = v.clock.now
	}
	v.answer(from, accepted.GetGranted(), &pb.Message{Body: &pb.Message_Accepted{Accepted: accepted}})
}

// answer sends an answer of the acceptor. A grant is sent only when its record is on disk; a rejection does not bind
// the acceptor and is sent at once.
func (v *voter) answer(to *pb.Replica, granted bool, message *pb.Message) {
	if !granted {
		v.output.send(to, message)
		return
	}
	v.disk.persistThenSend(promiseRecord(v.acceptor), to, message)
}

// answersFor reports whether this machine answers proposals for a view. It sends the view in force to a proposer whose
// proposal is for that view or an earlier one.
func (v *voter) answersFor(from *pb.Replica, number uint64) bool {
	if view := viewInForce(v.replica); view != nil && number <= view.GetNumber() {
		v.output.sendView(from)
		return false
	}
	return number == v.acceptor.ViewNumber() && v.electorate.includesSelf() && v.disk.acceptsPromises()
}

// agreesToChange reports whether this voter gives a promise to a proposer. The voter withholds the promise if the
// proposer is outside the chain and all members of the chain are healthy: such a proposer may merely be partitioned
// from one member. Withholding a promise never harms safety. A proposal that was accepted here may be completed by any
// proposer.
func (v *voter) agreesToChange(from *pb.Replica) bool {
	view := viewInForce(v.replica)
	if view == nil || v.acceptor.HasAccepted() || v.spuriousProposals {
		return true
	}
	if quorum.IndexOf(view.GetChain(), from.GetIdentity()) != quorum.NotFound {
		return true
	}
	candidates := v.planner.chainCandidates(view.GetVoters())
	for _, member := range view.GetChain() {
		if !candidates[member.GetIdentity()].Healthy {
			return true
		}
	}
	return false
}

// checkQuorum answers whether this voter knows of no view, decided or accepted, later than the view that a quorum check
// names. A proposal that was promised here but not accepted cannot have been decided with the vote of this machine.
func (v *voter) checkQuorum(from *pb.Replica, check *pb.ViewCheck) {
	number := check.GetViewNumber()
	decidedLater := viewInForce(v.replica).GetNumber() > number
	acceptedLater := v.acceptor.ViewNumber() > number && v.acceptor.HasAccepted()
	v.output.send(from, &pb.Message{Body: &pb.Message_ViewCheckResult{ViewCheckResult: &pb.ViewCheckResult{
		Id:         check.GetId(),
		ViewNumber: number,
		Current:    !decidedLater && !acceptedLater,
	}}})
}
