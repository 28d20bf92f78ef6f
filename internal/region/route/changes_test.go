package route_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/route"
)

// itemsOf returns all items of a state.
func itemsOf(state *catalog.Snapshot) []*pb.Item {
	var items []*pb.Item
	for _, kind := range state.Kinds() {
		items = append(items, state.Items(kind)...)
	}
	return items
}

// TestIncrementalTableEqualsTableOfWholeState applies replacements and amendments as operators send them (routes
// that swap hosts and prefixes, that are renamed, or that are added and removed by one amendment), and compares the table
// built by successive changes with one built from the whole state.
func TestIncrementalTableEqualsTableOfWholeState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, table := catalog.Empty(), route.Empty()
		for step := range rapid.IntRange(1, 25).Draw(t, "orders") {
			change, err := drawChange(t, state, step)
			if err != nil {
				continue // rejected by validation
			}
			next, err := state.Apply(change)
			require.NoError(t, err)
			state = next
			var faults []*route.ItemError
			table, faults = table.With(change.GetUpserts(), change.GetRemovals(), change.GetReplacesAll())
			require.Empty(t, faults)
			whole, faults := route.FromItems(itemsOf(state))
			require.Empty(t, faults)
			requireSameTable(t, whole, table)
		}
	})
}

var (
	drawnNames    = []string{"a", "b", "c", "d", "e"}
	drawnHosts    = []string{"h.example", "H.example", "i.example"}
	drawnPrefixes = []string{"/", "/x/", "/x/y/", "/z/"}
)

// drawChange prepares a random replacement or amendment of a few routes.
func drawChange(t *rapid.T, state *catalog.Snapshot, step int) (*pb.Change, error) {
	var routes []string
	var removed []string
	for _, name := range drawnNames {
		switch rapid.IntRange(0, 3).Draw(t, "what becomes of "+name) {
		case 0, 1:
			routes = append(routes, fmt.Sprintf(`{"name":%q,"vhost":%q,"path-prefix":%q,"backend":%q}`, name,
				rapid.SampledFrom(drawnHosts).Draw(t, "host"),
				rapid.SampledFrom(drawnPrefixes).Draw(t, "prefix"),
				rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service")))
			if rapid.IntRange(0, 9).Draw(t, "and removed") == 0 {
				removed = append(removed, fmt.Sprintf("%q", name))
			}
		case 2:
			removed = append(removed, fmt.Sprintf("%q", name))
		}
	}
	generation := state.Generation() + 1 + uint64(step%2)
	if state.Generation() == 0 || rapid.IntRange(0, 4).Draw(t, "replace") == 0 {
		body := fmt.Sprintf(`{"gen":%d,"routes":[%s],"backends":[{"name":"s1"},{"name":"s2"}]}`,
			generation, strings.Join(routes, ","))
		return catalog.PrepareReplace(state, state.Generation(), []byte(body))
	}
	body := fmt.Sprintf(`{"gen":%d,"upsert":{"routes":[%s]},"remove":{"routes":[%s]}}`,
		generation, strings.Join(routes, ","), strings.Join(removed, ","))
	return catalog.PrepareAmend(state, state.Generation(), []byte(body))
}

// requireSameTable compares the results of all lookups in two tables.
func requireSameTable(t require.TestingT, want, got *route.Table) {
	require.Equal(t, want.Routes(), got.Routes())
	require.Equal(t, want.Services(), got.Services())
	for _, name := range drawnNames {
		expected, expectedFound := want.Route(name)
		actual, found := got.Route(name)
		require.Equal(t, expectedFound, found, name)
		require.Equal(t, expected, actual, name)
	}
	for _, host := range drawnHosts {
		for _, path := range []string{"/", "/x/1", "/x/y/1", "/z/1", "/w"} {
			expected, expectedFound := want.Lookup(host, path)
			actual, found := got.Lookup(host, path)
			require.Equal(t, expectedFound, found, "%s%s", host, path)
			require.Equal(t, expected, actual, "%s%s", host, path)
		}
	}
}
