package catalog_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

func TestSnapshotMatchesTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.step()
		}
	})
}

func TestReplicasAreRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			s.step()
		}
		for _, older := range s.snapshots {
			repaired, err := older.Restore(s.snapshot.RepairFor(older.Digests()))
			require.NoError(t, err)
			requireSame(t, s.snapshot, repaired)
			replica, err := older.Restore(s.snapshot.ReplicaRepairFor(older.ReplicaDigests()))
			require.NoError(t, err)
			requireSame(t, s.snapshot, replica)
			require.True(t, s.snapshot.Equal(replica))

			changes, known := s.history.Since(older.Sequence())
			require.True(t, known)
			applied := older
			for _, change := range changes {
				applied, err = applied.Apply(change)
				require.NoError(t, err)
			}
			requireSame(t, s.snapshot, applied)
			require.True(t, s.snapshot.Equal(applied))
		}
		complete, err := s.snapshots[0].Restore(s.snapshot.RepairFor(nil))
		require.NoError(t, err)
		requireSame(t, s.snapshot, complete)
		data, err := s.snapshot.Marshal()
		require.NoError(t, err)
		stored, err := catalog.Unmarshal(data)
		require.NoError(t, err)
		requireSame(t, s.snapshot, stored)
		require.True(t, s.snapshot.Equal(stored))
	})
}

func TestDigestsAreEqualIfContentIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.step()
		}
		for _, one := range s.snapshots {
			for _, other := range s.snapshots {
				sameItems := content(t, withoutNumbers(t, one)) == content(t, withoutNumbers(t, other))
				sameDigests := slices.Equal(one.Digests().GetDigests(), other.Digests().GetDigests())
				require.Equal(t, sameItems, sameDigests)
			}
		}
	})
}

// withoutNumbers returns a snapshot of the same items at sequence and generation 0.
func withoutNumbers(t *rapid.T, snapshot *catalog.Snapshot) *catalog.Snapshot {
	repair := snapshot.RepairFor(nil)
	repair.Sequence, repair.Generation = 0, 0
	bare, err := catalog.Empty().Restore(repair)
	require.NoError(t, err)
	return bare
}

// Two replicas may have assigned the same sequence to different changes, so digests must cover every field of an item.
func TestDigestsCoverEveryField(t *testing.T) {
	item := &pb.Item{Kind: "k", Name: "n", Order: 1, Sequence: 1, Body: []byte("1")}
	apply := func(item *pb.Item) []uint64 {
		snapshot, err := catalog.Empty().Apply(&pb.Change{Sequence: 1, Upserts: []*pb.Item{item}})
		require.NoError(t, err)
		return snapshot.Digests().GetDigests()
	}
	variants := []*pb.Item{
		{Kind: "l", Name: "n", Order: 1, Sequence: 1, Body: []byte("1")},
		{Kind: "k", Name: "m", Order: 1, Sequence: 1, Body: []byte("1")},
		{Kind: "k", Name: "n", Order: 2, Sequence: 1, Body: []byte("1")},
		{Kind: "k", Name: "n", Order: 1, Sequence: 2, Body: []byte("1")},
		{Kind: "k", Name: "n", Order: 1, Sequence: 1, Body: []byte("2")},
		{Kind: "kn", Name: "", Order: 1, Sequence: 1, Body: []byte("1")},
		{Kind: "k", Name: "n1", Order: 1, Sequence: 1},
	}
	for _, variant := range variants {
		require.NotEqual(t, apply(item), apply(variant), "%v", variant)
	}
}

func TestApplyWantsTheNextChange(t *testing.T) {
	snapshot := replaced(t, catalog.Empty(), configuration(1))
	for _, sequence := range []uint64{0, 1, 3} {
		_, err := snapshot.Apply(&pb.Change{Sequence: sequence})
		var sequenceError *catalog.SequenceError
		require.ErrorAs(t, err, &sequenceError)
		require.Equal(t, catalog.SequenceError{Have: 1, Got: sequence}, *sequenceError)
	}
}

