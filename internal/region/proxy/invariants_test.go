package proxy

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestSnapshotRegressionsAreDetected(t *testing.T) {
	current := &snapshot{sequence: 5, generation: 9}
	for expected, later := range map[bool][]*snapshot{
		true: {
			{sequence: 4, generation: 9},
			{sequence: 6, generation: 8},
			{sequence: 5, generation: 10},
		},
		false: {
			{sequence: 5, generation: 9},
			{sequence: 6, generation: 9},
			{sequence: 7, generation: 12},
		},
	} {
		for _, after := range later {
			require.Equal(t, expected, isRegression(current, after), "%d of generation %d", after.sequence, after.generation)
		}
	}
}

func TestStoreReportsAGenerationRegression(t *testing.T) {
	s := newSnapshotStore()
	_, applied := s.apply(&pb.ApplyRequest{Changes: []*pb.Change{firstChange()}})
	require.False(t, applied.regressed)
	_, applied = s.apply(&pb.ApplyRequest{Changes: []*pb.Change{{Sequence: 2, Generation: 6}}})
	require.True(t, applied.regressed)
}

func TestRequestWithAnOlderSnapshotIsAViolation(t *testing.T) {
	h := &handler{snapshots: newSnapshotStore(), counters: &counters{}}
	use := func(sequence uint64) {
		h.checkSequence(&snapshot{sequence: sequence}, h.snapshots.usedSequence.floor())
	}
	use(3)
	use(3)
	use(5)
	require.Zero(t, h.counters.violations())
	use(4)
	require.EqualValues(t, 1, h.counters.violations())
	require.EqualValues(t, 5, h.snapshots.usedSequence.floor())
}

// Requests that run concurrently with updates never use an older snapshot than the requests before them.
func TestRequestsDuringChangesUseNoOlderSnapshot(t *testing.T) {
	const changes, requests = 300, 3000
	h := &handler{snapshots: newSnapshotStore(), counters: &counters{}}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range requests {
				floor := h.snapshots.usedSequence.floor()
				h.checkSequence(h.snapshots.load(), floor)
			}
		})
	}
	for sequence := range uint64(changes) {
		h.snapshots.apply(&pb.ApplyRequest{Changes: []*pb.Change{{Sequence: sequence + 1, Generation: sequence + 1}}})
	}
	group.Wait()
	require.Zero(t, h.counters.violations())
	require.EqualValues(t, changes, h.snapshots.load().sequence)
}

func TestCheckSequenceAllocatesNothing(t *testing.T) {
	h := &handler{snapshots: newSnapshotStore(), counters: &counters{}}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		floor := h.snapshots.usedSequence.floor()
		h.checkSequence(h.snapshots.load(), floor)
	}))
}
