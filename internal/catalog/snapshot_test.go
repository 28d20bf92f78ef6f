package catalog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

// named is an element of the model's list: what the operator would keep.
type named struct {
	name, body string
}

// model is the operator's idea of the configuration.
type model struct {
	generation uint64
	routes     []named
	services   []named
	limits     string
	zones      map[string]bool
}

func bodies(list []named) string {
	all := make([]string, len(list))
	for index, one := range list {
		all[index] = one.body
	}
	return strings.Join(all, ",")
}

func (m model) text() string {
	return fmt.Sprintf(`{"gen":%d,"routes":[%s],"backends":[%s],"req-limits":%s}`,
		m.generation, bodies(m.routes), bodies(m.services), m.limits)
}

// system is a snapshot, the model beside it, and everything that happened.
type system struct {
	t         *rapid.T
	snapshot  *catalog.Snapshot
	model     model
	changes   []*pb.Change
	snapshots []*catalog.Snapshot // by sequence
	history   *catalog.History
}

func newSystem(t *rapid.T) *system {
	empty := catalog.Empty()
	return &system{
		t:         t,
		snapshot:  empty,
		model:     model{limits: "1", zones: make(map[string]bool)},
		snapshots: []*catalog.Snapshot{empty},
		history:   catalog.NewHistory(0),
	}
}

func (s *system) take(change *pb.Change, err error) {
	s.snapshot = applied(s.t, s.snapshot, change, err)
	s.changes = append(s.changes, change)
	s.snapshots = append(s.snapshots, s.snapshot)
	s.history.Add(change)
	s.check()
}

// check compares the snapshot with the model.
func (s *system) check() {
	if s.model.generation > 0 {
		require.Equal(s.t, s.model.text(), readBack(s.t, s.snapshot))
	}
	require.Len(s.t, s.snapshot.EvacuatedZones(), len(s.model.zones))
	for zone := range s.model.zones {
		require.True(s.t, s.snapshot.Evacuated(zone))
	}
}

func (s *system) someNamed(label string, prefix string, body func(name string) string) []named {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 25), 0, 12, rapid.ID[int]).Draw(s.t, label)
	list := make([]named, len(numbers))
	for index, number := range numbers {
		name := fmt.Sprintf("%s%d", prefix, number)
		list[index] = named{name: name, body: body(name)}
	}
	return list
}

func (s *system) routeBody(name string) string {
	return route(name, fmt.Sprintf(`"prio":%d`, rapid.IntRange(0, 2).Draw(s.t, "prio")))
}

func serviceBody(name string) string { return `{ "name": "` + name + `" }` }

func (s *system) nextGeneration() {
	s.model.generation += rapid.Uint64Range(1, 5).Draw(s.t, "step")
}

func (s *system) replace() {
	base := s.model.generation
	s.nextGeneration()
	s.model.routes = s.someNamed("routes", "r", s.routeBody)
	services := s.someNamed("services", "t", serviceBody)
	s.model.services = append([]named{{"s1", `{"name":"s1"}`}}, services...)
	s.model.limits = fmt.Sprintf(`{"n":%d}`, rapid.IntRange(0, 3).Draw(s.t, "limit"))
	s.take(catalog.PrepareReplace(s.snapshot, base, []byte(s.model.text())))
}

func (s *system) amend() {
	if s.model.generation == 0 {
		return
	}
	base := s.model.generation
	s.nextGeneration()
	upserts := s.someNamed("upserts", "r", s.routeBody)
	var removals []string
	for _, one := range s.someNamed("removals", "r", s.routeBody) {
		removals = append(removals, one.name)
	}
	for _, one := range upserts {
		index := slices.IndexFunc(s.model.routes, func(old named) bool { return old.name == one.name })
		if index >= 0 {
			s.model.routes[index] = one
		} else {
			s.model.routes = append(s.model.routes, one)
		}
	}
	s.model.routes = slices.DeleteFunc(s.model.routes, func(one named) bool {
		return slices.Contains(removals, one.name)
	})
	body := fmt.Sprintf(`{"gen":%d,"upsert":{"routes":[%s]},"remove":{"routes":[%s]}}`,
		s.model.generation, bodies(upserts), quoted(removals))
	s.take(catalog.PrepareAmend(s.snapshot, base, []byte(body)))
}

