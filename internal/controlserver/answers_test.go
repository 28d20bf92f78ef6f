package controlserver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

func TestAnswersToAgentsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		replace(t, node, 7, 9)
		link := newLink(p.node, p.soft, "control-1", p.ending)
		ask := func(alter func(*pb.WatchRequest)) *pb.WatchResponse {
			request := current(p)
			alter(request)
			return watchWith(context.Background(), link, request).answer
		}
		counted := link.answers

		whole := ask(func(request *pb.WatchRequest) { request.Sequence = 0 })
		require.EqualValues(t, 1, counted.repairs.Load())
		require.EqualValues(t, proto.Size(whole), counted.largest.Load())
		part := ask(func(request *pb.WatchRequest) { request.Sequence = 1 })
		require.Less(t, proto.Size(part), proto.Size(whole))
		require.EqualValues(t, 1, counted.changes.Load())
		require.EqualValues(t, proto.Size(whole), counted.largest.Load(), "the largest stays")

		ask(func(request *pb.WatchRequest) { request.HoldMs = 0 })
		require.EqualValues(t, 1, counted.nothing.Load())
		ask(func(request *pb.WatchRequest) { request.ViewNumber = 0 })
		require.EqualValues(t, 1, counted.otherNews.Load())
		ask(func(request *pb.WatchRequest) { request.Probe = true })
		require.EqualValues(t, 1, counted.probes.Load())

		node.forgetHistory()
		ask(func(request *pb.WatchRequest) { request.Sequence = 1 })
		require.EqualValues(t, 1, counted.digestsWanted.Load())
		ask(func(request *pb.WatchRequest) {
			request.Sequence = 1
			request.Digests = catalog.Empty().Digests()
			request.Digests.Sequence = 1
		})
		require.EqualValues(t, 2, counted.repairs.Load())
	})
}

func TestCallsWithoutAnAnswerAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		link := newLink(p.node, p.soft, "control-1", p.ending)
		ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer leave()
		require.Error(t, watchWith(ctx, link, current(p)).err)
		require.EqualValues(t, 1, link.answers.callerLeft.Load())

		require.Error(t, watchWith(t.Context(), link, &pb.WatchRequest{}).err)
		require.EqualValues(t, 1, link.answers.refused.Load())
		close(p.ending)
		require.Error(t, watchWith(t.Context(), link, current(p)).err)
		require.EqualValues(t, 2, link.answers.refused.Load())
		require.Zero(t, link.answers.nothing.Load())
	})
}
