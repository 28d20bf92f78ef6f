package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/packing"
	"fieldrelay/internal/shuffle"
)

// What a control machine sent packed goes to neighbours as it came, and an agent asks for it in that form.
func TestLargeNewsOfControlIsPassedOnAsItCame(t *testing.T) {
	m := newModel(1, 1, 1)
	m.commitRoutes(routesAtFirst)
	var packer packing.Packer
	answer := &pb.WatchResponse{Authoritative: true, Sequence: 1, Repair: m.truth[1].RepairFor(nil)}
	packer.PackAnswer(&pb.WatchRequest{TakesPacked: true}, answer)
	packed := answer.GetPacked()
	require.NotNil(t, packed)
	require.NoError(t, decompressWatch(answer))
	s, call := newLinkedCore(t)
	require.True(t, call.request.GetTakesPacked())
	s.step(watchDone{call: call, response: answer})

	other := shuffle.Neighbour{Host: "edge-2", Address: "10.0.0.2:7661"}
	asks := compareCall{gossip.Compare{To: s.core.identity.neighbour, Digests: &pb.RangeDigests{}}}
	replies := make(chan *pb.CompareResponse, 1)
	s.step(compareRequested{request: newCompareRequest(other, asks), response: replies})
	require.Same(t, packed, (<-replies).GetPacked())
}
