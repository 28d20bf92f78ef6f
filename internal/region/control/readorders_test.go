package control

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// readFor passes the read of an origin that holds a state to a single machine, which is the tail, and returns the
// result.
func readFor(l *singleMachine, held uint64) *pb.OrderResult {
	l.sent = nil
	l.step(Received{Message: &pb.Message{
		From:       &pb.Replica{Identity: "origin", Address: "10.0.0.2:7660"},
		ToIdentity: l.machine.Self().GetIdentity(),
		Cluster:    l.machine.View().GetCluster(),
		Body:       &pb.Message_Order{Order: &pb.Order{Id: 7, Kind: pb.Order_KIND_READ, Held: held}},
	}})
	require.Len(l.t, l.sent, 1)
	return l.sent[0].Message.GetOrderResult()
}

func TestTheTailSendsTheConfigurationToWhomLacksIt(t *testing.T) {
	l := newSingleMachine(t)
	require.EqualValues(t, http.StatusServiceUnavailable, readFor(l, 0).GetStatus(), "there is no configuration yet")
	l.requireStatus(http.StatusOK, replaceOrder(0, 3))
	l.requireStatus(http.StatusOK, replaceOrder(3, 7))
	newest := l.machine.Committed().Sequence()
	for _, held := range []uint64{0, newest - 1, newest + 1} {
		result := readFor(l, held)
		require.EqualValues(t, http.StatusOK, result.GetStatus())
		require.False(t, result.GetHeldIsNewest())
		require.Contains(t, string(result.GetBody()), `"gen":7`)
	}
	result := readFor(l, newest)
	require.EqualValues(t, http.StatusOK, result.GetStatus())
	require.True(t, result.GetHeldIsNewest())
	require.Empty(t, result.GetBody())
}

// readPendingAt submits a read at the head of a chain. It returns the order that was sent, and the tail.
func readPendingAt(a *authoritativeMachine) (*pb.Order, *pb.Replica) {
	for _, action := range a.machine.Step(a.now, OrderSubmitted{Request: 5, Order: &pb.Order{Kind: pb.Order_KIND_READ}}) {
		if sent, isSend := action.(Send); isSend {
			return sent.Message.GetOrder(), a.machine.replica.Tail()
		}
	}
	return nil, nil
}

func (a *authoritativeMachine) replyAfter(from *pb.Replica, result *pb.OrderResult) *pb.OrderResult {
	message := &pb.Message{From: from, Body: &pb.Message_OrderResult{OrderResult: result}}
	for _, action := range a.machine.Step(a.now, Received{Message: message}) {
		if reply, isReply := action.(Reply); isReply {
			return reply.Result
		}
	}
	return nil
}

// A tail of an earlier version ignores the held sequence and sends the whole configuration.
func TestAReadPassesOnWhatTheTailSends(t *testing.T) {
	a := newAuthoritativeMachine(t)
	order, tail := readPendingAt(a)
	require.Equal(t, a.machine.Committed().Sequence(), order.GetHeld())
	body := []byte(`{"gen":12}`)
	reply := a.replyAfter(tail, &pb.OrderResult{Id: order.GetId(), Status: http.StatusOK, Body: body})
	require.Equal(t, body, reply.GetBody())
}

// If the tail confirms the held sequence, the origin must answer from the state that it held when it forwarded the
// read.
func TestAReadAnswersFromTheStateThatItNamed(t *testing.T) {
	a := newAuthoritativeMachine(t)
	order, tail := readPendingAt(a)
	own, err := a.machine.Committed().Configuration()
	require.NoError(t, err)
	reply := a.replyAfter(tail, &pb.OrderResult{Id: order.GetId(), Status: http.StatusOK, HeldIsNewest: true})
	require.EqualValues(t, http.StatusOK, reply.GetStatus())
	require.Equal(t, string(own), string(reply.GetBody()))
	require.Nil(t, a.replyAfter(tail, &pb.OrderResult{Id: order.GetId(), Status: http.StatusOK, HeldIsNewest: true}))
}

func TestAReadThatOneMemberCannotAnswerGoesToAnother(t *testing.T) {
	a := newAuthoritativeMachine(t)
	order, tail := readPendingAt(a)
	unanswered := &pb.OrderResult{Id: order.GetId(), Status: http.StatusServiceUnavailable}
	require.Nil(t, a.replyAfter(tail, unanswered))
	pending := a.machine.origin.pending
	require.Len(t, pending, 1)
	require.NotEqual(t, tail.GetIdentity(), pending[0].target)
	require.Nil(t, a.replyAfter(tail, unanswered), "the member that the read was forwarded to next may still answer")
}
