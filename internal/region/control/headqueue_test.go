package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// queueOf returns a queue of orders with bodies of these lengths; their ids count from 1.
func queueOf(lengths ...int) *headQueue {
	queue := &headQueue{}
	for index, length := range lengths {
		order := &pb.Order{Id: uint64(index + 1), Body: make([]byte, length)}
		queue.orders = append(queue.orders, &headOrder{order: order})
	}
	return queue
}

func (q *headQueue) nextAll() []uint64 {
	var ids []uint64
	for len(q.orders) > 0 {
		ids = append(ids, q.next().order.GetId())
	}
	return ids
}

func TestSmallOrdersOvertakeLargeOnesForAWhile(t *testing.T) {
	const large = maxSmallOrderBytes + 1
	require.Equal(t, []uint64{1, 2, 3}, queueOf(0, 5, maxSmallOrderBytes).nextAll())
	require.Equal(t, []uint64{1, 2, 3}, queueOf(large, large, large).nextAll())
	require.Equal(t, []uint64{3, 1, 2}, queueOf(large, large, 0).nextAll())
	require.Equal(t, []uint64{3, 4, 5, 6, 1, 7, 8, 9, 10, 2, 11},
		queueOf(large, large, 1, 2, 3, 4, 5, 6, 7, 8, 9).nextAll(), "the oldest order must be next after four overtakes")
	require.Equal(t, []uint64{1, 2, 3, 4, 5, 6, 7}, queueOf(1, 2, 3, 4, 5, 6, large).nextAll())
}
