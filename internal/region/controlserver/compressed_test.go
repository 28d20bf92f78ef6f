package controlserver

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/packing"
)

// addRoutes adds count routes to the configuration in force.
func addRoutes(t *testing.T, node Node, base, generation, count int) {
	t.Helper()
	routes := make([]string, count)
	for number := range routes {
		routes[number] = fmt.Sprintf(`{"name":"r%d","vhost":"h%d.example","path-prefix":"/p%d/","deadline-ms":5000,"backend":"s1"}`,
			number, number*7919, number*104729)
	}
	body := fmt.Sprintf(`{"gen":%d,"upsert":{"routes":[%s],"backends":[{"name":"s1"}]}}`, generation, strings.Join(routes, ","))
	result := node.Submit(t.Context(), &pb.Order{Kind: pb.Order_KIND_AMEND, Base: uint64(base), Body: []byte(body)})
	require.Equal(t, uint32(200), result.Status, "%s", result.Body)
}

// Guards against the compression of the same update for each agent: a large change is compressed once, and each
// response is less than a quarter of the size of its content.
func TestLargeChangeIsCompressedOnceForAllAgents(t *testing.T) {
	p, node := newTestProcess(t)
	replace(t, node, 0, 7)
	link := newLinkService(p.node, p.soft, "control-1", p.shuttingDown)
	request := current(p)
	request.AcceptsCompressed = true
	addRoutes(t, node, 7, 8, 1400)
	plain := 0
	for agent := range 30 {
		request.Agent = testAgent(fmt.Sprint("edge-", agent))
		got := watchWith(t.Context(), link, request)
		require.NoError(t, got.err)
		updates, err := packing.Decompress(got.response.GetCompressed())
		require.NoError(t, err)
		require.Len(t, updates.GetChanges(), 1)
		require.Empty(t, got.response.GetChanges())
		plain = proto.Size(updates)
		require.Less(t, 4*proto.Size(got.response.GetCompressed()), plain)
	}
	require.EqualValues(t, 1, link.packer.Compressions())
}

func TestAgentsWithoutCompressionGetChanges(t *testing.T) {
	p, node := newTestProcess(t)
	replace(t, node, 0, 7)
	request := current(p)
	addRoutes(t, node, 7, 8, 1400)
	got := watch(p, request)
	require.Nil(t, got.response.GetCompressed())
	require.Len(t, got.response.GetChanges(), 1)
}

// Guards against uncompressed or wrong repairs: an agent with an empty replica gets the complete state compressed, an
// agent that lags far behind gets the ranges that differ.
func TestRepairsAreCompressedForTheReplicasThatTheyServe(t *testing.T) {
	p, node := newTestProcess(t)
	replace(t, node, 0, 7)
	behind := node.Status().Committed
	addRoutes(t, node, 7, 8, 1400)
	node.history.Reset(node.Status().Committed.Sequence())
	request := current(p)
	request.AcceptsCompressed = true
	request.Sequence = 0
	whole := watch(p, request).response
	require.True(t, whole.GetCompressed().GetWhole())
	require.Nil(t, whole.GetRepair())

	request.Sequence = behind.Sequence()
	request.Digests = behind.Digests()
	partial := watch(p, request).response
	require.True(t, partial.GetCompressed().GetRepairs())
	require.False(t, partial.GetCompressed().GetWhole())
	updates, err := packing.Decompress(partial.GetCompressed())
	require.NoError(t, err)
	restored, err := behind.Restore(updates.GetRepair())
	require.NoError(t, err)
	require.True(t, proto.Equal(restored.Digests(), node.Status().Committed.Digests()))
}
