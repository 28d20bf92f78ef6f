package catalog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/catalog"
)

// withRoute is a configuration of one route whose body ends with further members.
func withRoute(members string) []byte {
	return fmt.Appendf(nil, `{"gen":1,"routes":[{"name":"r","vhost":"Photos.example","path-prefix":"/a/","deadline-ms":5,"backend":"b"%s}],"backends":[{"name":"b"}]}`, members)
}

func TestHomeBoundHosts(t *testing.T) {
	cases := map[string]struct {
		members string
		bound   bool
	}{
		"no list":              {``, false},
		"an empty list":        {`,"home-regions":[]`, false},
		"an empty list, far":   {`,"home-regions" : [ ]`, false},
		"null":                 {`,"home-regions":null`, false},
		"a region":             {`,"home-regions":["west"]`, true},
		"a region, far":        {",\"home-regions\" :\n[ \"west\" ]", true},
		"an empty one first":   {`,"other":{"home-regions":[]},"home-regions":["west"]`, true},
		"a text that names it": {`,"note":"\"home-regions\":[1]"`, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			index := replaced(t, catalog.Empty(), withRoute(one.members)).HomeIndex()
			require.Equal(t, one.bound, index.Of("photos.example").Bound)
			require.Equal(t, one.bound, index.Of("PHOTOS.example").Bound)
			require.False(t, index.Of("other.example").Bound)
		})
	}
}

func TestHomesOfOtherItemsBindAllHosts(t *testing.T) {
	body := []byte(`{"gen":1,"routes":[],"backends":[],"tenants":[{"name":"t","home-regions":["west"]}]}`)
	require.True(t, replaced(t, catalog.Empty(), body).HomeIndex().Of("any.example").Bound)
}

// TestHomesOfAHostAreThoseOfAllItsRoutes: a region counts only if every route that has homes has it among them.
func TestHomesOfAHostAreThoseOfAllItsRoutes(t *testing.T) {
	cases := map[string]struct {
		homes []string // of one route each
		want  []string
	}{
		"one route":            {[]string{`["west","east"]`}, []string{"east", "west"}},
		"beside one without":   {[]string{`["west"]`, `[]`}, []string{"west"}},
		"two that share one":   {[]string{`["west","east"]`, `["north","west"]`}, []string{"west"}},
		"two that share none":  {[]string{`["west"]`, `["north"]`}, nil},
		"and a third of these": {[]string{`["west"]`, `["north"]`, `["north"]`}, nil},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			var routes []string
			for index, homes := range one.homes {
				routes = append(routes, fmt.Sprintf(
					`{"name":"r%d","vhost":"h","path-prefix":"/%d/","deadline-ms":5,"backend":"b","home-regions":%s}`, index, index, homes))
			}
			body := fmt.Appendf(nil, `{"gen":1,"routes":[%s],"backends":[{"name":"b"}]}`, strings.Join(routes, ","))
			homes := replaced(t, catalog.Empty(), body).HomeIndex().Of("h")
			require.True(t, homes.Bound)
			slices.Sort(homes.Regions)
			require.ElementsMatch(t, one.want, homes.Regions)
		})
	}
}
