package chain

import (
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/quorum"
)

// Repeats of a sync request, in ticks: the first wait, and the longest.
const (
	firstSyncRetryTicks = 2
	maxSyncRetryTicks   = 4
)

// syncRequest is a request for the upstream's state that was not answered yet.
type syncRequest struct {
	first      uint64            // ticket with which it was sent first
	last       uint64            // and last: an answer to either will do
	base       *catalog.Snapshot // whose digests were sent
	ageTicks   int               // ticks since it was sent last
	retryTicks int               // ticks until it is sent again
}

func (s *syncRequest) isAnsweredBy(ticket uint64) bool {
	return ticket >= s.first && ticket <= s.last
}

// A repair says what differs from the very digests that were sent, so each answer must be matched with its
// request. The request's ticket travels as a further digest after those of the ranges, and comes back as a
// further range, with one item that has the ticket as its sequence.
const incarnationRange = catalog.RangeCount

func (r *Replica) requestSyncOnce(output *Output) {
	if r.request == nil {
		r.requestSync(output)
	}
}

// ask sends a request for the upstream's state, or sends it again.
func (r *Replica) requestSync(output *Output) {
	r.incarnation++
	if r.request == nil || r.request.base != r.state.Newest {
		r.request = &syncRequest{first: r.incarnation, base: r.state.Newest, retryTicks: firstSyncRetryTicks}
	} else {
		r.request.retryTicks = min(2*r.request.retryTicks, maxSyncRetryTicks)
	}
	r.request.last = r.incarnation
	r.request.ageTicks = 0
	upstream := r.predecessor()
	if upstream == nil {
		return
	}
	digests := r.state.Newest.ReplicaDigests()
	digests.Digests = append(digests.Digests, r.incarnation)
	r.send(output, upstream, &pb.Message{Body: &pb.Message_SyncRequest{SyncRequest: &pb.SyncRequest{
		ViewNumber: r.state.View.GetNumber(),
		Digests:    digests,
		Follows:    r.synchronized,
	}}})
}

func (r *Replica) retrySync(output *Output) {
	if r.request == nil {
		r.requestSync(output)
		return
	}
	r.request.ageTicks++
	if r.request.ageTicks >= r.request.retryTicks {
		r.requestSync(output)
	}
}

// SyncRequest answers a machine that takes its state from this replica, at once or when the replica holds the
// state of the view, which it may not even have learnt yet.
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

// remember keeps an early request, the newest of each machine.
func (r *Replica) storeEarlyRequest(message *pb.Message) {
	if r.earlyRequests == nil {
		r.earlyRequests = make(map[string]*pb.Message)
	}
	identity := message.GetFrom().GetIdentity()
	if _, known := r.earlyRequests[identity]; known || len(r.earlyRequests) < maxEarlyRequests {
		r.earlyRequests[identity] = message
	}
}

// discardStaleRequests forgets the requests of earlier views.
func (r *Replica) discardStaleRequests() {
	for identity, message := range r.earlyRequests {
		if message.GetSyncRequest().GetViewNumber() < r.state.View.GetNumber() {
			delete(r.earlyRequests, identity)
		}
	}
}

// answerEarlyRequests answers the voters' early requests; other machines ask again.
func (r *Replica) answerEarlyRequests(output *Output) {
	for _, voter := range r.state.View.GetVoters() {
		message, found := r.earlyRequests[voter.GetIdentity()]
		if found && r.isCurrent(message.GetSyncRequest().GetViewNumber()) {
			r.answerSync(output, message)
			delete(r.earlyRequests, voter.GetIdentity())
		}
	}
}

