package controlserver

import (
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// watchCounters count the agents' calls by what came of them. They are safe for concurrent use.
type watchCounters struct {
	changes          atomic.Uint64 // answers with changes
	repairs          atomic.Uint64 // answers with a repair
	digestsRequested atomic.Uint64 // answers that ask for digests
	otherUpdates     atomic.Uint64 // answers with a view, a list of servers or members only
	unchanged        atomic.Uint64 // answers without news
	probes           atomic.Uint64 // answers to probes
	rejected         atomic.Uint64 // calls
	canceled         atomic.Uint64 // calls whose caller was gone before the answer was made
	largestBytes     atomic.Int64  // bytes of the largest answer with changes or a repair
}

// count counts an answer, with its size if it carries some of the control state.
func (c *watchCounters) count(asked *pb.WatchRequest, answer *pb.WatchResponse) {
	switch {
	case asked.GetProbe():
		c.probes.Add(1)
	case answer.GetRepair() != nil || answer.GetPacked().GetRepairs():
		c.repairs.Add(1)
		c.observeSize(answer)
	case len(answer.GetChanges()) > 0 || answer.GetPacked() != nil:
		c.changes.Add(1)
		c.observeSize(answer)
	case answer.GetNeedDigests():
		c.digestsRequested.Add(1)
	case answer.GetView() != nil || answer.GetMembers() != nil || len(answer.GetList().GetServers()) > 0:
		c.otherUpdates.Add(1)
	default:
		c.unchanged.Add(1)
	}
}

func (c *watchCounters) observeSize(answer *pb.WatchResponse) {
	size := int64(proto.Size(answer))
	for {
		largest := c.largestBytes.Load()
		if size <= largest || c.largestBytes.CompareAndSwap(largest, size) {
			return
		}
	}
}

// fields are the counters for a line of the log.
func (c *watchCounters) fields() []zap.Field {
	return []zap.Field{
		zap.Uint64("watches_changes", c.changes.Load()),
		zap.Uint64("watches_repair", c.repairs.Load()),
		zap.Uint64("watches_digests_wanted", c.digestsRequested.Load()),
		zap.Uint64("watches_other_news", c.otherUpdates.Load()),
		zap.Uint64("watches_nothing", c.unchanged.Load()),
		zap.Uint64("watches_probes", c.probes.Load()),
		zap.Uint64("watches_refused", c.rejected.Load()),
		zap.Uint64("watches_caller_left", c.canceled.Load()),
		zap.Int64("largest_answer", c.largestBytes.Load()),
	}
}
