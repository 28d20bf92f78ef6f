package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/quorum"
)

// Acknowledged handles an acknowledgement of the successor: all changes up to a sequence are on disk from the successor
// to the tail, and therefore committed.
func (r *Replica) Acknowledged(from *pb.Replica, message *pb.Acknowledge) Output {
	var output Output
	if !r.isCurrent(message.GetViewNumber()) || !r.isSuccessor(from) || !r.synchronized {
		return output
	}
	sequence := message.GetSequence()
	if sequence > r.state.Newest.Sequence() {
		return output
	}
	r.acknowledged = max(r.acknowledged, sequence)
	snapshot := r.snapshotAt(sequence)
	if snapshot == nil {
		return output
	}
	r.markCommitted(&output, snapshot)
	r.sendAcknowledge(&output)
	return output
}

// snapshotAt returns the newest or the previous snapshot, whichever has the given sequence, or nil if neither does.
func (r *Replica) snapshotAt(sequence uint64) *catalog.Snapshot {
	if r.state.Newest.Sequence() == sequence {
		return r.state.Newest
	}
	if r.previous != nil && r.previous.Sequence() == sequence {
		return r.previous
	}
	return nil
}

// commitTail commits the tail's whole state, which is on disk, and notifies the predecessor and the learners.
func (r *Replica) commitTail(output *Output) {
	before := r.committed
	r.markCommitted(output, r.state.Newest)
	r.sendAcknowledge(output)
	if output.Committed {
		r.appendToLearners(output, before)
	}
}

// markCommitted records that a state is committed, unless a newer state is already known to be committed.
func (r *Replica) markCommitted(output *Output, snapshot *catalog.Snapshot) {
	r.commitKnown = true
	if r.committed != nil && snapshot.Sequence() <= r.committed.Sequence() {
		return
	}
	r.committed = snapshot
	output.Committed = true
}

// sendAcknowledge sends the predecessor the sequence of the committed state.
func (r *Replica) sendAcknowledge(output *Output) {
	if r.predecessor() == nil || r.isLearner() || !r.commitKnown {
		return
	}
	r.send(output, r.predecessor(), &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{
		ViewNumber: r.state.View.GetNumber(),
		Sequence:   r.committed.Sequence(),
	}}})
}

// appendToLearners sends the learners the changes that were committed after a state. The message is not retried: a
// learner that misses a message detects the gap by the tail's heartbeats and requests a repair.
func (r *Replica) appendToLearners(output *Output, before *catalog.Snapshot) {
	changes, found := r.state.History.Since(before.Sequence())
	if !found {
		return
	}
	for _, learner := range r.learners() {
		r.send(output, learner, &pb.Message{Body: &pb.Message_Append{Append: &pb.Append{
			ViewNumber: r.state.View.GetNumber(),
			Changes:    changes,
			Committed:  r.committed.Sequence(),
		}}})
	}
}

// learners returns the machines that follow the tail: the voters outside of the chain, then the standbys.
func (r *Replica) learners() []*pb.Replica {
	var learners []*pb.Replica
	for _, voter := range r.state.View.GetVoters() {
		if r.state.position(voter.GetIdentity()) == quorum.NotFound {
			learners = append(learners, voter)
		}
	}
	return append(learners, r.standbys...)
}
