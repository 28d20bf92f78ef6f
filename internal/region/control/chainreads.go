package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
)

// chainReads are the reads that arrive at this machine as a member of the chain: whatever an operator's order was
// acknowledged for is on the disks of all members. A quorum check before the answer makes sure that there is no later
// chain.
type chainReads struct {
	local   *localMachine
	replica *chain.Replica
	output  *stepOutput
	checks  *quorumChecks
}

// receive takes a read that was forwarded to this machine. An origin that holds the newest state itself gets only
// this information.
func (r *chainReads) receive(from *pb.Replica, order *pb.Order) {
	if r.checks.contains(from, order.GetId()) {
		return
	}
	minSequence, found := r.minSequence()
	if !found {
		r.output.sendResult(from, unavailable(order.GetId()))
		return
	}
	r.checks.beginRead(from, order, minSequence)
}

// minSequence is the sequence of a state that has whatever was acknowledged until now; false if none is known here. At
// the tail it is committed. Another member holds changes besides that may not be committed yet.
func (r *chainReads) minSequence() (uint64, bool) {
	if viewInForce(r.replica) == nil || !r.replica.IsMember() || !r.replica.Synchronized() {
		return 0, false
	}
	if r.replica.Tail().GetIdentity() != r.local.identity() {
		newest := r.replica.Newest()
		return newest.Sequence(), newest.Generation() != 0
	}
	if !r.replica.KnowsCommitted() {
		return 0, false
	}
	committed := r.replica.Committed()
	return committed.Sequence(), committed.Generation() != 0
}
