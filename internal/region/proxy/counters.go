package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/proxy/upstream"
)

// counters are the proxy's counters since its start. They are safe for concurrent use. docs/region/proxy.md describes
// them for operators.
type counters struct {
	active               atomic.Int64 // requests in flight
	connections          atomic.Int64 // open connections of clients
	requests             atomic.Uint64
	delivered            atomic.Uint64 // server responses forwarded completely
	startupWaits         atomic.Uint64 // requests that arrived before the proxy had a configuration and servers
	unavailable          atomic.Uint64 // responses of the proxy itself with 503 or 429
	gatewayErrors        atomic.Uint64 // other responses of the proxy itself with 5xx: 502 and 504
	clientErrors         atomic.Uint64 // responses of the proxy itself with 4xx other than 429
	brokenResponses      atomic.Uint64 // responses that ended early after their headers were sent to the client
	clientCancellations  atomic.Uint64 // requests whose client disconnected
	attempts             atomic.Uint64 // attempts sent to a server
	retries              atomic.Uint64 // attempts sent after the first one of a request
	streamsResumed       atomic.Uint64 // attempts sent to resume a stream
	retryBudgetExhausted atomic.Uint64 // retries that the retry budget did not allow
	notExecuted          atomic.Uint64 // attempts that a server rejected without running them
	possiblyExecuted     atomic.Uint64 // attempts for which it is unknown whether they were run
	unsent               atomic.Uint64 // attempts that failed before anything was sent
	notAdmitted          atomic.Uint64 // requests that no server could answer in the time that the client had left
	noServer             atomic.Uint64 // requests for which no server was available
	withdrawn            atomic.Uint64 // attempts abandoned just before sending: out of time, or server no longer allowed
	staleUpdates         atomic.Uint64 // full states and changes that were not newer than the snapshot
	updateGaps           atomic.Uint64 // calls of the agent with changes that did not directly follow the snapshot
	fullStates           atomic.Uint64 // full states that were applied
	itemsRejected        atomic.Uint64 // items of the configuration that were rejected as a whole
	itemsPartial         atomic.Uint64 // items of the configuration of which some members could not be applied
	applies              atomic.Uint64 // calls of the agent that were applied
	applyLast            atomic.Int64  // duration of the last applied call, in nanoseconds
	applyMax             atomic.Int64  // duration of the longest applied call, in nanoseconds

	// The following counters count violated invariants; they stay 0 unless the proxy has a fault.
	regressions atomic.Uint64 // snapshots that were older than their predecessor
	staleReads  atomic.Uint64 // requests that used an older snapshot than an earlier request
}

// violations returns the number of detected violations of invariants.
func (c *counters) violations() uint64 { return c.regressions.Load() + c.staleReads.Load() }

// countOwnResponse counts a response of the proxy itself by its status.
func (c *counters) countOwnResponse(status int) {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.unavailable.Add(1)
	case status >= http.StatusInternalServerError:
		c.gatewayErrors.Add(1)
	default:
		c.clientErrors.Add(1)
	}
}

// countUpdate counts the result of an update from the agent.
func (c *counters) countUpdate(applied update) {
	c.staleUpdates.Add(uint64(applied.stale))
	c.fullStates.Add(uint64(applied.fullStates))
	c.itemsRejected.Add(uint64(len(applied.rejected)))
	c.itemsPartial.Add(uint64(len(applied.partial)))
	if applied.gap {
		c.updateGaps.Add(1)
	}
}

// countApply records the duration of an applied call of the agent. It is not called concurrently, since calls are
// applied one at a time.
func (c *counters) countApply(duration time.Duration) {
	c.applies.Add(1)
	c.applyLast.Store(int64(duration))
	c.applyMax.Store(max(c.applyMax.Load(), int64(duration)))
}

// countExecution counts the execution state of an attempt. There is no counter for executed attempts.
func (c *counters) countExecution(state executionState) {
	switch state {
	case unsent:
		c.unsent.Add(1)
	case notExecuted:
		c.notExecuted.Add(1)
	case possiblyExecuted:
		c.possiblyExecuted.Add(1)
	}
}

// fields returns the counters as fields of a log line.
func (c *counters) fields(connections upstream.Stats, slack float64, memory int64) []zap.Field {
	return []zap.Field{
		zap.Int64("active_requests", c.active.Load()),
		zap.Int64("client_connections", c.connections.Load()),
		zap.Uint64("requests", c.requests.Load()),
		zap.Uint64("delivered", c.delivered.Load()),
		zap.Uint64("startup_waits", c.startupWaits.Load()),
		zap.Uint64("unavailable", c.unavailable.Load()),
		zap.Uint64("gateway_errors", c.gatewayErrors.Load()),
		zap.Uint64("client_errors", c.clientErrors.Load()),
		zap.Uint64("broken_responses", c.brokenResponses.Load()),
		zap.Uint64("client_cancellations", c.clientCancellations.Load()),
		zap.Uint64("attempts", c.attempts.Load()),
		zap.Uint64("retries", c.retries.Load()),
		zap.Uint64("streams_resumed", c.streamsResumed.Load()),
		zap.Uint64("retry_budget_exhausted", c.retryBudgetExhausted.Load()),
		zap.Uint64("not_executed", c.notExecuted.Load()),
		zap.Uint64("possibly_executed", c.possiblyExecuted.Load()),
		zap.Uint64("unsent", c.unsent.Load()),
		zap.Uint64("not_admitted", c.notAdmitted.Load()),
		zap.Uint64("no_server", c.noServer.Load()),
		zap.Uint64("attempts_withdrawn", c.withdrawn.Load()),
		zap.Uint64("stale_updates", c.staleUpdates.Load()),
		zap.Uint64("update_gaps", c.updateGaps.Load()),
		zap.Uint64("full_states", c.fullStates.Load()),
		zap.Uint64("items_rejected", c.itemsRejected.Load()),
		zap.Uint64("items_partially_applied", c.itemsPartial.Load()),
		zap.Uint64("applies", c.applies.Load()),
		zap.Duration("apply_last", time.Duration(c.applyLast.Load())),
		zap.Duration("apply_max", time.Duration(c.applyMax.Load())),
		zap.Uint64("violations", c.violations()),
		zap.Uint64("connections_dialed", connections.Dialed),
		zap.Uint64("dials_failed", connections.DialsFailed),
		zap.Uint64("connections_reused", connections.Reused),
		zap.Uint64("connections_stale", connections.Stale),
		zap.Uint64("connections_surplus", connections.Surplus),
		zap.Int("connections_idle", connections.IdleNow),
		zap.Float64("slack", slack),
		zap.Int64("body_bytes", memory),
	}
}

// placementFields returns the placer's counters as fields of a log line.
func placementFields(stats placement.Stats) []zap.Field {
	return []zap.Field{
		zap.Uint64("picks_seeded", stats.Seeded),
		zap.Uint64("picks_drawn", stats.Drawn),
		zap.Uint64("picks_walked", stats.Walked),
		zap.Uint64("picks_warming_up", stats.WarmingUp),
		zap.Uint64("picks_other_region", stats.OtherRegion),
		zap.Uint64("ejections", stats.Ejections),
		zap.Uint64("within_target", stats.InTime),
		zap.Uint64("beyond_target", stats.Late),
		zap.Uint64("announcements_received", stats.AnnouncementsReceived),
		zap.Uint64("failure_reports_received", stats.FailureReports),
	}
}
