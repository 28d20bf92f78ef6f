package gossip

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/packing"
)

// A neighbour that was repaired holds packed news of before, which brings another copy on by a part of the way only. The
// other asks until it holds all, and doesn't wait for the next comparison.
func TestACopyThatPackedNewsBringsOnInPartAsksForTheRest(t *testing.T) {
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
	var packer packing.Packer
	packedWhole := packer.Packed(packing.Key{Sequence: 10, Whole: true}, func() *pb.StateNews { return &pb.StateNews{Repair: whole} })
	require.NotNil(t, packedWhole)
	large := largeChange(11)
	apply(large)

	ahead := New(NewReplica(), fixedView{}, nil)
	ahead.Step(0, UpdateReceived{Repair: whole, Compressed: packedWhole})
	ahead.Step(0, UpdateReceived{Changes: []*pb.Change{large}, Compressed: compressedFrom(large)})
	base := ahead.replica.Snapshot()
	for _, made := range changes(12, 40) {
		apply(made)
	}
	ahead.Step(0, UpdateReceived{Base: base, Repair: source.RepairFor(base.Digests())})
	require.EqualValues(t, 40, ahead.replica.Sequence())

	asker := New(NewReplica(), fixedView{}, nil)
	asks := []Compare{asker.versionComparison(neighbour(1))}
	answers := 0
	for len(asks) > 0 {
		asked := asks[0]
		asks = asks[1:]
		answers++
		require.Less(t, answers, 10, "it asks for ever")
		reply := ahead.Step(0, CompareRequested{From: neighbour(2), Digests: asked.Digests, AcceptsCompressed: true})[0].(CompareReply)
		response := reply.Response
		if packed := response.GetPacked(); packed != nil {
			news, err := packing.Unpack(packed)
			require.NoError(t, err)
			response.Changes = append(news.GetChanges(), response.GetChanges()...)
			response.Repair = news.GetRepair()
		}
		for _, wanted := range asker.Step(0, Compared{Request: asked, Response: response}) {
			if compare, ok := wanted.(Compare); ok {
				asks = append(asks, compare)
			}
		}
	}
	require.EqualValues(t, 40, asker.replica.Sequence(), "after %d answers", answers)
}
