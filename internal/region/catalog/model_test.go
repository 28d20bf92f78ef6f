package catalog_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// named is an element of one of the model's lists.
type named struct {
	name, body string
}

// model is the expected configuration.
type model struct {
	generation uint64
	routes     []named
	services   []named
	limits     string
	zones      map[string]bool
}

// bodies returns the bodies of a list, separated by commas.
func bodies(list []named) string {
	all := make([]string, len(list))
	for index, one := range list {
		all[index] = one.body
	}
	return strings.Join(all, ",")
}

// text returns the configuration in the form of the operator API.
func (m model) text() string {
	return fmt.Sprintf(`{"gen":%d,"routes":[%s],"backends":[%s],"req-limits":%s}`,
		m.generation, bodies(m.routes), bodies(m.services), m.limits)
}

// system is a snapshot with its model, and with all changes and snapshots that led to it.
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

// apply applies a change that must succeed, and compares the result with the model.
func (s *system) apply(change *pb.Change, err error) {
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

// drawNamed draws a list of elements with distinct names.
func (s *system) drawNamed(label string, prefix string, body func(name string) string) []named {
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
	s.model.routes = s.drawNamed("routes", "r", s.routeBody)
	services := s.drawNamed("services", "t", serviceBody)
	s.model.services = append([]named{{"s1", `{"name":"s1"}`}}, services...)
	s.model.limits = fmt.Sprintf(`{"n":%d}`, rapid.IntRange(0, 3).Draw(s.t, "limit"))
	s.apply(catalog.PrepareReplace(s.snapshot, base, []byte(s.model.text())))
}

func (s *system) amend() {
	if s.model.generation == 0 {
		return
	}
	base := s.model.generation
	s.nextGeneration()
	upserts := s.drawNamed("upserts", "r", s.routeBody)
	var removals []string
	for _, one := range s.drawNamed("removals", "r", s.routeBody) {
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
	s.apply(catalog.PrepareAmend(s.snapshot, base, []byte(body)))
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
	s.apply(change, err)
}

// step executes a random order.
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
