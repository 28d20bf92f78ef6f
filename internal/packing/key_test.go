package packing

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A repair answers the digests of one copy: another copy at the same sequence gets its own.
func TestCopiesWithOtherDigestsGetOtherRepairs(t *testing.T) {
	var packer Packer
	items := manyRoutes(300).GetChanges()[0].GetUpserts()
	answerTo := func(digest uint64, ranges ...*pb.Range) *pb.Repair {
		request := &pb.WatchRequest{Sequence: 7, TakesPacked: true, Digests: &pb.RangeDigests{Sequence: 7, Digests: []uint64{digest}}}
		answer := &pb.WatchResponse{Sequence: 8, Repair: &pb.Repair{Sequence: 8, Ranges: ranges}}
		packer.PackAnswer(request, answer)
		news, err := Unpack(answer.GetPacked())
		require.NoError(t, err)
		return news.GetRepair()
	}
	first, second := &pb.Range{Index: 1, Items: items}, &pb.Range{Index: 2, Items: items}
	require.Len(t, answerTo(10, first).GetRanges(), 1)
	require.Len(t, answerTo(11, first, second).GetRanges(), 2)
	require.True(t, proto.Equal(first, answerTo(10).GetRanges()[0]), "that of the first is kept")
	require.EqualValues(t, 2, packer.Packs())
}
