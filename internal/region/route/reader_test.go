package route_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/configitem"
	"fieldrelay/internal/region/route"
)

// drawnMembers are names of members of a route except "name", and names that resemble them.
var drawnMembers = []string{
	"vhost", "path-prefix", "backend", "split", "deadline-ms", "route-kind", "target-ms", "prio", "tries", "pinned",
	"resumable", "gap_aim_ms", "home-regions", "Vhost", "Path-Prefix", "Backend", "SPLIT", "Tries", "later", `ba\u0063kend`,
}

// drawnValues are JSON values, each of which is valid for some of the members or for none.
var drawnValues = []string{
	`null`, `true`, `false`, `0`, `-1`, `7`, `0.5`, `1e300`, `1e999`, `""`, `"s1"`, `"s2"`, `"s9"`, `"h.example"`, `"H.example:80"`,
	`"/x/"`, `"\/y\/"`, `"x"`, `"streaming"`, `"Idempotent"`, `[]`, `[null]`, `["cz"]`, `["cz",1]`, `{}`, `{"a":[1]}`,
	`[{"backend":"s2","share":1}]`, `[{"backend":"s1","share":0},{"backend":"s2","share":3,"later":"x"}]`,
	`[{"backend":"s2","share":1.7e308},{"backend":"s1","share":1.7e308}]`, `[{"backend":"s1","Share":1,"share":0}]`,
	`[{"backend":"s9","backend":"s1","share":"x","share":2}]`,
}

// drawRoute returns a valid route with a few random members appended, which may repeat earlier ones.
func drawRoute(t *rapid.T, name string) string {
	members := []string{
		fmt.Sprintf(`"name":%q`, name), `"vhost":"h.example"`, fmt.Sprintf(`"path-prefix":"/%s/"`, name), `"backend":"s1"`,
	}
	for range rapid.IntRange(0, 4).Draw(t, "odd members") {
		members = append(members, fmt.Sprintf(`"%s":%s`, rapid.SampledFrom(drawnMembers).Draw(t, "member"),
			rapid.SampledFrom(drawnValues).Draw(t, "value")))
	}
	return "{" + strings.Join(members, ",") + "}"
}

// plainRoute is a route as parsed by encoding/json into a map: names are case-sensitive, and the last of repeated members
// wins.
type plainRoute map[string]json.RawMessage

func (p plainRoute) text(t require.TestingT, name string) string {
	var value string
	if raw, found := p[name]; found {
		require.NoError(t, json.Unmarshal(raw, &value))
	}
	return value
}

// weights returns the services of the route's requests with their weights, up to a common factor.
func (p plainRoute) weights(t require.TestingT) map[string]float64 {
	var split []plainRoute
	require.NoError(t, json.Unmarshal(append([]byte{}, orNull(p["split"])...), &split))
	if len(split) == 0 {
		return map[string]float64{p.text(t, "backend"): 1}
	}
	weights := make(map[string]float64)
	for _, share := range split {
		var weight float64
		require.NoError(t, json.Unmarshal(orNull(share["share"]), &weight))
		if weight > 0 {
			weights[share.text(t, "backend")] += weight / 4 // so that the sum of large weights is finite
		}
	}
	return weights
}

func orNull(raw json.RawMessage) json.RawMessage {
	if raw == nil {
		return json.RawMessage(`null`)
	}
	return raw
}

// TestAcceptedRoutesAreServedAsValidated validates routes with random unusual members. The table must contain
// each accepted route, with the host, prefix and services that encoding/json reads from its text. It must not report a
// fault of a member that validation checks.
func TestAcceptedRoutesAreServedAsValidated(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		texts := []string{drawRoute(t, "a"), drawRoute(t, "b")}
		state, valid := accept(t, configurationOf(`{"name":"s1"}`, texts...))
		if !valid {
			rejected++
			return
		}
		accepted++
		built := route.Empty().Rebuild(itemsOf(state), nil, false)
		require.Empty(t, built.LeftOut)
		for _, problem := range built.PartiallyApplied {
			for _, fault := range problem.Faults {
				require.NotContains(t, []string{"", "vhost", "path-prefix", "backend", "split", "deadline-ms"}, fault.Field)
			}
		}
		for _, text := range texts {
			var plain plainRoute
			require.NoError(t, json.Unmarshal([]byte(text), &plain))
			host := plain.text(t, "vhost")
			found, ok := built.Table.Lookup(host, plain.text(t, "path-prefix")+"1")
			require.True(t, ok, text)
			require.Equal(t, plain.text(t, "name"), found.Name, text)
			require.Equal(t, configitem.CanonicalHost(host), found.Host)
			requireServices(t, plain.weights(t), found)
		}
	})
	require.Positive(t, accepted)
	require.Positive(t, rejected)
}

// requireServices checks that a route's requests are distributed over the expected services by their weights.
func requireServices(t require.TestingT, want map[string]float64, found *route.Route) {
	for _, service := range []string{"s1", "s2", "s9", ""} {
		require.Equal(t, want[service] > 0, found.LeadsTo(service), service)
	}
	total := 0.0
	for _, weight := range want {
		total += weight
	}
	const draws = 1000
	picked := make(map[string]float64)
	for draw := range draws {
		picked[found.PickService(float64(draw)/draws)] += 1.0 / draws
	}
	for service, weight := range want {
		require.InDelta(t, weight/total, picked[service], 2.0/draws, service)
	}
}

// TestStatesOfEarlierVersionsAreServed builds a table from a state with two routes of the same host and prefix, as earlier
// versions may have stored it. It must not report a fault.
func TestStatesOfEarlierVersionsAreServed(t *testing.T) {
	state, valid := accept(t, configurationOf(`{"name":"s1"}`, routeText("a"), routeText("b")))
	require.True(t, valid)
	items := itemsOf(state)
	for _, item := range items {
		if item.GetKind() == catalog.KindRoutes && item.GetName() == "b" {
			item.Body = []byte(routeText("b", `"vhost":"h.example:80"`, `"path-prefix":"/a/"`))
		}
	}
	table, faults := route.FromItems(items)
	require.Empty(t, faults)
	found, ok := table.Lookup("h.example:80", "/a/x")
	require.True(t, ok)
	require.Equal(t, "a", found.Name)
}
