package controlserver

import (
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// watchCounters count the agents' long polls since the start, by outcome. They are safe for concurrent use.
type watchCounters struct {
	changes          atomic.Uint64 // responses with changes
	repairs          atomic.Uint64 // responses with a repair
	digestsRequested atomic.Uint64 // responses that request digests
	otherUpdates     atomic.Uint64 // responses with a view, a server list or members only
	unchanged        atomic.Uint64 // responses without an update
	probes           atomic.Uint64 // responses to probes
	rejected         atomic.Uint64 // calls rejected with an error
	canceled         atomic.Uint64 // calls that were canceled by the caller before there was a response
	largestBytes     atomic.Int64  // size of the largest response with changes or a repair
}

// count counts a response by its content, and observes its size if it carries control state.
func (c *watchCounters) count(watch *pb.WatchRequest, response *pb.WatchResponse) {
	switch {
	case watch.GetProbe():
		c.probes.Add(1)
	case response.GetRepair() != nil || response.GetCompressed().GetRepairs():
		c.repairs.Add(1)
		c.observeSize(response)
	case len(response.GetChanges()) > 0 || response.GetCompressed() != nil:
		c.changes.Add(1)
		c.observeSize(response)
	case response.GetNeedDigests():
		c.digestsRequested.Add(1)
	case response.GetView() != nil || response.GetMembers() != nil || len(response.GetList().GetServers()) > 0:
		c.otherUpdates.Add(1)
	default:
		c.unchanged.Add(1)
	}
}

func (c *watchCounters) observeSize(response *pb.WatchResponse) {
	size := int64(proto.Size(response))
	for {
		largest := c.largestBytes.Load()
		if size <= largest || c.largestBytes.CompareAndSwap(largest, size) {
			return
		}
	}
}

// fields returns the counters as fields of a log line.
func (c *watchCounters) fields() []zap.Field {
	return []zap.Field{
		zap.Uint64("watches_changes", c.changes.Load()),
		zap.Uint64("watches_repairs", c.repairs.Load()),
		zap.Uint64("watches_digests_requested", c.digestsRequested.Load()),
		zap.Uint64("watches_other_updates", c.otherUpdates.Load()),
		zap.Uint64("watches_unchanged", c.unchanged.Load()),
		zap.Uint64("watches_probes", c.probes.Load()),
		zap.Uint64("watches_rejected", c.rejected.Load()),
		zap.Uint64("watches_canceled", c.canceled.Load()),
		zap.Int64("largest_response_bytes", c.largestBytes.Load()),
	}
}
