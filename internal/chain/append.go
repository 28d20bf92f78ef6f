package chain

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/quorum"
)

// Append takes changes from the upstream.
func (r *Replica) Append(from *pb.Replica, message *pb.Append) Output {
	var output Output
	if !r.isCurrent(message.GetViewNumber()) || !r.isPredecessor(from) {
		return output
	}
	if r.unpersisted > 0 || !r.synchronized {
		return output
	}
	for _, change := range message.GetChanges() {
		if change.GetSequence() <= r.state.Newest.Sequence() {
			continue
		}
		if err := r.applyChange(&output, change); err != nil {
			r.requestSyncOnce(&output)
			break
		}
	}
	if len(output.Writes) == 0 {
		r.answerDuplicate(&output)
	}
	return output
}

// answerDuplicate answers an Append that brought nothing new: the acknowledgement was lost, or a replica that
// restarted wants to know what is committed.
func (r *Replica) answerDuplicate(output *Output) {
	switch {
	case r.isLearner():
		r.markCommitted(output, r.state.Newest)
	case r.commitKnown:
		r.sendAcknowledge(output)
	}
}

// Acknowledged takes the successor's word that everything up to a sequence number is on disk from there to
// the tail.
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

// snapshotAt returns a state that is kept, or nil.
func (r *Replica) snapshotAt(sequence uint64) *catalog.Snapshot {
	if r.state.Newest.Sequence() == sequence {
		return r.state.Newest
	}
	if r.previous != nil && r.previous.Sequence() == sequence {
		return r.previous
	}
	return nil
}

// isCurrent reports whether a message belongs to the view in force.
func (r *Replica) isCurrent(number uint64) bool {
	return r.state.View != nil && number == r.state.View.GetNumber()
}

func (r *Replica) awaitsAcknowledge() bool {
	if r.successor() == nil || !r.synchronized {
		return false
	}
	return !r.commitKnown || r.acknowledged < r.state.Newest.Sequence()
}

// sendAppend sends the successor what it has not acknowledged, as far as that is kept; if it is not kept, the
// message still asks for the successor's acknowledgement.
func (r *Replica) sendAppend(output *Output) {
	changes, found := r.state.History.Since(r.acknowledged)
	if !found {
		changes, _ = r.state.History.Since(r.state.Newest.Sequence() - min(1, r.state.Newest.Sequence()))
	}
	message := &pb.Append{
		ViewNumber: r.state.View.GetNumber(),
		Changes:    changes,
		Committed:  sequenceOf(r.committed),
	}
	r.appendPacer.recordSend(proto.Size(message), len(r.state.View.GetChain())-1-r.position())
	r.appendBase = r.state.Newest.Sequence() - uint64(len(changes))
	r.send(output, r.successor(), &pb.Message{Body: &pb.Message_Append{Append: message}})
}

// Undelivered tells that a message of this replica may not have reached its receiver: its repeat need not wait for an
// answer.
func (r *Replica) Undelivered(message *pb.Message) {
	receiver := message.GetToIdentity()
	switch body := message.GetBody().(type) {
	case *pb.Message_Append:
		if r.isCurrent(body.Append.GetViewNumber()) && receiver == r.successor().GetIdentity() {
			r.appendPacer.recordUndelivered()
		}
	case *pb.Message_SyncResponse:
		pace, known := r.responsePacers[receiver]
		if known && r.isCurrent(body.SyncResponse.GetViewNumber()) {
			pace.recordUndelivered()
		}
	}
}

// commitTail commits all that the tail has on disk, and tells the predecessor and the learners.
func (r *Replica) commitTail(output *Output) {
	before := r.committed
	r.markCommitted(output, r.state.Newest)
	r.sendAcknowledge(output)
	if output.Committed {
		r.appendToLearners(output, before)
	}
}

// commit notes that a state is committed. An older one than is known already changes nothing.
func (r *Replica) markCommitted(output *Output, snapshot *catalog.Snapshot) {
	r.commitKnown = true
	if r.committed != nil && snapshot.Sequence() <= r.committed.Sequence() {
		return
	}
	r.committed = snapshot
	output.Committed = true
}

// acknowledge tells the predecessor what is committed.
func (r *Replica) sendAcknowledge(output *Output) {
	if r.predecessor() == nil || r.isLearner() || !r.commitKnown {
		return
	}
	r.send(output, r.predecessor(), &pb.Message{Body: &pb.Message_Acknowledge{Acknowledge: &pb.Acknowledge{
		ViewNumber: r.state.View.GetNumber(),
		Sequence:   r.committed.Sequence(),
	}}})
}

// appendToLearners sends the new committed changes to the voters outside of the chain and to those that stand by. Those
// that miss one see it by the tail's heartbeats and ask.
func (r *Replica) appendToLearners(output *Output, before *catalog.Snapshot) {
	changes, found := r.state.History.Since(sequenceOf(before))
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

// learners are the machines that follow the tail without being in the chain.
func (r *Replica) learners() []*pb.Replica {
	var learners []*pb.Replica
	for _, voter := range r.state.View.GetVoters() {
		if r.state.position(voter.GetIdentity()) == quorum.NotFound {
			learners = append(learners, voter)
		}
	}
	return append(learners, r.standbys...)
}

func sequenceOf(snapshot *catalog.Snapshot) uint64 {
	if snapshot == nil {
		return 0
	}
	return snapshot.Sequence()
}

func (r *Replica) send(output *Output, to *pb.Replica, message *pb.Message) {
	output.Messages = append(output.Messages, OutgoingMessage{To: to, Message: message})
}
