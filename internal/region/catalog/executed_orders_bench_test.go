package catalog_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fieldrelay/internal/region/catalog"
)

// BenchmarkExecutedOrders executes small orders after one order and after the orders of a day. It reports the heap that
// the earlier orders occupy, and the sizes of the whole state, of a change for a replica and of a change for an agent.
func BenchmarkExecutedOrders(b *testing.B) {
	for _, count := range []int{1, changesOfADay} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heapBytes()
			snapshot, _ := executeOrders(b, catalog.Empty(), count, "a")
			occupied := heapBytes() - before
			stored, err := snapshot.Marshal()
			require.NoError(b, err)
			order := orderOn(snapshot.Generation(), "b")
			change, err := order.prepare(snapshot)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				change, err := order.prepare(snapshot)
				require.NoError(b, err)
				_, err = snapshot.Apply(change)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(occupied), "heap-B")
			b.ReportMetric(float64(len(stored)), "B/state")
			b.ReportMetric(float64(proto.Size(change)), "B/change")
			b.ReportMetric(float64(proto.Size(catalog.ForAgents(change))), "B/agent-change")
			runtime.KeepAlive(snapshot)
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRepeats responds to a retry of an order of 1,500 routes that was executed before the other orders of a day.
func BenchmarkRepeats(b *testing.B) {
	body := capacityConfiguration(1, 1500)
	snapshot := replaced(b, catalog.Empty(), body)
	snapshot, _ = executeOrders(b, snapshot, changesOfADay, "a")
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := catalog.PrepareReplace(snapshot, 0, body)
		var already *catalog.AlreadyExecutedError
		require.ErrorAs(b, err, &already)
	}
}

// BenchmarkReplicaDigests returns the digests by which a replica compares its state with that of another.
func BenchmarkReplicaDigests(b *testing.B) {
	snapshot, _ := executeOrders(b, catalog.Empty(), changesOfADay, "a")
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(snapshot.ReplicaDigests())), "B/request")
	}
}
