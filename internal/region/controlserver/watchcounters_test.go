package controlserver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

func TestAnswersToAgentsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		replace(t, node, 7, 9)
		link := newLinkService(p.node, p.soft, "control-1", p.shuttingDown)
		ask := func(alter func(*pb.WatchRequest)) *pb.WatchResponse {
			request := current(p)
			alter(request)
			return watchWith(context.Background(), link, request).response
		}
		counted := link.counters

		whole := ask(func(request *pb.WatchRequest) { request.Sequence = 0 })
		require.EqualValues(t, 1, counted.repairs.Load())
		require.EqualValues(t, proto.Size(whole), counted.largestBytes.Load())
		part := ask(func(request *pb.WatchRequest) { request.Sequence = 1 })
		require.Less(t, proto.Size(part), proto.Size(whole))
		require.EqualValues(t, 1, counted.changes.Load())
		require.EqualValues(t, proto.Size(whole), counted.largestBytes.Load(), "a smaller response must not change the largest size")

		ask(func(request *pb.WatchRequest) { request.HoldMs = 0 })
		require.EqualValues(t, 1, counted.unchanged.Load())
		ask(func(request *pb.WatchRequest) { request.ViewNumber = 0 })
		require.EqualValues(t, 1, counted.otherUpdates.Load())
		ask(func(request *pb.WatchRequest) { request.Probe = true })
		require.EqualValues(t, 1, counted.probes.Load())

		node.clearHistory()
		ask(func(request *pb.WatchRequest) { request.Sequence = 1 })
		require.EqualValues(t, 1, counted.digestsRequested.Load())
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
		link := newLinkService(p.node, p.soft, "control-1", p.shuttingDown)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, watchWith(ctx, link, current(p)).err)
		require.EqualValues(t, 1, link.counters.canceled.Load())

		require.Error(t, watchWith(t.Context(), link, &pb.WatchRequest{}).err)
		require.EqualValues(t, 1, link.counters.rejected.Load())
		close(p.shuttingDown)
		require.Error(t, watchWith(t.Context(), link, current(p)).err)
		require.EqualValues(t, 2, link.counters.rejected.Load())
		require.Zero(t, link.counters.unchanged.Load())
	})
}
