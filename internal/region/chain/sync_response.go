package chain

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/quorum"
)

// SyncRequest handles a request for this replica's state. The request is answered immediately if the replica holds the
// state of the request's view. Otherwise the request is stored until the replica holds that state; the replica may not
// have adopted the view yet.
func (r *Replica) SyncRequest(message *pb.Message) Output {
	var output Output
	number := message.GetSyncRequest().GetViewNumber()
	if number < r.state.View.GetNumber() {
		return output
	}
	if r.isCurrent(number) && r.synchronized && r.unpersisted == 0 {
		r.answerSync(&output, message)
		return output
	}
	r.storeEarlyRequest(message)
	return output
}

// storeEarlyRequest stores a request that cannot be answered yet. Only the newest request of each machine is stored.
func (r *Replica) storeEarlyRequest(message *pb.Message) {
	if r.earlyRequests == nil {
		r.earlyRequests = make(map[string]*pb.Message)
	}
	identity := message.GetFrom().GetIdentity()
	if _, known := r.earlyRequests[identity]; known || len(r.earlyRequests) < maxEarlyRequests {
		r.earlyRequests[identity] = message
	}
}

// discardStaleRequests discards the early requests of views before the view in force.
func (r *Replica) discardStaleRequests() {
	for identity, message := range r.earlyRequests {
		if message.GetSyncRequest().GetViewNumber() < r.state.View.GetNumber() {
			delete(r.earlyRequests, identity)
		}
	}
}

// answerEarlyRequests answers the early requests of voters. Other machines retry their requests.
func (r *Replica) answerEarlyRequests(output *Output) {
	for _, voter := range r.state.View.GetVoters() {
		message, found := r.earlyRequests[voter.GetIdentity()]
		if found && r.isCurrent(message.GetSyncRequest().GetViewNumber()) {
			r.answerSync(output, message)
			delete(r.earlyRequests, voter.GetIdentity())
		}
	}
}

// answerSync sends the ranges in which the sender's digests differ from this replica. It sends nothing if the sender is
// neither the successor nor a learner of this replica, or if the missing changes may still be in flight to it.
func (r *Replica) answerSync(output *Output, message *pb.Message) {
	request := message.GetSyncRequest()
	digests := request.GetDigests()
	if !r.suppliesState(message.GetFrom()) || len(digests.GetDigests()) != catalog.RangeCount+1 {
		return
	}
	if request.GetSynchronized() && r.isSuccessor(message.GetFrom()) && r.isAppendInFlight(digests.GetSequence()) {
		return
	}
	r.addStandby(message.GetFrom())
	responsePacer := r.responsePacer(message.GetFrom().GetIdentity())
	if !responsePacer.isDue() {
		return
	}
	response := &pb.SyncResponse{ViewNumber: r.state.View.GetNumber(), Repair: r.repairWithToken(digests)}
	if size := proto.Size(response); size > slowLinkTickBytes {
		responsePacer.recordSend(size, 1)
	}
	r.send(output, message.GetFrom(), &pb.Message{Body: &pb.Message_SyncResponse{SyncResponse: response}})
}

// repairWithToken returns the repair for the digests of a request, with the token that follows the digests.
func (r *Replica) repairWithToken(digests *pb.RangeDigests) *pb.Repair {
	token := digests.GetDigests()[tokenRange]
	repair := r.state.Newest.ReplicaRepairFor(&pb.RangeDigests{
		Sequence:       digests.GetSequence(),
		Generation:     digests.GetGeneration(),
		Digests:        digests.GetDigests()[:catalog.RangeCount],
		ExecutedOrders: digests.GetExecutedOrders(),
	})
	repair.Ranges = append(repair.Ranges, &pb.Range{
		Index: tokenRange,
		Items: []*pb.Item{{Sequence: token}},
	})
	return repair
}

// addStandby registers a machine that is neither a voter nor in the chain, so that it receives the changes that are
// committed from now on in this view.
func (r *Replica) addStandby(from *pb.Replica) {
	identity := from.GetIdentity()
	view := r.state.View
	votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
	inChain := r.state.position(identity) != quorum.NotFound
	known := quorum.IndexOf(r.standbys, identity) != quorum.NotFound
	if votes || inChain || known || len(r.standbys) >= quorum.MaxVoters {
		return
	}
	r.standbys = append(r.standbys, from)
}

// responsePacer returns the pacer of responses to a machine. At most maxEarlyRequests pacers are stored for a view; the
// requests of further machines are answered without a delay.
func (r *Replica) responsePacer(identity string) *pacer {
	responsePacer, known := r.responsePacers[identity]
	if !known {
		responsePacer = &pacer{}
		if len(r.responsePacers) < maxEarlyRequests {
			r.responsePacers[identity] = responsePacer
		}
	}
	return responsePacer
}
