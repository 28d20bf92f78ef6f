package control

import (
	"context"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// submitTimeoutMargin is the time after the timeout of an order or a call at which its caller stops waiting for a
// Machine that does not respond.
const submitTimeoutMargin = time.Second

// Submit passes an order of the operator to the Machine and waits for its result. The status is 503 if the result is
// not known within about a second, or longer for a large body. Submit never returns nil. It is safe for concurrent use.
func (n *Node) Submit(ctx context.Context, order *pb.Order) *pb.OrderResult {
	n.counters.orders.Add(1)
	reply := n.submit(ctx, order)
	n.reads.observe(order, reply.Cause)
	return reply.Result
}

func (n *Node) submit(ctx context.Context, order *pb.Order) Reply {
	answer := make(chan Reply, 1) // buffered, so that the loop never waits for a caller
	request := n.registerReply(answer)
	defer n.unregisterReply(request)
	ctx, cancel := context.WithTimeout(ctx, orderTimeoutOf(order)+submitTimeoutMargin)
	defer cancel()
	select {
	case n.events <- OrderSubmitted{Request: request, Order: order}:
	case <-ctx.Done():
		return Reply{Result: unavailable(0), Cause: CauseEventQueueFull}
	}
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		n.cancelOrder(request)
		return Reply{Result: unavailable(0), Cause: CauseTimeout}
	}
}

// cancelOrder reports to the Machine that the caller of an order no longer waits. If the event queue is full, the
// report is dropped: the order then ends at its deadline.
func (n *Node) cancelOrder(request uint64) {
	select {
	case n.events <- OrderCanceled{Request: request}:
	default:
	}
}

func (n *Node) registerReply(answer chan Reply) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastRequest++
	n.replies[n.lastRequest] = answer
	return n.lastRequest
}

func (n *Node) unregisterReply(request uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.replies, request)
}

// reply carries out a Reply action; the caller may no longer be waiting.
func (n *Node) reply(action Reply) {
	n.mu.Lock()
	answer := n.replies[action.Request]
	delete(n.replies, action.Request)
	n.mu.Unlock()
	if answer != nil {
		answer <- action
	}
}
