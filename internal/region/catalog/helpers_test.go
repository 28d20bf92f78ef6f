package catalog_test

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// route returns a valid route to service "s1". The members are appended and replace those of the same name.
func route(name string, members ...string) string {
	all := append([]string{
		`"name":"` + name + `"`,
		`"vhost":"h.example"`,
		`"path-prefix":"/` + name + `/"`,
		`"deadline-ms":5000`,
		`"backend":"s1"`,
	}, members...)
	return "{" + strings.Join(all, ",") + "}"
}

// configuration returns a valid configuration with two services.
func configuration(generation uint64, routes ...string) []byte {
	return []byte(fmt.Sprintf(`{"gen":%d,"routes":[%s],"backends":[{"name":"s1"},{"name":"s2"}],"req-limits":{"a":1}}`,
		generation, strings.Join(routes, ",")))
}

// applied returns the state after the change of an order, which must be valid.
func applied(t require.TestingT, snapshot *catalog.Snapshot, change *pb.Change, err error) *catalog.Snapshot {
	require.NoError(t, err)
	require.NotNil(t, change)
	next, err := snapshot.Apply(change)
	require.NoError(t, err)
	return next
}

func replaced(t require.TestingT, snapshot *catalog.Snapshot, body []byte) *catalog.Snapshot {
	change, err := catalog.PrepareReplace(snapshot, snapshot.Generation(), body)
	return applied(t, snapshot, change, err)
}

func amended(t require.TestingT, snapshot *catalog.Snapshot, body string) *catalog.Snapshot {
	change, err := catalog.PrepareAmend(snapshot, snapshot.Generation(), []byte(body))
	return applied(t, snapshot, change, err)
}

func evacuated(t require.TestingT, snapshot *catalog.Snapshot, zone string, begin bool) *catalog.Snapshot {
	change, err := catalog.PrepareEvacuation(snapshot, zone, begin)
	return applied(t, snapshot, change, err)
}

// readBack returns the configuration in force, as the operator API returns it.
func readBack(t require.TestingT, snapshot *catalog.Snapshot) string {
	data, err := snapshot.Configuration()
	require.NoError(t, err)
	require.True(t, json.Valid(data), "%s", data)
	return string(data)
}

// names returns the names of items.
func names(items []*pb.Item) []string {
	all := make([]string, len(items))
	for index, item := range items {
		all[index] = item.GetName()
	}
	return all
}

// content returns the sequence, the generation and the items of a snapshot as text, for comparison.
func content(t require.TestingT, snapshot *catalog.Snapshot) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d %d\n", snapshot.Sequence(), snapshot.Generation())
	for _, kind := range snapshot.Kinds() {
		for _, item := range snapshot.Items(kind) {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(item)
			require.NoError(t, err)
			fmt.Fprintf(&text, "%x\n", data)
		}
	}
	return text.String()
}

func requireSame(t require.TestingT, want, got *catalog.Snapshot) {
	require.Equal(t, content(t, want), content(t, got))
	require.True(t, proto.Equal(want.Digests(), got.Digests()))
}
