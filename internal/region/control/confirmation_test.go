package control

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// confirmingHead is a machine that is the whole chain, with an origin on another machine that it requests confirmations
// from.
type confirmingHead struct {
	*singleMachine
	origin *pb.Replica
}

func newConfirmingHead(t *testing.T) *confirmingHead {
	t.Helper()
	return &confirmingHead{
		singleMachine: newSingleMachine(t),
		origin:        &pb.Replica{Host: "origin", Identity: "origin", Address: "10.0.0.2:7660"},
	}
}

// forward passes an order of the origin and returns the head's answer; nil if there is none.
func (c *confirmingHead) forward(id uint64, kind pb.Order_Kind, token []byte) *pb.OrderResult {
	before := len(c.sent)
	c.step(Received{Message: &pb.Message{
		From: c.origin,
		Body: &pb.Message_Order{Order: &pb.Order{Id: id, Kind: kind, Zone: "z", Body: token}},
	}})
	for _, send := range c.sent[before:] {
		if result := send.Message.GetOrderResult(); result.GetId() == id {
			return result
		}
	}
	return nil
}

func (c *confirmingHead) requestToken(t *testing.T, id uint64, kind pb.Order_Kind) []byte {
	t.Helper()
	request := c.forward(id, kind, nil)
	require.EqualValues(t, statusConfirm, request.GetStatus())
	return request.GetBody()
}

func TestConfirmationTokenIsAcceptedOnce(t *testing.T) {
	c := newConfirmingHead(t)
	token := c.requestToken(t, 1, pb.Order_KIND_EVACUATE_BEGIN)
	require.EqualValues(t, http.StatusOK, c.forward(1, pb.Order_KIND_EVACUATE_BEGIN, token).GetStatus())
	require.EqualValues(t, statusConfirm, c.forward(1, pb.Order_KIND_EVACUATE_BEGIN, token).GetStatus())
}

func TestConfirmationTokenExpires(t *testing.T) {
	c := newConfirmingHead(t)
	token := c.requestToken(t, 1, pb.Order_KIND_EVACUATE_BEGIN)
	c.now += confirmationTimeout
	require.EqualValues(t, statusConfirm, c.forward(1, pb.Order_KIND_EVACUATE_BEGIN, token).GetStatus())
}

// The caller of the first order has given up and has ordered the opposite since. The token of the first order must not
// be accepted any more, or the first order would undo the second.
func TestEvacuationThatWasOvertakenIsConfirmedAnew(t *testing.T) {
	c := newConfirmingHead(t)
	begin := c.requestToken(t, 1, pb.Order_KIND_EVACUATE_BEGIN)
	finish := c.requestToken(t, 2, pb.Order_KIND_EVACUATE_FINISH)
	require.EqualValues(t, http.StatusOK, c.forward(2, pb.Order_KIND_EVACUATE_FINISH, finish).GetStatus())
	again := c.forward(1, pb.Order_KIND_EVACUATE_BEGIN, begin)
	require.EqualValues(t, statusConfirm, again.GetStatus())
	require.False(t, c.machine.Committed().Evacuated("z"))
	require.EqualValues(t, http.StatusOK, c.forward(1, pb.Order_KIND_EVACUATE_BEGIN, again.GetBody()).GetStatus())
	require.True(t, c.machine.Committed().Evacuated("z"))
}

func TestEvacuationThatWasWithdrawnIsNotConfirmed(t *testing.T) {
	l := newSingleMachine(t)
	l.holdWrites = true
	l.step(OrderSubmitted{Request: 98, Order: replaceOrder(0, 3)})
	l.step(OrderSubmitted{Request: 99, Order: &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "z"}})
	require.Len(t, l.machine.origin.pending, 2)
	l.step(OrderCanceled{Request: 99})
	require.Len(t, l.machine.origin.pending, 1)
	before := len(l.sent)
	l.machine.origin.receiveResult(l.machine.Self(), &pb.OrderResult{Id: l.machine.origin.lastID, Status: statusConfirm, Body: []byte("1")})
	require.Len(t, l.sent, before)
	require.EqualValues(t, 98, l.machine.origin.pending[0].request)
}

// An evacuation must be confirmed even if the network duplicates every message: copies in flight at the same time must
// not invalidate each other's tokens.
func TestCopiesOfAnEvacuationDoNotUndoEachOther(t *testing.T) {
	c := newConfirmingHead(t)
	tokens := [][]byte{nil}
	for range 4 {
		var issued [][]byte
		for _, token := range tokens {
			for range 2 {
				result := c.forward(1, pb.Order_KIND_EVACUATE_BEGIN, token)
				if result.GetStatus() == http.StatusOK {
					return
				}
				require.EqualValues(t, statusConfirm, result.GetStatus())
				issued = append(issued, result.GetBody())
			}
		}
		tokens = issued
	}
	require.Fail(t, "the evacuation was never confirmed")
}
