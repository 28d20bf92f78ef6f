package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// TestARouteWithoutAServiceIsRejected picks for a route whose services cannot be parsed. The table contains the route,
// and its requests must fail for lack of a server (503) and not for lack of a route (404).
func TestARouteWithoutAServiceIsRejected(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	odd := &pb.Item{Kind: catalog.KindRoutes, Name: "odd", Body: []byte(`{"vhost":"h","path-prefix":"/odd/","split":7}`)}
	table, faults := f.table.With([]*pb.Item{odd}, nil, false)
	require.Empty(t, faults)
	f.p.SetTable(f.now, table)
	found, ok := table.Lookup("h", "/odd/x")
	require.True(t, ok)
	request := &Request{Route: found, Service: found.PickService(0.5)}
	_, err := f.p.checkTimeLeft(f.now, request)
	require.NoError(t, err, "the time left is no reason to reject a request without a known service")
	_, err = f.p.Pick(f.now, request)
	var none *NoServerError
	require.ErrorAs(t, err, &none)
	require.Equal(t, ReasonNoServer, none.Reason)
}
