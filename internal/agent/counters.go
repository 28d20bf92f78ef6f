package agent

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// countersInterval is the time between two lines of counters.
const countersInterval = 60 * time.Second

// counters count what the agent did since it started.
type counters struct {
	watches          uint64
	watchFailures    uint64
	staleResponses   uint64 // of control machines that held less than this agent
	notices          uint64
	probes           uint64
	exchanges        uint64 // with the proxy
	applies          uint64 // those of them that brought something
	proxyFailures    uint64
	shuffles         uint64
	pushes           uint64
	compares         uint64
	peerFailures     uint64
	pushesReceived   uint64
	comparesReceived uint64
	shufflesReceived uint64
	lastLoggedAt     time.Duration
	droppedActions   uint64

	watchFailureKinds failureCounts
	proxyFailureKinds failureCounts
	peerFailureKinds  failureCounts
	longestWatch      time.Duration // of the calls to control that succeeded, with the time for which they were held
	largestResponse   int           // in bytes, of the answers of control with changes or a repair
}

// countResponse counts an answer of a control machine and how long its call took.
func (c *counters) countResponse(took time.Duration, answer *pb.WatchResponse) {
	c.longestWatch = max(c.longestWatch, took)
	if packed := answer.GetPacked(); packed != nil {
		c.largestResponse = max(c.largestResponse, proto.Size(packed)) // the rest was unpacked from it
		return
	}
	if len(answer.GetChanges()) > 0 || answer.GetRepair() != nil {
		c.largestResponse = max(c.largestResponse, proto.Size(answer))
	}
}

// due tells whether a line is due, and counts the next period from now if so.
func (c *counters) due(now time.Duration) bool {
	if now-c.lastLoggedAt < countersInterval {
		return false
	}
	c.lastLoggedAt = now
	return true
}

func (c *counters) fields() []zap.Field {
	fields := []zap.Field{
		zap.Uint64("watches", c.watches),
		zap.Uint64("watch_failures", c.watchFailures),
		zap.Uint64("older_answers", c.staleResponses),
		zap.Uint64("notices", c.notices),
		zap.Uint64("probes", c.probes),
		zap.Uint64("proxy_exchanges", c.exchanges),
		zap.Uint64("proxy_applies", c.applies),
		zap.Uint64("proxy_failures", c.proxyFailures),
		zap.Uint64("shuffles", c.shuffles),
		zap.Uint64("pushes", c.pushes),
		zap.Uint64("compares", c.compares),
		zap.Uint64("peer_failures", c.peerFailures),
		zap.Uint64("pushes_taken", c.pushesReceived),
		zap.Uint64("compares_taken", c.comparesReceived),
		zap.Uint64("shuffles_taken", c.shufflesReceived),
		zap.Uint64("dropped_calls", c.droppedActions),
		zap.Duration("longest_watch", c.longestWatch),
		zap.Int("largest_answer", c.largestResponse),
	}
	fields = append(fields, c.watchFailureKinds.fields("watch")...)
	fields = append(fields, c.proxyFailureKinds.fields("proxy")...)
	return append(fields, c.peerFailureKinds.fields("peer")...)
}
