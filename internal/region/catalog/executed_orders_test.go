package catalog_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// changesOfADay is the number of changes that the largest site makes in a day.
const changesOfADay = 11_000

// executedOrder is an order of these tests. Every third order is a replacement, the others are amendments.
type executedOrder struct {
	base uint64
	body []byte
}

func (o executedOrder) isReplace() bool { return o.base%3 == 0 }

func (o executedOrder) prepare(snapshot *catalog.Snapshot) (*pb.Change, error) {
	if o.isReplace() {
		return catalog.PrepareReplace(snapshot, o.base, o.body)
	}
	return catalog.PrepareAmend(snapshot, o.base, o.body)
}

// orderOn returns an order on a generation. Orders on the same generation differ by the text.
func orderOn(base uint64, text string) executedOrder {
	order := executedOrder{base: base}
	if order.isReplace() {
		order.body = fmt.Appendf(nil, `{"gen":%d,"note":%q}`, base+1, text)
	} else {
		order.body = fmt.Appendf(nil, `{"gen":%d,"upsert":{"note":%q}}`, base+1, text)
	}
	return order
}

// executeOrders executes a number of orders, each on the generation of the previous one.
func executeOrders(t require.TestingT, snapshot *catalog.Snapshot, count int, text string) (*catalog.Snapshot, []executedOrder) {
	var orders []executedOrder
	for range count {
		order := orderOn(snapshot.Generation(), text)
		change, err := order.prepare(snapshot)
		snapshot = applied(t, snapshot, change, err)
		orders = append(orders, order)
	}
	return snapshot, orders
}

// answerTo returns the status of the response to an order that makes no change.
func answerTo(t require.TestingT, snapshot *catalog.Snapshot, order executedOrder) int {
	_, err := order.prepare(snapshot)
	var answer catalog.OrderError
	require.ErrorAs(t, err, &answer)
	return answer.Status()
}

func TestEveryOrderOfADayIsAcknowledgedAgain(t *testing.T) {
	snapshot, orders := executeOrders(t, catalog.Empty(), changesOfADay, "a")
	for _, order := range orders {
		_, err := order.prepare(snapshot)
		var already *catalog.AlreadyExecutedError
		require.ErrorAs(t, err, &already, "order on %d", order.base)
		require.Equal(t, order.base+1, already.Generation)
		require.Equal(t, http.StatusPreconditionFailed, answerTo(t, snapshot, orderOn(order.base, "b")),
			"another order on %d", order.base)
	}
}

// Guards against rejecting an order that may have been executed: one on a generation that the record no longer covers.
func TestAnOrderThatIsNoLongerRecordedIsNotRejected(t *testing.T) {
	count := catalog.ExecutedOrdersCapacity + 1000
	snapshot, orders := executeOrders(t, catalog.Empty(), count, "a")
	uncovered := 0
	for index, order := range orders {
		status := answerTo(t, snapshot, order)
		if status == http.StatusOK {
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, status, "order %d", index)
		require.Equal(t, http.StatusServiceUnavailable, answerTo(t, snapshot, orderOn(order.base, "b")))
		require.Equal(t, uncovered, index, "only the oldest orders are not covered")
		uncovered++
	}
	require.Positive(t, uncovered)
	require.GreaterOrEqual(t, count-uncovered, catalog.ExecutedOrdersCapacity)
	require.Less(t, count-uncovered, catalog.ExecutedOrdersCapacity+64, "the record is bounded")
	recorded, since := snapshot.ExecutedOrders()
	require.Equal(t, count-uncovered, recorded)
	require.EqualValues(t, uncovered, since)
}

func TestAnOrderOnAGenerationThatNeverWasIsRefused(t *testing.T) {
	snapshot := replaced(t, catalog.Empty(), configuration(5))
	snapshot = replaced(t, snapshot, configuration(9))
	for _, base := range []uint64{1, 4, 6, 8, 10} {
		_, err := catalog.PrepareReplace(snapshot, base, configuration(11))
		var conflict *catalog.ConflictError
		require.ErrorAs(t, err, &conflict, "base %d", base)
	}
}

