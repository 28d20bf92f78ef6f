package main

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

const sample = `
[net]
delay = 2
[[classes]]
name = "first"
[classes.stream]
resume = false
[[classes]]
name = "second"
`

func parseSample(t *testing.T) map[string]any {
	t.Helper()
	site := map[string]any{}
	require.NoError(t, toml.Unmarshal([]byte(sample), &site))
	return site
}

func TestEditsReachNamedPlaces(t *testing.T) {
	tests := map[string]struct {
		changes edits
		check   func(t *testing.T, site map[string]any)
	}{
		"a value in a table": {
			edits{Set: []edit{{Path: "net.delay", Value: 9}}},
			func(t *testing.T, site map[string]any) {
				require.Equal(t, 9, site["net"].(map[string]any)["delay"])
			},
		},
		"a value in the entry that a selector names": {
			edits{Set: []edit{{Path: "classes[name=first].stream.resume", Value: true}}},
			func(t *testing.T, site map[string]any) {
				entry := site["classes"].([]any)[0].(map[string]any)
				require.Equal(t, true, entry["stream"].(map[string]any)["resume"])
			},
		},
		"a value in every entry": {
			edits{Set: []edit{{Path: "classes[*].retries", Value: 0}}},
			func(t *testing.T, site map[string]any) {
				for _, entry := range site["classes"].([]any) {
					require.Equal(t, 0, entry.(map[string]any)["retries"])
				}
			},
		},
		"an entry removed and one added": {
			edits{
				Remove: []edit{{Path: "classes[name=second]"}},
				Append: []edit{{Path: "classes", Value: map[string]any{"name": "third"}}},
			},
			func(t *testing.T, site map[string]any) {
				require.Len(t, site["classes"], 2)
				require.Equal(t, "third", site["classes"].([]any)[1].(map[string]any)["name"])
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			site := parseSample(t)
			require.NoError(t, apply(site, &test.changes))
			test.check(t, site)
		})
	}
}

func TestPathThatNamesNothingIsAnError(t *testing.T) {
	for _, path := range []string{"absent.key", "classes[name=nobody].retries", "net..delay"} {
		err := apply(parseSample(t), &edits{Set: []edit{{Path: path, Value: 1}}})
		var fault *PathError
		require.ErrorAs(t, err, &fault, path)
	}
}
