package catalog_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fieldrelay/internal/catalog"
)

// BenchmarkTakenOrders takes small amendments with and without a day of orders before them. It reports the heap
// that the orders of a day take, the bytes of the whole state, and those of a change to a replica and to an agent.
func BenchmarkTakenOrders(b *testing.B) {
	for _, count := range []int{1, changesOfADay} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heapBytes()
			snapshot, _ := executeOrders(b, catalog.Empty(), count, "a")
			held := heapBytes() - before
			whole, err := snapshot.Marshal()
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
			b.ReportMetric(float64(held), "heap-B")
			b.ReportMetric(float64(len(whole)), "B/state")
			b.ReportMetric(float64(proto.Size(change)), "B/change")
			b.ReportMetric(float64(proto.Size(catalog.ForAgents(change))), "B/agent-change")
			runtime.KeepAlive(snapshot)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRepeats answers an order that was taken at the beginning of a day, one of 1,500 routes.
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

// BenchmarkReplicaDigests gets what a replica sends to compare its state with another one's.
func BenchmarkReplicaDigests(b *testing.B) {
	snapshot, _ := executeOrders(b, catalog.Empty(), changesOfADay, "a")
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(snapshot.ReplicaDigests())), "B/request")
	}
}
