package catalog_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// amendmentWith returns an amendment that adds routes; each has a member with padding of the given size.
func amendmentWith(generation, firstRoute, routes, padding int) string {
	added := make([]string, routes)
	for index := range added {
		added[index] = route(fmt.Sprint("r", firstRoute+index), `"note":"`+strings.Repeat("x", padding)+`"`)
	}
	return fmt.Sprintf(`{"gen":%d,"upsert":{"routes":[%s]}}`, generation, strings.Join(added, ","))
}

// amendUntilRefused adds routes by one amendment after another, and returns the last state and the refusal.
func amendUntilRefused(t *testing.T, routes, padding int) (*catalog.Snapshot, error) {
	t.Helper()
	snapshot := replaced(t, catalog.Empty(), configuration(1, route("first")))
	for generation := 2; ; generation++ {
		body := amendmentWith(generation, generation*routes, routes, padding)
		change, err := catalog.PrepareAmend(snapshot, snapshot.Generation(), []byte(body))
		if err != nil {
			return snapshot, err
		}
		snapshot = applied(t, snapshot, change, err)
		require.Less(t, proto.Size(snapshot.RepairFor(nil)), 2*catalog.MaxConfigurationBytes, "nothing is refused")
	}
}

// Guards against a configuration that no agent or control machine takes in a message: only each order was bounded, not
// what many amendments add up to.
func TestAmendmentsBeyondTheLimitAreRefused(t *testing.T) {
	const framingBytes = 64 << 10
	for name, size := range map[string]struct{ routes, padding int }{
		"large routes": {routes: 4, padding: 256 << 10},
		"small routes": {routes: 16384, padding: 0},
	} {
		t.Run(name, func(t *testing.T) {
			snapshot, err := amendUntilRefused(t, size.routes, size.padding)
			var refusal *catalog.TooLargeError
			require.ErrorAs(t, err, &refusal)
			assert.Equal(t, http.StatusRequestEntityTooLarge, refusal.Status())
			assert.Equal(t, catalog.MaxConfigurationBytes, refusal.Limit)
			assert.Greater(t, refusal.Bytes, refusal.Limit)
			assert.LessOrEqual(t, proto.Size(snapshot.RepairFor(nil)), catalog.MaxConfigurationBytes+framingBytes)
			assert.LessOrEqual(t, proto.Size(snapshot.ReplicaRepairFor(nil)), catalog.MaxConfigurationBytes+framingBytes)
			amended(t, snapshot, `{"gen":1000000,"remove":{"routes":["first"]}}`)
		})
	}
}

// A configuration that an earlier version made too large can be made smaller, step by step, but not larger.
func TestTooLargeConfigurationMayShrink(t *testing.T) {
	const routes, routeBytes = 12, 1 << 20
	snapshot := replaced(t, catalog.Empty(), configuration(1, route("first")))
	change := &pb.Change{Sequence: snapshot.Sequence() + 1, Generation: 2}
	for index := range routes {
		name := fmt.Sprint("large", index)
		body := route(name, `"note":"`+strings.Repeat("x", routeBytes)+`"`)
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind: catalog.KindRoutes, Name: name, Order: uint64(index+2) << 16, Sequence: change.GetSequence(), Body: []byte(body),
		})
	}
	snapshot = applied(t, snapshot, change, nil)
	smaller := amended(t, snapshot, `{"gen":3,"remove":{"routes":["large0"]}}`)
	_, err := catalog.PrepareAmend(smaller, smaller.Generation(), []byte(amendmentWith(4, 0, 1, 0)))
	var refusal *catalog.TooLargeError
	require.ErrorAs(t, err, &refusal)
}
