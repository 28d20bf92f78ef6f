package gossip

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/packing"
)

// Guards against a replica that stays behind after a compressed update: a neighbour that was repaired still has an
// older compressed update, which advances another replica only partially. That replica must compare again, without
// waiting for the next interval, until it has the complete state.
func TestReplicaThatACompressedUpdateMovesInPartPullsTheRest(t *testing.T) {
	source := catalog.Empty()
	apply := func(change *pb.Change) {
		next, err := source.Apply(change)
		require.NoError(t, err)
		source = next
	}
	for _, made := range changes(1, 9) {
		apply(made)
	}
	apply(largeChange(10))
	whole := source.RepairFor(nil)
	var packer packing.Compressor
	compressedWhole := packer.Compressed(packing.Key{Sequence: 10, Complete: true}, func() *pb.StateUpdate { return &pb.StateUpdate{Repair: whole} })
	require.NotNil(t, compressedWhole)
	large := largeChange(11)
	apply(large)

	ahead := New(NewReplica(), fixedView{}, nil)
	ahead.Step(0, UpdateReceived{Repair: whole, Compressed: compressedWhole})
	ahead.Step(0, UpdateReceived{Changes: []*pb.Change{large}, Compressed: compressedFrom(large)})
	base := ahead.replica.Snapshot()
	for _, made := range changes(12, 40) {
		apply(made)
	}
	ahead.Step(0, UpdateReceived{Base: base, Repair: source.RepairFor(base.Digests())})
	require.EqualValues(t, 40, ahead.replica.Sequence())

	behind := New(NewReplica(), fixedView{}, nil)
	pending := []Compare{behind.versionComparison(neighbour(1))}
	answers := 0
	for len(pending) > 0 {
		request := pending[0]
		pending = pending[1:]
		answers++
		require.Less(t, answers, 10, "the comparisons must end")
		reply := ahead.Step(0, CompareRequested{From: neighbour(2), Digests: request.Digests, AcceptsCompressed: true})[0].(CompareReply)
		response := reply.Response
		if compressed := response.GetCompressed(); compressed != nil {
			unpacked, err := packing.Decompress(compressed)
			require.NoError(t, err)
			response.Changes = append(unpacked.GetChanges(), response.GetChanges()...)
			response.Repair = unpacked.GetRepair()
		}
		for _, action := range behind.Step(0, CompareAnswered{Request: request, Response: response}) {
			if compare, ok := action.(Compare); ok {
				pending = append(pending, compare)
			}
		}
	}
	require.EqualValues(t, 40, behind.replica.Sequence(), "after %d responses", answers)
}