func TestReplacesAll(t *testing.T) {
	snapshot := replaced(t, catalog.Empty(), configuration(1, route("a"), route("b")))
	snapshot = evacuated(t, snapshot, "zone", true)
	change := &pb.Change{
		Sequence:    3,
		Generation:  2,
		ReplacesAll: true,
		Upserts:     []*pb.Item{{Kind: catalog.KindRoutes, Name: "b", Order: 1, Sequence: 3, Body: []byte(route("b"))}},
	}
	next, err := snapshot.Apply(change)
	require.NoError(t, err)
	require.Equal(t, []string{catalog.KindEvacuation, catalog.KindRoutes}, next.Kinds())
	require.Equal(t, []string{"b"}, names(next.Items(catalog.KindRoutes)))
	require.Equal(t, 2, next.Len())
}

func TestRepairsThatAreMalformed(t *testing.T) {
	complete := replaced(t, catalog.Empty(), configuration(1, route("a"))).RepairFor(nil)
	damage := map[string]func(*pb.Repair){
		"unknown range": func(repair *pb.Repair) { repair.Ranges[0].Index = catalog.RangeCount },
		"range twice":   func(repair *pb.Repair) { repair.Ranges[0].Index = repair.Ranges[1].Index },
		"item twice": func(repair *pb.Repair) {
			for _, itemRange := range repair.Ranges {
				itemRange.Items = append(itemRange.Items, itemRange.Items...)
			}
		},
		"wrong range": func(repair *pb.Repair) {
			for _, itemRange := range repair.Ranges {
				itemRange.Index = (itemRange.Index + 1) % catalog.RangeCount
			}
		},
	}
	for name, change := range damage {
		t.Run(name, func(t *testing.T) {
			repair := proto.Clone(complete).(*pb.Repair)
			change(repair)
			var malformed *catalog.RepairError
			_, err := catalog.Empty().Restore(repair)
			require.ErrorAs(t, err, &malformed)
		})
	}
	var malformed *catalog.RepairError
	_, err := catalog.Unmarshal([]byte{0xff})
	require.ErrorAs(t, err, &malformed)
}

func TestRepairForUnusableDigestsIsComplete(t *testing.T) {
	snapshot := replaced(t, catalog.Empty(), configuration(1))
	require.Len(t, snapshot.RepairFor(nil).GetRanges(), catalog.RangeCount)
	require.Len(t, snapshot.RepairFor(&pb.RangeDigests{Digests: []uint64{1}}).GetRanges(), catalog.RangeCount)
	require.Empty(t, snapshot.RepairFor(snapshot.Digests()).GetRanges())
}

func TestHistoryIsBounded(t *testing.T) {
	history := catalog.NewHistory(10)
	changes, known := history.Since(10)
	require.True(t, known)
	require.Empty(t, changes)
	for _, sequence := range []uint64{9, 11} {
		_, known = history.Since(sequence)
		require.False(t, known, "sequence %d", sequence)
	}
	for sequence := uint64(11); sequence <= 11+catalog.HistoryMaxChanges; sequence++ {
		history.Add(&pb.Change{Sequence: sequence})
	}
	_, known = history.Since(10)
	require.False(t, known)
	changes, known = history.Since(11)
	require.True(t, known)
	require.Len(t, changes, catalog.HistoryMaxChanges)
	require.Equal(t, uint64(12), changes[0].GetSequence())

	big := &pb.Item{Body: make([]byte, catalog.HistoryMaxBytes*2/5)}
	for range 3 {
		history.Add(&pb.Change{Sequence: history.Last() + 1, Upserts: []*pb.Item{big}})
	}
	_, known = history.Since(history.Last() - 3)
	require.False(t, known)
	_, known = history.Since(history.Last() - 2)
	require.True(t, known)

	history.Add(&pb.Change{Sequence: 1000})
	_, known = history.Since(history.Last() - 2)
	require.False(t, known, "after a gap, only the changes that follow it are known")
	changes, known = history.Since(999)
	require.True(t, known)
	require.Len(t, changes, 1)
}
