package chain

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Append handles changes from the predecessor.
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
			r.requestSyncOnce(&output) // a change before this one is missing
			break
		}
	}
	if len(output.Writes) == 0 {
		r.answerDuplicate(&output)
	}
	return output
}

// answerDuplicate answers an Append without a new change. The predecessor sends such an Append if the
// acknowledgement was lost, or if it has restarted and does not know up to which sequence the state is committed.
func (r *Replica) answerDuplicate(output *Output) {
	switch {
	case r.isLearner():
		r.markCommitted(output, r.state.Newest)
	case r.commitKnown:
		r.sendAcknowledge(output)
	}
}

// awaitsAcknowledge reports whether an acknowledgement of the successor is missing: the acknowledgement of a change, or
// the first acknowledgement in the view, which contains the sequence up to which the state is committed.
func (r *Replica) awaitsAcknowledge() bool {
	if r.successor() == nil || !r.synchronized {
		return false
	}
	return !r.commitKnown || r.acknowledged < r.state.Newest.Sequence()
}

// sendAppend sends the successor the changes that it has not acknowledged, if the history reaches back that far.
// Otherwise it sends only the last change: the successor then acknowledges the committed sequence, or requests a
// repair.
func (r *Replica) sendAppend(output *Output) {
	changes, found := r.state.History.Since(r.acknowledged)
	if !found {
		changes, _ = r.state.History.Since(r.state.Newest.Sequence() - min(1, r.state.Newest.Sequence()))
	}
	message := &pb.Append{
		ViewNumber: r.state.View.GetNumber(),
		Changes:    changes,
		Committed:  r.committed.Sequence(),
	}
	linksToTail := len(r.state.View.GetChain()) - 1 - r.position()
	r.appendPacer.recordSend(proto.Size(message), linksToTail)
	r.appendBase = r.state.Newest.Sequence() - uint64(len(changes))
	r.send(output, r.successor(), &pb.Message{Body: &pb.Message_Append{Append: message}})
}

// Undelivered handles a notification that a message of this replica may not have reached its receiver. The message is
// then sent again without waiting for an answer.
func (r *Replica) Undelivered(message *pb.Message) {
	receiver := message.GetToIdentity()
	switch body := message.GetBody().(type) {
	case *pb.Message_Append:
		if r.isCurrent(body.Append.GetViewNumber()) && receiver == r.successor().GetIdentity() {
			r.appendPacer.recordUndelivered()
		}
	case *pb.Message_SyncResponse:
		responsePacer, known := r.responsePacers[receiver]
		if known && r.isCurrent(body.SyncResponse.GetViewNumber()) {
			responsePacer.recordUndelivered()
		}
	}
}

// isAppendInFlight reports whether the changes after a sequence may still be in flight to the successor. Heartbeats use
// another connection and can overtake large changes, so a successor that is behind has not necessarily missed them.
func (r *Replica) isAppendInFlight(sequence uint64) bool {
	return sequence >= r.appendBase && r.awaitsAcknowledge() && r.appendPacer.isInFlight()
}
