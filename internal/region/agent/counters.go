package agent

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// countersInterval is the time between two counters log lines.
const countersInterval = 60 * time.Second

// counters holds the activity counters of the agent since its start.
type counters struct {
	watches          uint64 // calls to control machines, of all kinds
	watchFailures    uint64
	staleResponses   uint64 // responses of control machines whose state is older than the replica
	notices          uint64
	probes           uint64
	exchanges        uint64 // calls to the proxy
	applies          uint64 // exchanges that sent the proxy an update
	proxyFailures    uint64
	shuffles         uint64
	pushes           uint64
	compares         uint64
	peerFailures     uint64
	pushesReceived   uint64
	comparesReceived uint64
	shufflesReceived uint64
	droppedActions   uint64 // calls to other agents beyond maxPeerCalls

	watchFailureKinds failureCounts
	proxyFailureKinds failureCounts
	peerFailureKinds  failureCounts
	longestWatch      time.Duration // longest successful call to a control machine, including its wait
	largestResponse   int           // in bytes, of the responses to watches with changes or a repair

	lastLoggedAt time.Duration
}

// countResponse records the size of a response of a control machine and the duration of the call.
func (c *counters) countResponse(duration time.Duration, response *pb.WatchResponse) {
	c.longestWatch = max(c.longestWatch, duration)
	if compressed := response.GetCompressed(); compressed != nil {
		c.largestResponse = max(c.largestResponse, proto.Size(compressed)) // the decompressed update was not transferred
		return
	}
	if len(response.GetChanges()) > 0 || response.GetRepair() != nil {
		c.largestResponse = max(c.largestResponse, proto.Size(response))
	}
}

// due reports whether the counters log line is due. If it is, due begins the next interval.
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
		zap.Uint64("stale_responses", c.staleResponses),
		zap.Uint64("notices", c.notices),
		zap.Uint64("probes", c.probes),
		zap.Uint64("proxy_exchanges", c.exchanges),
		zap.Uint64("proxy_applies", c.applies),
		zap.Uint64("proxy_failures", c.proxyFailures),
		zap.Uint64("shuffles", c.shuffles),
		zap.Uint64("pushes", c.pushes),
		zap.Uint64("compares", c.compares),
		zap.Uint64("peer_failures", c.peerFailures),
		zap.Uint64("pushes_received", c.pushesReceived),
		zap.Uint64("compares_received", c.comparesReceived),
		zap.Uint64("shuffles_received", c.shufflesReceived),
		zap.Uint64("dropped_calls", c.droppedActions),
		zap.Duration("longest_watch", c.longestWatch),
		zap.Int("largest_response_bytes", c.largestResponse),
	}
	fields = append(fields, c.watchFailureKinds.fields("watch")...)
	fields = append(fields, c.proxyFailureKinds.fields("proxy")...)
	return append(fields, c.peerFailureKinds.fields("peer")...)
}
