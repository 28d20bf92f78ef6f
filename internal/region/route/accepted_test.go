package route_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/route"
)

// configurationOf returns a complete configuration of generation 1 with the given routes and service, and a second
// service "s2".
func configurationOf(service string, routes ...string) []byte {
	return fmt.Appendf(nil, `{"gen":1,"routes":[%s],"backends":[%s,{"name":"s2"}],"req-limits":{"max-body-bytes":4096}}`,
		strings.Join(routes, ","), service)
}

// routeText returns a route to "s1" whose further members come after the required ones, and so override them.
func routeText(name string, members ...string) string {
	all := append([]string{
		fmt.Sprintf(`"name":%q`, name),
		`"vhost":"h.example"`,
		fmt.Sprintf(`"path-prefix":"/%s/"`, name),
		`"backend":"s1"`,
	}, members...)
	return "{" + strings.Join(all, ",") + "}"
}

// accept returns the state after the replacement by a configuration, or false if validation rejects the configuration.
func accept(t require.TestingT, body []byte) (*catalog.Snapshot, bool) {
	empty := catalog.Empty()
	change, err := catalog.PrepareReplace(empty, empty.Generation(), body)
	if err != nil {
		return nil, false
	}
	state, err := empty.Apply(change)
	require.NoError(t, err)
	return state, true
}

// TestTableServesEveryRouteThatValidationAccepts validates routes with unusual members. A route that validation accepts
// must be in the table and lead to its service. Otherwise its requests would be answered 404.
func TestTableServesEveryRouteThatValidationAccepts(t *testing.T) {
	cases := map[string]string{
		"unknown kind":                    `"route-kind":"odd"`,
		"kind of another case":            `"route-kind":"Streaming"`,
		"kind that is null":               `"route-kind":null`,
		"kind that is a number":           `"route-kind":7`,
		"negative target":                 `"target-ms":-1`,
		"target that is a string":         `"target-ms":"800"`,
		"target that is null":             `"target-ms":null`,
		"target beyond a float":           `"target-ms":1e999`,
		"negative priority":               `"prio":-1`,
		"priority that is a list":         `"prio":[1]`,
		"negative tries":                  `"tries":-1`,
		"no tries":                        `"tries":0`,
		"tries as a string":               `"tries":"2"`,
		"negative gap":                    `"gap_aim_ms":-0.5`,
		"gap that is an object":           `"gap_aim_ms":{}`,
		"pinned as a number":              `"pinned":1`,
		"resumable as a string":           `"resumable":"true"`,
		"home regions as a string":        `"home-regions":"cz"`,
		"home regions with null":          `"home-regions":[null]`,
		"home regions as numbers":         `"home-regions":[1]`,
		"home regions that are null":      `"home-regions":null`,
		"huge deadline":                   `"deadline-ms":1e300`,
		"deadline twice, first invalid":   `"deadline-ms":"x","deadline-ms":5`,
		"deadline twice, first 0":         `"deadline-ms":0,"deadline-ms":5`,
		"split of an unknown member":      `"split":[{"backend":"s1","share":1,"later":"x"}]`,
		"split with a share of 0":         `"split":[{"backend":"s1","share":1},{"backend":"s2","share":0}]`,
		"split without a share":           `"split":[{"backend":"s1","share":1},{"backend":"s2"}]`,
		"split of shares beyond a float":  `"split":[{"backend":"s1","share":1.5e308},{"backend":"s2","share":1.5e308}]`,
		"split twice, first invalid":      `"split":"x","split":[{"backend":"s1","share":1}]`,
		"split, then null":                `"split":[{"backend":"s2","share":1}],"split":null`,
		"empty split":                     `"split":[]`,
		"member of another case, invalid": `"Tries":"x"`,
		"service of another case":         `"Backend":"s2"`,
		"prefix of another case":          `"Path-Prefix":"/elsewhere/"`,
		"member that is unknown":          `"later":{"x":[1]}`,
		"escaped name of a member":        `"tri\u0065s":2`,
		"host twice, first invalid":       `"vhost":7,"vhost":"h.example"`,
		"host with a port":                `"vhost":"h.example:80"`,
		"host of another case and a port": `"vhost":"H.Example:80"`,
		"host that is not ASCII":          `"vhost":"H\u00c9.example"`,
	}
	for name, members := range cases {
		t.Run(name, func(t *testing.T) {
			state, valid := accept(t, configurationOf(`{"name":"s1"}`, routeText("r", members)))
			if !valid {
				return // the operator gets an answer 400 that names the fault
			}
			table, faults := route.FromItems(itemsOf(state))
			require.Empty(t, faults)
			for _, host := range []string{"h.example", "H.Example:8080"} {
				if strings.Contains(name, "ASCII") {
					host = strings.Replace(host, "h.", "h\u00e9.", 1)
					host = strings.Replace(host, "H.", "H\u00c9.", 1)
				}
				found, ok := table.Lookup(host, "/r/x")
				require.True(t, ok, "the table has no route for host %s", host)
				require.Equal(t, "s1", found.PickService(0))
			}
		})
	}
}

