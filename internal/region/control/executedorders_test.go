package control

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/ring"
)

// noteOrder is the order on a generation with which the recorded ring of the earlier version was written.
func noteOrder(base uint64) *pb.Order {
	return &pb.Order{Kind: pb.Order_KIND_REPLACE, Base: base, Body: fmt.Appendf(nil, `{"gen":%d,"note":"a"}`, base+1)}
}

func otherNoteOrder(base uint64) *pb.Order {
	return &pb.Order{Kind: pb.Order_KIND_REPLACE, Base: base, Body: fmt.Appendf(nil, `{"gen":%d,"note":"b"}`, base+1)}
}

// earlierDisk is the ring that an earlier version of this program left on a cluster of one machine after 70 orders: a
// snapshot of 66 of them, and four records. That version kept the last 64 orders as items.
func earlierDisk(t *testing.T) *ring.Recovered {
	t.Helper()
	content := goldenRead(t, "ring-with-taken-items.gz")
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "ring-0"), content, 0o600))
	opened, recovered, err := ring.Open(folder, ring.Options{Files: 2, FileBytes: 4 << 10})
	require.NoError(t, err)
	require.NoError(t, opened.Close())
	return recovered
}

func TestExecutedOrdersOfAnEarlierVersionAreKept(t *testing.T) {
	recovered := earlierDisk(t)
	require.Len(t, recovered.Records, 4)
	l := &singleMachine{t: t, snapshot: recovered.Snapshot, records: recovered.Records}
	l.restart()
	require.Empty(t, l.records, "the converted state is written as a new snapshot")
	requireEarlierOrders := func() {
		for base := range uint64(70) {
			status, other := http.StatusOK, http.StatusPreconditionFailed
			if base <= 6 { // the items begin with the order on generation 6, but the state does not record where they begin
				status, other = http.StatusServiceUnavailable, http.StatusServiceUnavailable
			}
			l.requireStatus(status, noteOrder(base))
			l.requireStatus(other, otherNoteOrder(base))
		}
		require.NotContains(t, l.machine.Committed().Kinds(), "taken")
	}
	requireEarlierOrders()
	for base := uint64(70); base < 90; base++ {
		l.requireStatus(http.StatusOK, noteOrder(base))
	}
	l.restart()
	requireEarlierOrders()
	l.requireStatus(http.StatusOK, noteOrder(89))
}

// Every order of the run must be acknowledged again, also after restarts from snapshots and records.
func TestExecutedOrdersSurviveRestarts(t *testing.T) {
	l := newSingleMachine(t)
	const count = 400
	for base := range uint64(count) {
		l.requireStatus(http.StatusOK, noteOrder(base))
		if base%97 == 0 {
			l.restart()
		}
	}
	l.restart()
	for base := range uint64(count) {
		l.requireStatus(http.StatusOK, noteOrder(base))
		l.requireStatus(http.StatusPreconditionFailed, otherNoteOrder(base))
	}
}

// Changes that are passed on to agents must not contain the digests of their orders.
func TestCommittedChangesDoNotNameTheirOrders(t *testing.T) {
	l := newSingleMachine(t)
	for base := range uint64(5) {
		l.requireStatus(http.StatusOK, noteOrder(base))
	}
	require.Len(t, l.committedChanges, 5)
	for _, change := range l.committedChanges {
		require.Empty(t, change.GetOrderDigest())
		require.Positive(t, change.GetGeneration())
	}
}