func quoted(names []string) string {
	all := make([]string, len(names))
	for index, name := range names {
		all[index] = `"` + name + `"`
	}
	return strings.Join(all, ",")
}

func (s *system) evacuate() {
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "zone")
	begin := rapid.Bool().Draw(s.t, "begin")
	change, err := catalog.PrepareEvacuation(s.snapshot, zone, begin)
	if s.model.zones[zone] == begin {
		require.NoError(s.t, err)
		require.Nil(s.t, change)
		return
	}
	if begin {
		s.model.zones[zone] = true
	} else {
		delete(s.model.zones, zone)
	}
	s.take(change, err)
}

func (s *system) step() {
	switch rapid.IntRange(0, 5).Draw(s.t, "order") {
	case 0:
		s.replace()
	case 1, 2, 3:
		s.amend()
	default:
		s.evacuate()
	}
}

func TestOrdersKeepTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.step()
		}
	})
}

func TestCopiesCatchUp(t *testing.T) {
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
			require.True(t, s.snapshot.SameAs(replica))

			changes, known := s.history.Since(older.Sequence())
			require.True(t, known)
			applied := older
			for _, change := range changes {
				applied, err = applied.Apply(change)
				require.NoError(t, err)
			}
			requireSame(t, s.snapshot, applied)
			require.True(t, s.snapshot.SameAs(applied))
		}
		whole, err := s.snapshots[0].Restore(s.snapshot.RepairFor(nil))
		require.NoError(t, err)
		requireSame(t, s.snapshot, whole)
		data, err := s.snapshot.Marshal()
		require.NoError(t, err)
		stored, err := catalog.Unmarshal(data)
		require.NoError(t, err)
		requireSame(t, s.snapshot, stored)
		require.True(t, s.snapshot.SameAs(stored))
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

// withoutNumbers is a snapshot with the same items at sequence and generation 0.
func withoutNumbers(t *rapid.T, snapshot *catalog.Snapshot) *catalog.Snapshot {
	repair := snapshot.RepairFor(nil)
	repair.Sequence, repair.Generation = 0, 0
	bare, err := catalog.Empty().Restore(repair)
	require.NoError(t, err)
	return bare
}

// TestDigestsCoverEveryField: two histories may give one sequence to different changes.
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
		var wrong *catalog.SequenceError
		require.ErrorAs(t, err, &wrong)
		require.Equal(t, catalog.SequenceError{Have: 1, Got: sequence}, *wrong)
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
	whole := replaced(t, catalog.Empty(), configuration(1, route("a"))).RepairFor(nil)
	damage := map[string]func(*pb.Repair){
		"unknown range": func(repair *pb.Repair) { repair.Ranges[0].Index = catalog.RangeCount },
		"range twice":   func(repair *pb.Repair) { repair.Ranges[0].Index = repair.Ranges[1].Index },
		"item twice": func(repair *pb.Repair) {
			for _, part := range repair.Ranges {
				part.Items = append(part.Items, part.Items...)
			}
		},
		"wrong range": func(repair *pb.Repair) {
			for _, part := range repair.Ranges {
				part.Index = (part.Index + 1) % catalog.RangeCount
			}
		},
	}
	for name, change := range damage {
		t.Run(name, func(t *testing.T) {
			repair := proto.Clone(whole).(*pb.Repair)
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

func TestRepairOfAnOddCopyIsWhole(t *testing.T) {
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
	require.False(t, known, "after a gap, only what follows it is known")
	changes, known = history.Since(999)
	require.True(t, known)
	require.Len(t, changes, 1)
}