// Two operators choose the same number for different changes on the same generation. One of them gets a conflict, and
// keeps getting it after later changes.
func TestTwoOrdersWithOneGenerationNumber(t *testing.T) {
	first := configuration(6, route("a"))
	second := configuration(6, route("b"))
	snapshot := replaced(t, catalog.Empty(), configuration(5))
	snapshot = replaced(t, snapshot, first)
	for range 2 {
		var already *catalog.AlreadyExecutedError
		_, err := catalog.PrepareReplace(snapshot, 5, first)
		require.ErrorAs(t, err, &already)
		var conflict *catalog.ConflictError
		_, err = catalog.PrepareReplace(snapshot, 5, second)
		require.ErrorAs(t, err, &conflict)
		snapshot = replaced(t, snapshot, configuration(snapshot.Generation()+1))
	}
}

// Guards against sharing mutable memory between records: two changes of one snapshot must not affect each other, at any
// length of the newest chunk.
func TestDivergingRecordsAreIndependent(t *testing.T) {
	snapshot := catalog.Empty()
	for range 300 {
		mine, ours := executeOrders(t, snapshot, 1, "a")
		other, others := executeOrders(t, snapshot, 1, "b")
		require.Equal(t, http.StatusOK, answerTo(t, mine, ours[0]))
		require.Equal(t, http.StatusPreconditionFailed, answerTo(t, mine, others[0]))
		require.Equal(t, http.StatusOK, answerTo(t, other, others[0]))
		require.Equal(t, http.StatusPreconditionFailed, answerTo(t, other, ours[0]))
		require.False(t, mine.Equal(other))
		snapshot = other
	}
}

func TestReplicasCatchUpOnTheRecord(t *testing.T) {
	const newest = 2000
	var states []*catalog.Snapshot // by number of orders
	snapshot := catalog.Empty()
	states = append(states, snapshot)
	for range newest {
		snapshot, _ = executeOrders(t, snapshot, 1, "a")
		states = append(states, snapshot)
	}
	for _, recorded := range []int{0, 1, 63, 64, 65, 128, 700, 1024, 1900, 1999, 2000} {
		t.Run(fmt.Sprint(recorded), func(t *testing.T) {
			repaired, repair := repairReplica(t, states[recorded], snapshot)
			require.True(t, repaired.Equal(snapshot))
			require.LessOrEqual(t, len(repair.GetExecutedOrders().GetOrders()), (newest-recorded+64)*24,
				"chunks that the replica has are not sent")
			if recorded == newest {
				require.Empty(t, repair.GetExecutedOrders().GetOrders())
			}
			// a replica with a change that no other replica has
			forked, lost := executeOrders(t, states[recorded], 1, "b")
			repaired, _ = repairReplica(t, forked, snapshot)
			require.True(t, repaired.Equal(snapshot))
			if recorded < newest {
				require.Equal(t, http.StatusPreconditionFailed, answerTo(t, repaired, lost[0]))
			}
			// a repair back to an older state
			repaired, _ = repairReplica(t, snapshot, states[recorded])
			require.True(t, repaired.Equal(states[recorded]))
		})
	}
}

// repairReplica repairs a replica by messages that are serialized and parsed.
func repairReplica(t *testing.T, from, to *catalog.Snapshot) (*catalog.Snapshot, *pb.Repair) {
	repair := to.ReplicaRepairFor(from.ReplicaDigests())
	data, err := proto.Marshal(repair)
	require.NoError(t, err)
	received := &pb.Repair{}
	require.NoError(t, proto.Unmarshal(data, received))
	repaired, err := from.Restore(received)
	require.NoError(t, err)
	return repaired, repair
}

// Replicas are repaired even if one has discarded the oldest orders that the other still records.
func TestReplicasCatchUpOverTheEndOfTheRecord(t *testing.T) {
	early, _ := executeOrders(t, catalog.Empty(), 3000, "a")
	late, orders := executeOrders(t, early, catalog.ExecutedOrdersCapacity, "a")
	repaired, repair := repairReplica(t, early, late)
	require.True(t, repaired.Equal(late))
	require.Less(t, len(repair.GetExecutedOrders().GetOrders()), (catalog.ExecutedOrdersCapacity+128)*24)
	for _, order := range []executedOrder{orders[0], orders[len(orders)-1]} {
		require.Equal(t, http.StatusOK, answerTo(t, repaired, order))
	}
	repaired, _ = repairReplica(t, late, early)
	require.True(t, repaired.Equal(early))
}

