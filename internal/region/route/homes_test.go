package route

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// stateOf returns a state of the configuration that holds items.
func stateOf(t *testing.T, items ...*pb.Item) *catalog.Snapshot {
	t.Helper()
	state, err := catalog.Empty().Apply(&pb.Change{Sequence: 1, Generation: 1, Upserts: items})
	require.NoError(t, err)
	return state
}

func TestHomeRegionsOfHosts(t *testing.T) {
	index := NewHomeIndex(stateOf(t,
		item(catalog.KindRoutes, "a", `{"vhost":"One.example:80","path-prefix":"/a/","backend":"s","home-regions":["west","east"]}`),
		item(catalog.KindRoutes, "b", `{"vhost":"one.example","path-prefix":"/b/","backend":"s","home-regions":["east"]}`),
		item(catalog.KindRoutes, "c", `{"vhost":"one.example","path-prefix":"/c/","backend":"s"}`),
		item(catalog.KindRoutes, "d", `{"vhost":"two.example","path-prefix":"/d/","backend":"s","home-regions":[]}`),
		item(catalog.KindRoutes, "e", `{"vhost":"three.example","path-prefix":"/e/","backend":"s","home-regions":["north"]}`),
		item(catalog.KindRoutes, "f", `{"vhost":"three.example","path-prefix":"","backend":"s","home-regions":["north"]}`),
		item(catalog.KindRoutes, "g", `no route`),
	))
	one := HomeRegions{Routes: 2, ByRegion: map[string]int{"west": 1, "east": 2}}
	require.Equal(t, one, index.Of("one.example"))
	require.Equal(t, one, index.Of("ONE.example:8080"))
	require.Equal(t, HomeRegions{}, index.Of("two.example"))
	require.Equal(t, HomeRegions{Routes: 1, ByRegion: map[string]int{"north": 1}}, index.Of("three.example"))
	require.True(t, one.IsRestricted())
	require.True(t, one.AllAllowedIn("east"))
	require.False(t, one.AllAllowedIn("west"))
	require.False(t, index.Of("two.example").IsRestricted())
}

// A route whose home regions cannot be parsed is restricted to unknown regions, so that no region's proxies may serve it.
func TestHomeRegionsThatCannotBeRead(t *testing.T) {
	index := NewHomeIndex(stateOf(t,
		item(catalog.KindRoutes, "a", `{"vhost":"h","path-prefix":"/a/","backend":"s","home-regions":"west"}`),
		item(catalog.KindRoutes, "b", `{"vhost":"h","path-prefix":"/b/","backend":"s","home\u002dregions":["east"]}`),
	))
	regions := index.Of("h:80")
	require.Equal(t, 2, regions.Routes)
	require.False(t, regions.AllAllowedIn("west"))
	require.False(t, regions.AllAllowedIn("east"))
}

func TestHomeRegionsOfOtherItemsMayConcernAllHosts(t *testing.T) {
	regions := NewHomeIndex(stateOf(t, item("tenants", "t", `{"home-regions":["west"]}`))).Of("any.example")
	require.True(t, regions.IsRestricted())
	require.False(t, regions.AllAllowedIn("west"))
}

func TestBodiesThatMentionHomeRegions(t *testing.T) {
	cases := map[string]bool{
		`{}`:                                 false,
		`{"home-regions":[]}`:                false,
		`{"home-regions" : [ ]}`:             false,
		`{"home-regions":null}`:              false,
		`{"home-regions":["west"]}`:          true,
		"{\"home-regions\" :\n[ \"west\" ]}": true,
		`{"o":{"home-regions":[]},"home-regions":["west"]}`: true,
		`{"note":"\"home-regions\":[1]"}`:                   false,
		`{"home-regions"`:                                   true,
		`{"home\u002dregions":["west"]}`:                    true,
		`{"o":[{"home\u002dregions":["west"]}]}`:            true,
		`{"home\u002dregions":[ ],"x":null}`:                false,
		`{"home\u002dregions":null,"note":"\u0041"}`:        false,
		`{"note":"\u0041","home-regions":"west"}`:           true,
	}
	for body, want := range cases {
		t.Run(strconv.Quote(body), func(t *testing.T) { require.Equal(t, want, mentionsHomeRegions([]byte(body))) })
	}
}
