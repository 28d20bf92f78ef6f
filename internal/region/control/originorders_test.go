package control

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A machine without heartbeats of a majority must reject orders at once: its whole chain may be partitioned from the
// other voters.
func TestOrdersAreAnsweredAtOnceWithoutAMajority(t *testing.T) {
	a := newAuthoritativeMachine(t)
	for _, kind := range []pb.Order_Kind{pb.Order_KIND_READ, pb.Order_KIND_REPLACE, pb.Order_KIND_EVACUATE_BEGIN} {
		require.Empty(t, repliesTo(a, kind), "the order must be forwarded, not answered")
	}
	a.pass(FailureTimeout+2*TickInterval, 0)
	for _, kind := range []pb.Order_Kind{pb.Order_KIND_READ, pb.Order_KIND_REPLACE, pb.Order_KIND_EVACUATE_BEGIN} {
		replies := repliesTo(a, kind)
		require.Len(t, replies, 1)
		require.EqualValues(t, http.StatusServiceUnavailable, replies[0].Result.GetStatus())
	}
}

// repliesTo returns the immediate replies to an order.
func repliesTo(a *authoritativeMachine, kind pb.Order_Kind) []Reply {
	var replies []Reply
	for _, action := range a.machine.Step(a.now, OrderSubmitted{Order: &pb.Order{Kind: kind}}) {
		if reply, isReply := action.(Reply); isReply {
			replies = append(replies, reply)
		}
	}
	return replies
}

// submitPending submits an order whose write is held, so that the order stays pending.
func submitPending(l *singleMachine, base, generation uint64) *pendingOrder {
	l.holdWrites = true
	l.step(OrderSubmitted{Request: generation, Order: replaceOrder(base, generation)})
	require.NotEmpty(l.t, l.machine.origin.pending)
	return l.machine.origin.pending[len(l.machine.origin.pending)-1]
}

func (l *singleMachine) receiveResult(from *pb.Replica, result *pb.OrderResult) {
	l.step(Received{Message: &pb.Message{
		From:       from,
		ToIdentity: l.machine.Self().GetIdentity(),
		Cluster:    l.machine.View().GetCluster(),
		Body:       &pb.Message_OrderResult{OrderResult: result},
	}})
}

// A result counts only if it is from a machine that the order was forwarded to.
func TestResultsOfOtherMachinesAreDropped(t *testing.T) {
	l := newSingleMachine(t)
	pending := submitPending(l, 0, 9)
	head, other := &pb.Replica{Identity: "head", Address: "10.0.0.2:7660"}, &pb.Replica{Identity: "other", Address: "10.0.0.3:7660"}
	pending.target = head.GetIdentity()
	id, body := pending.order.GetId(), pending.order.GetBody()
	for _, status := range []uint32{http.StatusOK, http.StatusPreconditionFailed, http.StatusServiceUnavailable, statusConfirm} {
		l.receiveResult(other, &pb.OrderResult{Id: id, Status: status, Body: []byte("8")})
		require.Empty(t, l.replies)
		require.Equal(t, body, pending.order.GetBody(), "a token of another machine must not be used")
	}
	l.receiveResult(head, &pb.OrderResult{Id: id + 1, Status: http.StatusOK})
	require.Empty(t, l.replies, "the result is for another order")
	l.receiveResult(head, &pb.OrderResult{Id: id, Status: http.StatusPreconditionFailed})
	require.Len(t, l.replies, 1)
	l.receiveResult(head, &pb.OrderResult{Id: id, Status: http.StatusOK})
	require.Len(t, l.replies, 1, "an order must be answered once")
}

// An order that could not be forwarded must not be answered by any machine; it ends at its deadline.
func TestOrderWithoutAHeadIsAnsweredAtItsDeadline(t *testing.T) {
	l := newSingleMachine(t)
	pending := submitPending(l, 0, 9)
	pending.target = ""
	l.receiveResult(&pb.Replica{Identity: "other"}, &pb.OrderResult{Id: pending.order.GetId(), Status: http.StatusOK})
	require.Empty(t, l.replies)
	pending.deadline = l.now
	l.tick(1)
	require.Len(t, l.replies, 1)
	require.EqualValues(t, http.StatusServiceUnavailable, l.replies[0].GetStatus())
}

// Results for orders of an earlier incarnation of this machine must not match orders of the present one.
func TestResultsOfAnEarlierIncarnationAreDropped(t *testing.T) {
	l := newSingleMachine(t)
	earlier := submitPending(l, 0, 9).order.GetId()
	l.holdWrites = false
	l.release()
	l.replies = nil
	l.restart()
	pending := submitPending(l, 9, 12)
	require.NotEqual(t, earlier, pending.order.GetId())
	l.receiveResult(l.machine.Self(), &pb.OrderResult{Id: earlier, Status: http.StatusOK})
	head := &pb.Replica{Identity: pending.target, Address: "10.0.0.2:7660"}
	l.machine.handle(&pb.Message{From: head, Body: &pb.Message_OrderResult{OrderResult: &pb.OrderResult{Id: earlier, Status: http.StatusOK}}})
	require.Empty(t, l.replies)
	require.Len(t, l.machine.origin.pending, 1)
}
