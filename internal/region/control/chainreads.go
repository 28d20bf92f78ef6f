package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
)

// chainReads handles the reads that arrive at this machine as a member of the chain. Every member has each acknowledged
// change on disk, so any member can answer; a quorum check before the answer ensures that no later view, with another
// chain, exists.
type chainReads struct {
	local   *localMachine
	replica *chain.Replica
	output  *stepOutput
	checks  *quorumChecks
}

// receive begins a read that was forwarded to this machine. If the origin already holds the newest committed state, the
// result only says so and does not contain the configuration.
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

// minSequence returns a sequence such that every state at or above it contains everything acknowledged until now; false
// if this machine knows no such sequence. The tail returns its committed sequence. Any other member also holds changes
// that may not be committed yet, so it returns the sequence of its newest change, which must be committed before the
// read is answered.
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
