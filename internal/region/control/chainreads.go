package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
)

// chainReads handles the reads that arrive at this machine as a member of the chain. Every member has each acknowledged
// change on disk, so any of them can answer; a quorum check before the answer ensures that no later view, with another
// chain, exists.
type chainReads struct {
	local   *localMachine
	replica *chain.Replica
	output  *stepOutput
	checks  *quorumChecks
}

// receive begins a read that was forwarded to this machine. An origin that holds the newest committed state itself is
// told only that, and does not get the configuration.
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

// minSequence returns the sequence from which on a state contains everything that was acknowledged until now; false if
// this machine cannot tell. At the tail it is the committed sequence. Another member also holds changes that may not be
// committed yet, so it uses the sequence of its newest change, which must be committed before the read is answered.
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
