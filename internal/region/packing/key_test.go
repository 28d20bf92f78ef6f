package packing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A repair responds to the digests of one replica. Guards against sending a cached repair to another replica at the
// same sequence with other digests.
func TestReplicasWithOtherDigestsGetOtherRepairs(t *testing.T) {
	var compressor Compressor
	items := manyRoutes(300).GetChanges()[0].GetUpserts()
	repairFor := func(digest uint64, ranges ...*pb.Range) *pb.Repair {
		request := &pb.WatchRequest{Sequence: 7, AcceptsCompressed: true, Digests: &pb.RangeDigests{Sequence: 7, Digests: []uint64{digest}}}
		response := &pb.WatchResponse{Sequence: 8, Repair: &pb.Repair{Sequence: 8, Ranges: ranges}}
		compressor.CompressResponse(request, response)
		update, err := Decompress(response.GetCompressed())
		require.NoError(t, err)
		return update.GetRepair()
	}
	first, second := &pb.Range{Index: 1, Items: items}, &pb.Range{Index: 2, Items: items}
	require.Len(t, repairFor(10, first).GetRanges(), 1)
	require.Len(t, repairFor(11, first, second).GetRanges(), 2)
	require.True(t, proto.Equal(first, repairFor(10).GetRanges()[0]), "the repair for the first digests must be cached")
	require.EqualValues(t, 2, compressor.Compressions())
}
