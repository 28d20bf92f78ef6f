package controlserver

import (
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// answerCounters count the agents' calls by what came of them. They are safe for concurrent use.
type answerCounters struct {
	changes       atomic.Uint64 // answers with changes
	repairs       atomic.Uint64 // answers with a repair
	digestsWanted atomic.Uint64 // answers that ask for digests
	otherNews     atomic.Uint64 // answers with a view, a list of servers or members only
	nothing       atomic.Uint64 // answers without news
	probes        atomic.Uint64 // answers to probes
	refused       atomic.Uint64 // calls
	callerLeft    atomic.Uint64 // calls whose caller was gone before the answer was made
	largest       atomic.Int64  // bytes of the largest answer with changes or a repair
}

// count counts an answer, with its size if it carries some of the control state.
func (c *answerCounters) count(asked *pb.WatchRequest, answer *pb.WatchResponse) {
	switch {
	case asked.GetProbe():
		c.probes.Add(1)
	case answer.GetRepair() != nil || answer.GetPacked().GetRepairs():
		c.repairs.Add(1)
		c.noteSize(answer)
	case len(answer.GetChanges()) > 0 || answer.GetPacked() != nil:
		c.changes.Add(1)
		c.noteSize(answer)
	case answer.GetNeedDigests():
		c.digestsWanted.Add(1)
	case answer.GetView() != nil || answer.GetMembers() != nil || len(answer.GetList().GetServers()) > 0:
		c.otherNews.Add(1)
	default:
		c.nothing.Add(1)
	}
}

func (c *answerCounters) noteSize(answer *pb.WatchResponse) {
	size := int64(proto.Size(answer))
	for {
		largest := c.largest.Load()
		if size <= largest || c.largest.CompareAndSwap(largest, size) {
			return
		}
	}
}

// fields are the counters for a line of the log.
func (c *answerCounters) fields() []zap.Field {
	return []zap.Field{
		zap.Uint64("watches_changes", c.changes.Load()),
		zap.Uint64("watches_repair", c.repairs.Load()),
		zap.Uint64("watches_digests_wanted", c.digestsWanted.Load()),
		zap.Uint64("watches_other_news", c.otherNews.Load()),
		zap.Uint64("watches_nothing", c.nothing.Load()),
		zap.Uint64("watches_probes", c.probes.Load()),
		zap.Uint64("watches_refused", c.refused.Load()),
		zap.Uint64("watches_caller_left", c.callerLeft.Load()),
		zap.Int64("largest_answer", c.largest.Load()),
	}
}
