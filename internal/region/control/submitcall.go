package control

import (
	"context"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/coordination"
)

// Call passes a call of an application to the Machine and waits for its result, for at most CallTimeout and
// submitTimeoutMargin, and for a watch also its wait time. It never returns nil: the outcome is UNAVAILABLE if the call
// was not executed and never will be, UNKNOWN if the call may have been or may still be executed. The Machine modifies
// the call. Call is safe for concurrent use.
func (n *Node) Call(ctx context.Context, call *pb.CoordinationCall) *pb.CoordinationResult {
	n.counters.calls.Add(1)
	answer := make(chan *pb.CoordinationResult, 1) // buffered, so that the loop never waits for a caller
	request := n.registerCall(answer)
	defer n.unregisterCall(request)
	wait := time.Duration(call.GetWatch().GetWaitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, coordination.CallTimeout+submitTimeoutMargin+wait)
	defer cancel()
	select {
	case n.events <- CallSubmitted{Request: request, Call: call}:
	case <-ctx.Done():
		return &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE}
	}
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
		n.cancelCall(request)
		return &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNKNOWN}
	}
}

// cancelCall reports to the Machine that the caller of a call no longer waits. If the event queue is full, the report
// is dropped: the call then ends at its deadline.
func (n *Node) cancelCall(request uint64) {
	select {
	case n.events <- CallCanceled{Request: request}:
	default:
	}
}

func (n *Node) registerCall(answer chan *pb.CoordinationResult) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastRequest++
	n.callReplies[n.lastRequest] = answer
	return n.lastRequest
}

func (n *Node) unregisterCall(request uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.callReplies, request)
}

// replyToCall carries out a CallReply action; the caller may no longer be waiting.
func (n *Node) replyToCall(action CallReply) {
	n.mu.Lock()
	answer := n.callReplies[action.Request]
	delete(n.callReplies, action.Request)
	n.mu.Unlock()
	if answer != nil {
		answer <- action.Result
	}
}
