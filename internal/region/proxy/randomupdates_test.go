package proxy

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/route"
)

const (
	// defaultUpdateRuns is the number of runs, each with another seed, in which a proxy gets random updates. PROXY_FAR
	// overrides it.
	defaultUpdateRuns = 20
	// changesPerRun is the number of changes in the history of a run.
	changesPerRun = 600
	routesPerRun  = 12
	// callsPerRun is the number of simulated calls of the agent in a run.
	callsPerRun = 60
)

// testConfigStream is a snapshot store together with the history of changes from which its updates are drawn.
type testConfigStream struct {
	t         *testing.T
	random    *rand.Rand
	truth     []*catalog.Snapshot // correct states, indexed by sequence
	changes   []*pb.Change        // indexed by sequence - 1
	snapshots *snapshotStore
	alter     func(*pb.ApplyRequest) // planted fault; nil for none
}

func newTestConfigStream(t *testing.T, seed uint64) *testConfigStream {
	f := &testConfigStream{t: t, random: rand.New(rand.NewPCG(seed, 8)), truth: []*catalog.Snapshot{catalog.Empty()}, snapshots: newSnapshotStore()}
	for sequence := uint64(1); sequence <= changesPerRun; sequence++ {
		made := f.makeChange(sequence)
		next, err := f.truth[sequence-1].Apply(made)
		require.NoError(t, err)
		f.changes = append(f.changes, made)
		f.truth = append(f.truth, next)
	}
	return f
}

// makeChange returns a random change. It gives other paths to some routes, sometimes replaces the whole configuration or
// removes an item, and begins or ends the evacuation of a zone.
func (f *testConfigStream) makeChange(sequence uint64) *pb.Change {
	made := &pb.Change{Sequence: sequence, Generation: sequence}
	if sequence == 1 || f.random.IntN(50) == 0 {
		made.ReplacesAll = true
		made.Upserts = append(made.Upserts, serviceItem(sequence))
	}
	for _, index := range f.random.Perm(routesPerRun)[:1+f.random.IntN(4)] {
		made.Upserts = append(made.Upserts, &pb.Item{
			Kind:     catalog.KindRoutes,
			Name:     fmt.Sprint("r", index),
			Sequence: sequence,
			Body: fmt.Appendf(nil, `{"name":"r%d","vhost":"h.example","path-prefix":"/%d-%d/","route-kind":"idempotent","deadline-ms":2000,"target-ms":500,"backend":"s1","tries":2}`,
				index, index, sequence),
		})
	}
	if f.random.IntN(4) == 0 {
		made.Removals = append(made.Removals, &pb.ItemKey{Kind: catalog.KindRoutes, Name: fmt.Sprint("gone", sequence)})
	}
	zone := &pb.Item{Kind: catalog.KindEvacuation, Name: fmt.Sprint("z", f.random.IntN(3)), Sequence: sequence}
	if f.random.IntN(2) == 0 {
		made.Upserts = append(made.Upserts, zone)
	} else {
		made.Removals = append(made.Removals, &pb.ItemKey{Kind: zone.GetKind(), Name: zone.GetName()})
	}
	return made
}

// applyUpdate applies a random request that an agent could send: new, old, or without the changes before it. It returns a
// description of what is wrong afterwards, or an empty string.
func (f *testConfigStream) applyUpdate() string {
	before := f.snapshots.load()
	request := f.request()
	if f.alter != nil {
		f.alter(request)
	}
	current, applied := f.snapshots.apply(request)
	switch {
	case current.sequence < before.sequence:
		return "the sequence decreased"
	case current.sequence > before.sequence != applied.tableChanged:
		return "tableChanged doesn't match the sequence"
	case !before.confirmed && current.confirmed && f.snapshots.gap:
		return "confirmed although changes are missing"
	case applied.regressed:
		return "the snapshot regressed"
	}
	return f.difference(current)
}

