package proxy

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

const routeBody = `{"name":"r1","vhost":"h.example","path-prefix":"/a/","route-kind":"idempotent","deadline-ms":2000,"target-ms":500,"backend":"s1","tries":2}`

func routeItem(sequence uint64) *pb.Item {
	return &pb.Item{Kind: catalog.KindRoutes, Name: "r1", Sequence: sequence, Body: []byte(routeBody)}
}

func serviceItem(sequence uint64) *pb.Item {
	return &pb.Item{Kind: catalog.KindBackends, Name: "s1", Order: 1, Sequence: sequence, Body: []byte(`{"name":"s1"}`)}
}

func firstChange() *pb.Change {
	return &pb.Change{Sequence: 1, Generation: 7, ReplacesAll: true, Upserts: []*pb.Item{routeItem(1), serviceItem(1)}}
}

func fullRepair(sequence, generation uint64, items ...*pb.Item) *pb.Repair {
	repair := &pb.Repair{Sequence: sequence, Generation: generation}
	for index := range catalog.RangeCount {
		repair.Ranges = append(repair.Ranges, &pb.Range{Index: uint32(index)})
	}
	repair.Ranges[0].Items = items
	return repair
}

func TestStateFollowsChangesInSequence(t *testing.T) {
	s := newSnapshotStore()
	require.True(t, s.needsFullState())
	require.False(t, s.load().configured())

	current, applied := s.apply(&pb.ApplyRequest{Changes: []*pb.Change{firstChange()}})
	require.True(t, applied.tableChanged)
	require.Empty(t, applied.rejected)
	require.Empty(t, applied.partial)
	require.EqualValues(t, 7, current.generation)
	require.Equal(t, 1, current.table.Routes())
	require.False(t, s.needsFullState())

	_, applied = s.apply(&pb.ApplyRequest{Changes: []*pb.Change{firstChange()}})
	require.False(t, applied.tableChanged, "a change that was applied already is ignored")

	evacuate := &pb.Change{Sequence: 2, Generation: 7, Upserts: []*pb.Item{{Kind: catalog.KindEvacuation, Name: "z1", Sequence: 2}}}
	current, _ = s.apply(&pb.ApplyRequest{Changes: []*pb.Change{evacuate}})
	require.Equal(t, []string{"z1"}, current.table.Evacuated())
	require.Equal(t, 1, current.table.Routes())
}

func TestStoreRequestsTheFullStateAfterAGap(t *testing.T) {
	s := newSnapshotStore()
	s.apply(&pb.ApplyRequest{Changes: []*pb.Change{firstChange()}})
	current, applied := s.apply(&pb.ApplyRequest{Changes: []*pb.Change{{Sequence: 3, Generation: 9}}, Confirmed: true})
	require.False(t, applied.tableChanged)
	require.EqualValues(t, 1, current.sequence)
	require.False(t, current.confirmed, "the confirmation is for a state that is not in force")
	require.True(t, s.needsFullState())

	current, _ = s.apply(&pb.ApplyRequest{Repair: &pb.Repair{Sequence: 3, Generation: 9, Ranges: []*pb.Range{{Index: 1}}}})
	require.EqualValues(t, 1, current.sequence, "a repair of some ranges is not enough")
	require.True(t, s.needsFullState())

	current, applied = s.apply(&pb.ApplyRequest{Repair: fullRepair(3, 9, serviceItem(3)), Confirmed: true})
	require.True(t, applied.tableChanged)
	require.EqualValues(t, 3, current.sequence)
	require.Zero(t, current.table.Routes())
	require.True(t, current.confirmed)
	require.False(t, s.needsFullState())
}

func TestStoreNeverRegresses(t *testing.T) {
	s := newSnapshotStore()
	s.apply(&pb.ApplyRequest{Repair: fullRepair(5, 9, routeItem(5), serviceItem(5))})
	for _, request := range []*pb.ApplyRequest{
		{Repair: fullRepair(4, 8)},
		{Repair: fullRepair(5, 9)},
		{Changes: []*pb.Change{firstChange()}},
	} {
		current, applied := s.apply(request)
		require.False(t, applied.tableChanged)
		require.EqualValues(t, 5, current.sequence)
		require.Equal(t, 1, current.table.Routes())
	}
}

func TestOlderServerListsAreIgnored(t *testing.T) {
	s := newSnapshotStore()
	list := func(epoch uint64, holder string, revision uint64, ids ...string) *pb.ServerList {
		made := &pb.ServerList{Version: &pb.ListVersion{Epoch: epoch, Holder: holder, Revision: revision}}
		for _, id := range ids {
			made.Servers = append(made.Servers, &pb.Server{Id: id, Address: "127.0.0.1:1"})
		}
		return made
	}
	steps := []struct {
		list  *pb.ServerList
		taken bool
	}{
		{list(1, "a", 5, "i-1"), true},
		{list(1, "a", 5, "i-2"), false},
		{list(1, "a", 4), false},
		{list(1, "b", 1, "i-1", "i-2"), true},
		{list(1, "a", 9), false},
		{list(2, "a", 1), true},
		{nil, false},
	}
	for index, step := range steps {
		_, applied := s.apply(&pb.ApplyRequest{List: step.list})
		require.Equal(t, step.taken, applied.listChanged, "step %d", index)
	}
	require.Empty(t, s.load().servers)
}

func TestReadiness(t *testing.T) {
	s := newSnapshotStore()
	life := &lifecycle{snapshot: s.load}
	require.False(t, life.ready(s.load()))
	s.apply(&pb.ApplyRequest{Changes: []*pb.Change{firstChange()}})
	require.False(t, life.ready(s.load()))
	s.apply(&pb.ApplyRequest{List: &pb.ServerList{}})
	require.False(t, life.ready(s.load()))
	s.apply(&pb.ApplyRequest{Confirmed: true})
	require.True(t, life.ready(s.load()))
	life.enter(phaseDraining)
	require.False(t, life.ready(s.load()))
	require.True(t, life.draining())
}