// Agents receive changes and repairs without the record, so their record stays empty.
func TestAgentsDoNotCarryTheRecord(t *testing.T) {
	replica, orders := executeOrders(t, catalog.Empty(), 10, "a")
	require.Nil(t, replica.RepairFor(nil).GetExecutedOrders())
	require.Nil(t, replica.Digests().GetExecutedOrders())
	agent, err := catalog.Empty().Restore(replica.RepairFor(nil))
	require.NoError(t, err)
	for range 300 {
		order := orderOn(replica.Generation(), "a")
		change, err := order.prepare(replica)
		replica = applied(t, replica, change, err)
		stripped := catalog.ForAgents(change)
		require.NotEmpty(t, change.GetOrderDigest())
		require.Empty(t, stripped.GetOrderDigest())
		agent, err = agent.Apply(stripped)
		require.NoError(t, err)
	}
	requireSame(t, replica, agent)
	require.Equal(t, []string{catalog.KindSetting}, agent.Kinds())
	require.Empty(t, agent.ReplicaRepairFor(nil).GetExecutedOrders().GetOrders())
	require.Equal(t, http.StatusServiceUnavailable, answerTo(t, agent, orders[0]), "the agent does not know")
	same := &pb.Change{Sequence: 1}
	require.Same(t, same, catalog.ForAgents(same))
}

// A change of generation without the digest of an order, or to a generation that is not higher, starts the record anew.
func TestARecordWithAGapIsNotTrusted(t *testing.T) {
	snapshot, orders := executeOrders(t, catalog.Empty(), 200, "a")
	change, err := orderOn(200, "a").prepare(snapshot)
	require.NoError(t, err)
	gaps := map[string]*pb.Change{
		"no digest":    catalog.ForAgents(change),
		"short digest": {Sequence: 201, Generation: 201, OrderDigest: make([]byte, 15)},
		"equal":        {Sequence: 201, Generation: 200, OrderDigest: make([]byte, 16)},
		"lower":        {Sequence: 201, Generation: 150},
	}
	for name, change := range gaps {
		t.Run(name, func(t *testing.T) {
			gap, err := snapshot.Apply(change)
			require.NoError(t, err)
			for range 3 {
				require.Equal(t, http.StatusServiceUnavailable, answerTo(t, gap, orders[0]))
				require.Equal(t, http.StatusServiceUnavailable, answerTo(t, gap, orderOn(change.GetGeneration()-1, "a")))
				var later []executedOrder
				gap, later = executeOrders(t, gap, 1, "a")
				require.Equal(t, http.StatusOK, answerTo(t, gap, later[0]))
			}
			repaired, _ := repairReplica(t, snapshot, gap)
			require.True(t, repaired.Equal(gap))
		})
	}
}

func TestRecordsThatAreMalformed(t *testing.T) {
	snapshot, _ := executeOrders(t, catalog.Empty(), 300, "a")
	order := func(generation byte) []byte { return append([]byte{generation}, make([]byte, 23)...) }
	damage := map[string]*pb.ExecutedOrders{
		"truncated":         {Orders: order(1)[:20]},
		"does not increase": {Orders: append(order(2), order(2)...)},
		"below its base":    {Base: 5, Orders: order(5)},
		"ends elsewhere":    {Orders: order(1)},
		"missing chunks":    {KeptChunks: 9},
		"discarded chunks":  {First: 7, KeptChunks: 1},
		"empty, wrong base": {Base: 7},
	}
	for name, record := range damage {
		t.Run(name, func(t *testing.T) {
			_, err := snapshot.Restore(&pb.Repair{Sequence: 400, Generation: 400, ExecutedOrders: record})
			var malformed *catalog.RepairError
			require.ErrorAs(t, err, &malformed)
		})
	}
}
