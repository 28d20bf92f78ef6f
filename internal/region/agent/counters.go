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
	watchFailures    uint64 // failed calls to control machines
	staleResponses   uint64 // responses of control machines whose state is older than the replica
	notices          uint64 // notices to control machines
	probes           uint64 // probes of control machines
	exchanges        uint64 // calls to the proxy
	applies          uint64 // exchanges that sent the proxy an update
	proxyFailures    uint64 // failed calls to the proxy
	shuffles         uint64 // Shuffle calls to other agents
	pushes           uint64 // Push calls to other agents
	compares         uint64 // Compare calls to other agents
	peerFailures     uint64 // failed calls to other agents
	pushesReceived   uint64 // Push calls of other agents
	comparesReceived uint64 // Compare calls of other agents
	shufflesReceived uint64 // Shuffle calls of other agents
	droppedActions   uint64 // calls to other agents that were dropped because maxPeerCalls were in flight

	watchFailureKinds failureCounts
	proxyFailureKinds failureCounts
	peerFailureKinds  failureCounts
	longestWatch      time.Duration // longest successful call to a control machine, including its wait
	largestResponse   int           // size in bytes of the largest response to a watch with changes or a repair

	lastLoggedAt time.Duration
}

// countResponse records the size of a response of a control machine and the duration of the call.
func (c *counters) countResponse(duration time.Duration, response *pb.WatchResponse) {
	c.longestWatch = max(c.longestWatch, duration)
	if compressed := response.GetCompressed(); compressed != nil {
		c.largestResponse = max(c.largestResponse, proto.Size(compressed)) // size on the wire
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
