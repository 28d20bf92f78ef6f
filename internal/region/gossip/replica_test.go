package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/serverlist"
)

// change returns the change with a sequence number, which is the same for all replicas.
func change(sequence uint64) *pb.Change {
	item := &pb.Item{
		Kind:     catalog.KindRoutes,
		Name:     fmt.Sprintf("route-%d", sequence%50),
		Order:    sequence,
		Sequence: sequence,
		Body:     []byte(`{"name":"r"}`),
	}
	return &pb.Change{Sequence: sequence, Generation: sequence, Upserts: []*pb.Item{item}}
}

func changes(from, to uint64) []*pb.Change {
	var all []*pb.Change
	for sequence := from; sequence <= to; sequence++ {
		all = append(all, change(sequence))
	}
	return all
}

func stateAt(sequence uint64) *catalog.Snapshot {
	replica := NewReplica()
	replica.ApplyChanges(changes(1, sequence))
	return replica.Snapshot()
}

func version(epoch uint64, holder string, revision uint64) *pb.ListVersion {
	return &pb.ListVersion{Epoch: epoch, Holder: holder, Revision: revision}
}

func list(revision uint64, ids ...string) *pb.ServerList {
	message := &pb.ServerList{Version: version(1, "core-1", revision)}
	for _, id := range ids {
		message.Servers = append(message.Servers, &pb.Server{Id: id, Service: "s", Address: "10.0.0.1:80"})
	}
	return message
}

// Guards against versions that decrease and against diverging states: updates in any order, repeated and reordered,
// must not lower a version, and the state at a sequence must be the same for all replicas.
func TestVersionsOnlyRise(t *testing.T) {
	const last = 40
	states := make([]*catalog.Snapshot, last+1)
	for sequence := range states {
		states[sequence] = stateAt(uint64(sequence))
	}
	rapid.Check(t, func(t *rapid.T) {
		replica := NewReplica()
		bases := []*catalog.Snapshot{nil}
		now := time.Minute
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sequence, listed := replica.Sequence(), replica.ListVersion()
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "passed")) * time.Millisecond
			at := rapid.Uint64Range(1, last).Draw(t, "at")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				replica.ApplyChanges(changes(at, rapid.Uint64Range(at, last).Draw(t, "to")))
			case 1:
				base := rapid.SampledFrom(bases).Draw(t, "base")
				var digests *pb.RangeDigests
				if base != nil {
					digests = base.Digests()
				}
				_, err := replica.Restore(base, states[at].RepairFor(digests))
				require.NoError(t, err)
			case 2:
				bases = append(bases, replica.Snapshot())
			case 3:
				offered := &pb.ServerList{
					Version: version(at%3, fmt.Sprint("core-", at%2), at%5),
					AgeMs:   uint32(at * 10),
				}
				replica.OfferList(now, offered)
			}
			require.GreaterOrEqual(t, replica.Sequence(), sequence)
			require.GreaterOrEqual(t, serverlist.CompareVersions(replica.ListVersion(), listed), 0)
			require.True(t, proto.Equal(states[replica.Sequence()].Digests(), replica.Snapshot().Digests()))
		}
	})
}

func TestPartialRepairNeedsItsBase(t *testing.T) {
	replica := NewReplica()
	replica.ApplyChanges(changes(1, 3))
	base := replica.Snapshot()
	repair := stateAt(9).RepairFor(base.Digests())
	require.Less(t, len(repair.GetRanges()), catalog.RangeCount)
	moved, err := replica.Restore(nil, repair)
	var partial *PartialRepairError
	require.ErrorAs(t, err, &partial)
	require.False(t, moved)
	moved, err = replica.Restore(base, repair)
	require.NoError(t, err)
	require.True(t, moved)
	require.EqualValues(t, 9, replica.Sequence())
}

func TestListContentIsComparedApartFromTheTimeThatPasses(t *testing.T) {
	warming := func(revision uint64, ageMs, warmMs uint32) *pb.ServerList {
		message := list(revision, "i-1")
		message.AgeMs = ageMs
		message.Servers[0].WarmLeftMs = warmMs
		return message
	}
	cases := []struct {
		name    string
		now     time.Duration
		offered *pb.ServerList
		want    ListOutcome
	}{
		{"older", 2 * time.Second, warming(1, 0, 5000), ListStale},
		{"same and not later", 2 * time.Second, warming(2, 2000, 5000), ListStale},
		{"same and later", 2 * time.Second, warming(2, 100, 3100), ListConfirmed},
		{"newer, warming up a little longer", 3 * time.Second, warming(3, 0, 2200), ListChanged},
		{"newer, warming up a little shorter", 3 * time.Second, warming(3, 0, 1800), ListConfirmed},
		{"newer, warming went on", 3 * time.Second, warming(3, 0, 2000), ListConfirmed},
		{"newer, warm", 9 * time.Second, warming(3, 0, 0), ListConfirmed},
		{"newer, warming up again", 9 * time.Second, warming(3, 0, 5000), ListChanged},
		{"newer, another server", 2 * time.Second, list(3, "i-2"), ListChanged},
		{"newer, no server", 2 * time.Second, list(3), ListChanged},
		{"no version", 2 * time.Second, &pb.ServerList{}, ListStale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			replica := NewReplica()
			require.Equal(t, ListChanged, replica.OfferList(time.Second, warming(2, 1000, 5000)))
			require.Equal(t, c.want, replica.OfferList(c.now, c.offered))
		})
	}
}

func TestConfirmationLeavesRemainingTimesAsTheyAre(t *testing.T) {
	replica := NewReplica()
	replica.OfferList(time.Second, list(1, "i-1"))
	confirmation := &pb.ServerList{Version: version(1, "core-1", 1), AgeMs: 100}
	require.Equal(t, ListConfirmed, replica.OfferList(3*time.Second, confirmation))
	require.Equal(t, 2900*time.Millisecond, replica.ListConfirmedAt())
	require.EqualValues(t, 2000, replica.List(3*time.Second).GetAgeMs(), "the list was read two seconds ago")
	require.Len(t, replica.List(3*time.Second).GetServers(), 1)
}

func TestListAges(t *testing.T) {
	replica := NewReplica()
	require.Nil(t, replica.List(time.Second))
	first := list(1, "i-1")
	first.AgeMs = 300
	replica.OfferList(time.Second, first)
	require.EqualValues(t, 800, replica.List(1500*time.Millisecond).GetAgeMs())
	require.EqualValues(t, 300, first.GetAgeMs(), "the offered message must not be modified")
}

func BenchmarkSameContent(b *testing.B) {
	ids := make([]string, 400)
	for i := range ids {
		ids[i] = fmt.Sprint("i-", rand.Uint64())
	}
	one, other := storedList{message: list(1, ids...)}, storedList{message: list(2, ids...)}
	for b.Loop() {
		sameContent(one, other)
	}
}
