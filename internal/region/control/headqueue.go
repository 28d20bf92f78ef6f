package control

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// maxSmallOrderBytes is the maximum body length of a small order, which may overtake larger orders.
	maxSmallOrderBytes = 16 << 10
	// maxOvertakes is the maximum number of consecutive orders that overtake an older order.
	maxOvertakes = 4
)

// headOrder is an order at the head of the chain.
type headOrder struct {
	from     *pb.Replica // machine at which the order was submitted
	order    *pb.Order
	expires  time.Duration
	sequence uint64 // sequence of the order's change; 0 before the change is proposed
}

func (o *headOrder) is(from *pb.Replica, id uint64) bool {
	return o != nil && o.from.GetIdentity() == from.GetIdentity() && o.order.GetId() == id
}

// headQueue holds the orders that wait at the head, oldest first.
type headQueue struct {
	orders    []*headOrder
	overtakes int // number of consecutive orders that were taken before an older order
}

func (q *headQueue) contains(from *pb.Replica, id uint64) bool {
	return slices.ContainsFunc(q.orders, func(queued *headOrder) bool { return queued.is(from, id) })
}

// next removes and returns the next order to execute: the oldest small order, or the oldest of all orders after
// maxOvertakes consecutive overtakes or if no order is small. So neither large nor small orders are starved.
func (q *headQueue) next() *headOrder {
	position := slices.IndexFunc(q.orders, func(queued *headOrder) bool {
		return len(queued.order.GetBody()) <= maxSmallOrderBytes
	})
	if position <= 0 || q.overtakes >= maxOvertakes {
		position = 0
		q.overtakes = 0
	} else {
		q.overtakes++
	}
	next := q.orders[position]
	q.orders = slices.Delete(q.orders, position, position+1)
	return next
}

func (q *headQueue) expire(now time.Duration) { q.orders = withoutExpired(q.orders, now) }

func withoutExpired(orders []*headOrder, now time.Duration) []*headOrder {
	return slices.DeleteFunc(orders, func(order *headOrder) bool { return now >= order.expires })
}
