package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// stateOfEarlierVersion returns a state that an earlier version may have stored but this version would reject: two
// routes whose matches only this version considers equal, a malformed route, and a route to a service that does not
// exist.
func stateOfEarlierVersion(t require.TestingT) *catalog.Snapshot {
	change := &pb.Change{Sequence: 1, Generation: 5, OrderDigest: make([]byte, 16)}
	add := func(kind, name, body string) {
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: kind, Name: name, Order: uint64(len(change.Upserts) + 1), Sequence: 1, Body: []byte(body),
		})
	}
	for _, name := range []string{"s1", "s2"} {
		add(catalog.KindBackends, name, fmt.Sprintf(`{"name":%q}`, name))
	}
	add(catalog.KindRoutes, "plain", route("plain"))
	add(catalog.KindRoutes, "port", route("port", `"vhost":"h.example:80"`, `"path-prefix":"/plain/"`))
	add(catalog.KindRoutes, "cut", `{"vhost":"h.exa`)
	add(catalog.KindRoutes, "lost", route("lost", `"backend":"s9"`, `"deadline-ms":0`))
	for _, name := range []string{catalog.KindBackends, catalog.KindRoutes} {
		add(catalog.KindSetting, name, `[]`)
	}
	state, err := catalog.Empty().Apply(change)
	require.NoError(t, err)
	return state
}

// Guards against rejecting an amendment for items that it does not submit. Items that an earlier version accepted must
// not prevent the operator from changing other items or from correcting them.
func TestAmendmentIsNotRejectedForOtherItems(t *testing.T) {
	cases := map[string]string{
		"no change":          `{"gen":6}`,
		"another route":      `{"gen":6,"upsert":{"routes":[` + route("n") + `]}}`,
		"a new service":      `{"gen":6,"upsert":{"backends":[{"name":"s3"}]}}`,
		"one of two changes": `{"gen":6,"upsert":{"routes":[` + route("port", `"path-prefix":"/p/"`) + `]}}`,
		"one of two removed": `{"gen":6,"remove":{"routes":["plain"]}}`,
		"missing service":    `{"gen":6,"upsert":{"backends":[{"name":"s9"}]}}`,
		"corrected route":    `{"gen":6,"upsert":{"routes":[` + route("lost") + `]}}`,
		"removed service":    `{"gen":6,"remove":{"backends":["s2"]}}`,
		"two routes":         `{"gen":6,"upsert":{"routes":[` + route("port", `"path-prefix":"/q/"`) + `,` + route("q", `"path-prefix":"/cut/"`) + `]}}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			next := amended(t, stateOfEarlierVersion(t), body)
			require.EqualValues(t, 6, next.Generation())
		})
	}
}

// Items that an amendment submits are validated even if the same items are in force already.
func TestAmendmentIsRejectedForItemsThatItSubmits(t *testing.T) {
	cases := map[string]struct {
		body, fault string
	}{
		"a third route with an equal match": {`{"gen":6,"upsert":{"routes":[` + route("n", `"path-prefix":"/plain/"`, `"vhost":"H.example:81"`) + `]}}`,
			`routes/n path-prefix: route "plain" has the same host and prefix`},
		"the second route with an equal match is submitted": {`{"gen":6,"upsert":{"routes":[` + route("port", `"vhost":"h.example:80"`, `"path-prefix":"/plain/"`) + `]}}`,
			`routes/port path-prefix: route "plain" has the same host and prefix`},
		"the first route with an equal match is submitted": {`{"gen":6,"upsert":{"routes":[` + route("plain") + `]}}`,
			`routes/port path-prefix: route "plain" has the same host and prefix`},
		"a service of a route is removed": {`{"gen":6,"remove":{"backends":["s1"]}}`,
			`routes/plain backend: there is no service "s1"`},
		"a route to a missing service is submitted": {`{"gen":6,"upsert":{"routes":[` + route("lost", `"backend":"s9"`) + `]}}`,
			`routes/lost backend: there is no service "s9"`},
		"an invalid deadline is submitted": {`{"gen":6,"upsert":{"routes":[` + route("lost", `"deadline-ms":0`) + `]}}`,
			`routes/lost deadline-ms: is not above 0`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			state := stateOfEarlierVersion(t)
			_, err := catalog.PrepareAmend(state, state.Generation(), []byte(test.body))
			var invalid *catalog.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), test.fault)
		})
	}
	state := stateOfEarlierVersion(t)
	_, err := catalog.PrepareReplace(state, state.Generation(), configuration(6, route("a", `"path-prefix":"/x/"`),
		route("b", `"path-prefix":"/x/"`, `"vhost":"h.example:80"`)))
	var invalid *catalog.InvalidError
	require.ErrorAs(t, err, &invalid, "a replacement is validated completely")
}

// Only members that the operator API documents as invalid are rejected.
func TestMembersWithoutRulesAreNotRejected(t *testing.T) {
	for _, member := range []string{
		`"route-kind":"odd"`, `"route-kind":7`, `"target-ms":-1`, `"target-ms":"800"`, `"target-ms":1e999`, `"prio":-1`,
		`"tries":"2"`, `"gap_aim_ms":{}`, `"pinned":1`, `"resumable":"x"`, `"home-regions":"cz"`, `"Deadline-Ms":0`,
		`"Backend":"s9"`, `"deadline-ms":0,"deadline-ms":5`, `"split":[{"backend":"s1","share":1.5e308},{"backend":"s2","share":1.5e308}]`,
	} {
		t.Run(member, func(t *testing.T) {
			replaced(t, catalog.Empty(), configuration(1, route("a", member)))
		})
	}
}
