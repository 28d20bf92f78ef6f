package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/packing"
	"fieldrelay/internal/region/shuffle"
)

// An agent requests compressed updates, and forwards a compressed update of a control machine to other agents in its
// compressed form.
func TestLargeUpdateIsPassedOnAsItCame(t *testing.T) {
	m := newModel(1, 1, 1)
	m.commitRoutes(initialRoutes)
	var compressor packing.Compressor
	response := &pb.WatchResponse{Authoritative: true, Sequence: 1, Repair: m.committedStates[1].RepairFor(nil)}
	compressor.CompressResponse(&pb.WatchRequest{AcceptsCompressed: true}, response)
	compressed := response.GetCompressed()
	require.NotNil(t, compressed)
	require.NoError(t, decompressWatch(response))
	s, call := newLinkedCore(t)
	require.True(t, call.request.GetAcceptsCompressed())
	s.step(watchDone{call: call, response: response})

	other := shuffle.Neighbour{Host: "edge-2", Address: "10.0.0.2:7661"}
	request := compareCall{gossip.Compare{To: s.core.identity.neighbour, Digests: &pb.RangeDigests{}}}
	replies := make(chan *pb.CompareResponse, 1)
	s.step(compareRequested{request: newCompareRequest(other, request), response: replies})
	require.Same(t, compressed, (<-replies).GetCompressed())
}