func (r *Replica) answerSync(output *Output, message *pb.Message) {
	digests := message.GetSyncRequest().GetDigests()
	if !r.suppliesState(message.GetFrom()) || len(digests.GetDigests()) != catalog.RangeCount+1 {
		return
	}
	if message.GetSyncRequest().GetFollows() && r.isSuccessor(message.GetFrom()) && r.isAppendInFlight(digests.GetSequence()) {
		return
	}
	r.addStandby(message.GetFrom())
	pace := r.responsePacer(message.GetFrom().GetIdentity())
	if !pace.isDue() {
		return
	}
	ticket := digests.GetDigests()[incarnationRange]
	repair := r.state.Newest.ReplicaRepairFor(&pb.RangeDigests{
		Sequence:   digests.GetSequence(),
		Generation: digests.GetGeneration(),
		Digests:    digests.GetDigests()[:catalog.RangeCount],
		Taken:      digests.GetTaken(),
	})
	repair.Ranges = append(repair.Ranges, &pb.Range{
		Index: incarnationRange,
		Items: []*pb.Item{{Sequence: ticket}},
	})
	response := &pb.SyncResponse{ViewNumber: r.state.View.GetNumber(), Repair: repair}
	if size := proto.Size(response); size > slowLinkTickBytes {
		pace.recordSend(size, 1)
	}
	r.send(output, message.GetFrom(), &pb.Message{Body: &pb.Message_SyncResponse{SyncResponse: response}})
}

// isAppendInFlight reports whether the changes that a copy lacks are on their way to the successor: heartbeats overtake large
// ones. A successor that could not take them asks again.
func (r *Replica) isAppendInFlight(sequence uint64) bool {
	return sequence >= r.appendBase && r.awaitsAcknowledge() && r.appendPacer.isInFlight()
}

// addStandby remembers a machine that neither votes nor is in the chain, so that it is told what is committed from
// now on.
func (r *Replica) addStandby(from *pb.Replica) {
	identity := from.GetIdentity()
	view := r.state.View
	isMember := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound || r.state.position(identity) != quorum.NotFound
	if isMember || len(r.standbys) >= quorum.MaxVoters || quorum.IndexOf(r.standbys, identity) != quorum.NotFound {
		return
	}
	r.standbys = append(r.standbys, from)
}

// responsePacer is the pace of answers to one machine, of the first few that ask in a view.
func (r *Replica) responsePacer(identity string) *pacer {
	pace, known := r.responsePacers[identity]
	if !known {
		pace = &pacer{}
		if len(r.responsePacers) < maxEarlyRequests {
			r.responsePacers[identity] = pace
		}
	}
	return pace
}

// splitIncarnation removes the ticket from a repair and returns it; 0 if there is none.
func splitIncarnation(repair *pb.Repair) (*pb.Repair, uint64) {
	last := len(repair.GetRanges()) - 1
	if last < 0 || repair.GetRanges()[last].GetIndex() != incarnationRange {
		return repair, 0
	}
	items := repair.GetRanges()[last].GetItems()
	if len(items) != 1 {
		return repair, 0
	}
	plain := &pb.Repair{
		Sequence:   repair.GetSequence(),
		Generation: repair.GetGeneration(),
		Ranges:     repair.GetRanges()[:last],
		Taken:      repair.GetTaken(),
	}
	return plain, items[0].GetSequence()
}

// SyncResponse takes the upstream's state.
func (r *Replica) SyncResponse(from *pb.Replica, message *pb.SyncResponse) Output {
	var output Output
	if !r.isCurrent(message.GetViewNumber()) || !r.isPredecessor(from) || r.request == nil || r.unpersisted > 0 {
		return output
	}
	repair, ticket := splitIncarnation(message.GetRepair())
	if !r.request.isAnsweredBy(ticket) || r.request.base != r.state.Newest {
		return output
	}
	if r.synchronized && repair.GetSequence() <= r.state.Newest.Sequence() {
		r.request = nil
		return output
	}
	r.restoreState(&output, repair)
	return output
}

func (r *Replica) restoreState(output *Output, repair *pb.Repair) {
	next, err := r.state.Newest.Restore(repair)
	if err != nil {
		return
	}
	r.request = nil
	r.heartbeatsBehind = 0
	if !r.isLearner() {
		r.state.SynchronizedView = r.state.View.GetNumber()
	}
	same := next.SameAs(r.state.Newest)
	r.synchronized = true
	if same && r.isLearner() {
		r.advertise()
		r.markCommitted(output, r.state.Newest)
		return
	}
	if same {
		r.addWrite(output, Write{SynchronizedView: r.state.SynchronizedView})
		return
	}
	r.previous = nil
	r.state.Newest = next
	r.state.History.Reset(next.Sequence())
	r.addWrite(output, Write{Repair: repair, SynchronizedView: r.state.SynchronizedView})
}
