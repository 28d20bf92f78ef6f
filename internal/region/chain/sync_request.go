package chain

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// Delays, in ticks, before a sync request is retried. The delay doubles with each retry, from firstSyncRetryTicks
// to maxSyncRetryTicks.
const (
	firstSyncRetryTicks = 2
	maxSyncRetryTicks   = 4
)

// syncRequest is a pending request for the predecessor's state. A retry with the digests of the same snapshot belongs
// to the same request but has a token of its own.
type syncRequest struct {
	firstToken uint64            // token of the first attempt
	lastToken  uint64            // token of the last attempt; a response to any attempt is accepted
	base       *catalog.Snapshot // snapshot whose digests were sent
	ageTicks   int               // time since the last attempt
	retryTicks int               // delay from the last attempt to the next
}

func (s *syncRequest) isAnsweredBy(token uint64) bool {
	return token >= s.firstToken && token <= s.lastToken
}

// tokenRange is the index of the additional digest of a request and range of a repair that carry the request's token. A
// repair lists the differences from exactly the digests that were sent, so each response must be matched with its
// request. The token is sent as one more digest after those of the ranges, and returned as one more range with a single
// item whose sequence is the token.
const tokenRange = catalog.RangeCount

// splitToken returns a repair without its token, and the token, or 0 if the repair has none.
func splitToken(repair *pb.Repair) (*pb.Repair, uint64) {
	last := len(repair.GetRanges()) - 1
	if last < 0 || repair.GetRanges()[last].GetIndex() != tokenRange {
		return repair, 0
	}
	items := repair.GetRanges()[last].GetItems()
	if len(items) != 1 {
		return repair, 0
	}
	withoutToken := &pb.Repair{
		Sequence:       repair.GetSequence(),
		Generation:     repair.GetGeneration(),
		Ranges:         repair.GetRanges()[:last],
		ExecutedOrders: repair.GetExecutedOrders(),
	}
	return withoutToken, items[0].GetSequence()
}

// ObserveHeartbeat compares the sequence that the predecessor advertises with the sequence of this replica. If two
// consecutive heartbeats are ahead, an append was probably lost, and the replica requests the predecessor's state. A
// single heartbeat that is ahead may only have overtaken an append.
func (r *Replica) ObserveHeartbeat(from *pb.Replica, heartbeat *pb.Heartbeat) Output {
	var output Output
	if !r.isPredecessor(from) || heartbeat.GetViewNumber() != r.state.View.GetNumber() {
		return output
	}
	if heartbeat.GetSequence() <= r.state.Newest.Sequence() || r.unpersisted > 0 || !r.synchronized {
		r.heartbeatsBehind = 0
		return output
	}
	r.heartbeatsBehind++
	if r.heartbeatsBehind > 1 && r.request == nil {
		r.requestSync(&output)
	}
	return output
}

// requestSyncOnce requests the predecessor's state unless a request is pending.
func (r *Replica) requestSyncOnce(output *Output) {
	if r.request == nil {
		r.requestSync(output)
	}
}

// requestSync sends a request for the predecessor's state. The request is a retry if the pending request is for the
// same snapshot.
func (r *Replica) requestSync(output *Output) {
	r.syncToken++
	if r.request == nil || r.request.base != r.state.Newest {
		r.request = &syncRequest{firstToken: r.syncToken, base: r.state.Newest, retryTicks: firstSyncRetryTicks}
	} else {
		r.request.retryTicks = min(2*r.request.retryTicks, maxSyncRetryTicks)
	}
	r.request.lastToken = r.syncToken
	r.request.ageTicks = 0
	predecessor := r.predecessor()
	if predecessor == nil {
		return
	}
	digests := r.state.Newest.ReplicaDigests()
	digests.Digests = append(digests.Digests, r.syncToken)
	r.send(output, predecessor, &pb.Message{Body: &pb.Message_SyncRequest{SyncRequest: &pb.SyncRequest{
		ViewNumber:   r.state.View.GetNumber(),
		Digests:      digests,
		Synchronized: r.synchronized,
	}}})
}

// retrySync counts a tick of the pending request and retries the request when that is due. Without a pending request it
// sends one.
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

// SyncResponse handles the predecessor's answer to a sync request.
func (r *Replica) SyncResponse(from *pb.Replica, message *pb.SyncResponse) Output {
	var output Output
	if !r.isCurrent(message.GetViewNumber()) || !r.isPredecessor(from) || r.request == nil || r.unpersisted > 0 {
		return output
	}
	repair, token := splitToken(message.GetRepair())
	if !r.request.isAnsweredBy(token) || r.request.base != r.state.Newest {
		return output
	}
	if r.synchronized && repair.GetSequence() <= r.state.Newest.Sequence() {
		r.request = nil
		return output
	}
	r.restoreState(&output, repair)
	return output
}

// restoreState replaces the state by the state of the predecessor, which discards changes that the predecessor does not
// hold.
// A malformed repair changes nothing; the request is then retried.
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
	same := next.Equal(r.state.Newest)
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