func (f *testConfigStream) request() *pb.ApplyRequest {
	at := uint64(f.random.IntN(changesPerRun)) + 1
	if f.random.IntN(2) == 0 { // the next change that the proxy needs
		at = min(f.snapshots.load().sequence+1, changesPerRun)
	}
	to := min(at+uint64(f.random.IntN(300)), changesPerRun)
	request := &pb.ApplyRequest{Confirmed: f.random.IntN(5) == 0}
	switch draw := f.random.IntN(10); {
	case draw < 7:
		request.Changes = f.changes[at-1 : to]
	case draw < 8:
		request.Repair = f.truth[to].RepairFor(f.truth[at].Digests()) // a repair of some ranges only
	default:
		request.Repair = f.truth[at].RepairFor(nil)
	}
	return request
}

// difference describes how the snapshot's table differs from the correct state with the same sequence. It returns an empty
// string if it doesn't.
func (f *testConfigStream) difference(current *snapshot) string {
	var items []*pb.Item
	for _, part := range f.truth[current.sequence].RepairFor(nil).GetRanges() {
		items = append(items, part.GetItems()...)
	}
	wanted, faults := route.FromItems(items)
	require.Empty(f.t, faults)
	switch {
	case wanted.Routes() != current.table.Routes():
		return "another number of routes"
	case !slices.Equal(wanted.Services(), current.table.Services()):
		return "other services"
	case !slices.Equal(wanted.Evacuated(), current.table.Evacuated()):
		return "other evacuations"
	}
	for index := range routesPerRun {
		name := fmt.Sprint("r", index)
		other, found := wanted.Route(name)
		if !found {
			continue
		}
		looked, found := current.table.Lookup("h.example", other.PathPrefix+"x")
		if !found || looked.Name != name {
			return fmt.Sprintf("another path of %s at %d", name, current.sequence)
		}
	}
	return ""
}

func runsOf(name string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return value
}

// A proxy may miss hundreds of changes and get updates in any order. Its snapshot never regresses and always matches the
// state with its sequence. One call with all missing changes, or with the full state, brings the proxy up to date.
func TestUpdatesInAnyOrderNeverRegress(t *testing.T) {
	for seed := range uint64(runsOf("PROXY_FAR", defaultUpdateRuns)) {
		f := newTestConfigStream(t, seed)
		for range callsPerRun {
			require.Empty(t, f.applyUpdate(), "seed %d", seed)
		}
		current := f.snapshots.load().sequence
		last := &pb.ApplyRequest{Changes: f.changes[current:]}
		if f.snapshots.needsFullState() {
			last = &pb.ApplyRequest{Repair: f.truth[changesPerRun].RepairFor(nil)}
		}
		f.snapshots.apply(last)
		require.EqualValues(t, changesPerRun, f.snapshots.load().sequence)
		require.False(t, f.snapshots.needsFullState())
		require.Empty(t, f.difference(f.snapshots.load()))
	}
}

func TestPlantedFaultsOfUpdatesAreFound(t *testing.T) {
	faults := map[string]struct {
		alter   func(*pb.ApplyRequest)
		finding string
	}{
		"the content of a change is lost but not its sequence": {loseChange, "another path"},
		"an old state has a new sequence":                      {renumberRepair, "another"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(defaultUpdateRuns) {
				f := newTestConfigStream(t, seed)
				f.alter = fault.alter
				for range callsPerRun {
					if strings.Contains(f.applyUpdate(), fault.finding) {
						return
					}
				}
			}
			require.Fail(t, "the planted fault was not found")
		})
	}
}

func loseChange(request *pb.ApplyRequest) {
	if len(request.GetChanges()) < 2 {
		return
	}
	changes := slices.Clone(request.GetChanges())
	lost := changes[len(changes)-1]
	changes[len(changes)-1] = &pb.Change{Sequence: lost.GetSequence(), Generation: lost.GetGeneration()}
	request.Changes = changes
}

func renumberRepair(request *pb.ApplyRequest) {
	if repair := request.GetRepair(); repair != nil {
		request.Repair = &pb.Repair{Sequence: min(repair.GetSequence()+100, changesPerRun), Ranges: repair.GetRanges()}
	}
}