// TestTableKeepsEveryServiceAndLimitThatValidationAccepts does the same for services and request limits.
func TestTableKeepsEveryServiceAndLimitThatValidationAccepts(t *testing.T) {
	services := map[string]string{
		"negative connections":    `{"name":"s1","max-conns":-1}`,
		"connections as a string": `{"name":"s1","max-conns":"370"}`,
		"path as a number":        `{"name":"s1","health-path":7}`,
		"runtime as a string":     `{"name":"s1","runtime":"m"}`,
		"models as strings":       `{"name":"s1","runtime":{"capacity":4,"models":["m"]}}`,
		"negative warm-up":        `{"name":"s1","warmup-s":-1}`,
	}
	for name, service := range services {
		t.Run(name, func(t *testing.T) {
			state, valid := accept(t, configurationOf(service, routeText("r")))
			if !valid {
				return
			}
			table, faults := route.FromItems(itemsOf(state))
			require.Empty(t, faults)
			_, ok := table.Service("s1")
			require.True(t, ok, "the table must contain the service")
		})
	}
	limits := map[string]string{
		"negative":               `{"max-body-bytes":4096,"keepalive-ms":-1}`,
		"header as a string":     `{"max-body-bytes":4096,"max-header-bytes":"16384"}`,
		"time as a list":         `{"max-body-bytes":4096,"header-read-ms":[]}`,
		"of another case":        `{"max-body-bytes":4096,"Max-Body-Bytes":1}`,
		"with null":              `{"max-body-bytes":4096,"keepalive-ms":null}`,
		"with an unknown member": `{"max-body-bytes":4096,"later":{}}`,
		"as a decimal number":    `{"max-body-bytes":4096.0}`,
		"twice, the last valid":  `{"max-body-bytes":"x","max-body-bytes":4096}`,
	}
	for name, text := range limits {
		t.Run("limits/"+name, func(t *testing.T) {
			body := fmt.Appendf(nil, `{"gen":1,"routes":[],"backends":[],"req-limits":%s}`, text)
			state, valid := accept(t, body)
			if !valid {
				return
			}
			table, faults := route.FromItems(itemsOf(state))
			require.Empty(t, faults)
			require.EqualValues(t, 4096, table.RequestLimits().MaxBodyBytes)
		})
	}
}

// TestNoTwoRoutesThatValidationAcceptsShareAMatch validates routes whose hosts differ only in port or case. The table
// ignores both, so that validation has to treat the hosts as equal.
func TestNoTwoRoutesThatValidationAcceptsShareAMatch(t *testing.T) {
	pairs := map[string][2]string{
		"a port":          {"h.example", "h.example:80"},
		"two ports":       {"h.example:80", "h.example:81"},
		"case":            {"h.example", "H.example"},
		"case and a port": {"H.example:80", "h.example"},
		"an empty port":   {"h.example", "h.example:"},
	}
	for name, hosts := range pairs {
		t.Run(name, func(t *testing.T) {
			state, valid := accept(t, configurationOf(`{"name":"s1"}`,
				fmt.Sprintf(`{"name":"a","vhost":%q,"path-prefix":"/x/","backend":"s1"}`, hosts[0]),
				fmt.Sprintf(`{"name":"b","vhost":%q,"path-prefix":"/x/","backend":"s2"}`, hosts[1])))
			if !valid {
				return
			}
			table, faults := route.FromItems(itemsOf(state))
			require.Empty(t, faults)
			first, _ := table.Lookup(hosts[0], "/x/y")
			second, _ := table.Lookup(hosts[1], "/x/y")
			require.Equal(t, []string{"a", "b"}, []string{first.Name, second.Name}, "both routes must be found")
		})
	}
}
