package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/proxy/upstream"
)

// counters count what the proxy has done since its start. They are safe for concurrent use. docs/region/proxy.md
// describes them for operators.
type counters struct {
	active               atomic.Int64 // requests in flight
	connections          atomic.Int64 // open connections of clients
	requests             atomic.Uint64
	delivered            atomic.Uint64 // responses of servers forwarded to their end
	startupWaits         atomic.Uint64 // requests that came before the proxy could serve
	unavailable          atomic.Uint64 // the proxy's own 503
	gatewayErrors        atomic.Uint64 // the proxy's own 502 and 504
	clientErrors         atomic.Uint64 // the proxy's own 4xx
	brokenResponses      atomic.Uint64 // responses that broke off
	clientCancellations  atomic.Uint64
	attempts             atomic.Uint64 // sent to a server
	retries              atomic.Uint64 // among them, after the first of a request
	streamsResumed       atomic.Uint64 // streams resumed at another server
	retryBudgetExhausted atomic.Uint64 // retries that the retry budget did not allow
	notExecuted          atomic.Uint64 // attempts that a server rejected without running them
	possiblyExecuted     atomic.Uint64 // attempts of which is not known whether they were run
	unsent               atomic.Uint64 // attempts that failed before anything was sent
	notAdmitted          atomic.Uint64 // requests not admitted
	noServer             atomic.Uint64 // requests for which there was no server
	withdrawn            atomic.Uint64 // attempts given up since the state changed just before sending
	staleUpdates         atomic.Uint64 // states and changes of the agent that were not newer than the snapshot
	updateGaps           atomic.Uint64 // calls of the agent whose changes did not follow on the snapshot
	fullStates           atomic.Uint64 // full states that were applied
	itemsRejected        atomic.Uint64 // items of the configuration of which nothing could be applied
	itemsPartial         atomic.Uint64 // items of the configuration of which some members could not be applied
	applies              atomic.Uint64 // calls of the agent that were applied
	applyLast            atomic.Int64  // nanoseconds that the last of them took
	applyMax             atomic.Int64  // nanoseconds that the longest of them took

	// Violated invariants.
	regressions atomic.Uint64 // snapshots that were older than the one before
	staleReads  atomic.Uint64 // requests that used an older snapshot than a request before them
}

// violations is the number of violated invariants.
func (c *counters) violations() uint64 { return c.regressions.Load() + c.staleReads.Load() }

// countOwnResponse counts a response of the proxy itself.
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

// countUpdate counts the result of a call of the agent.
func (c *counters) countUpdate(applied update) {
	c.staleUpdates.Add(uint64(applied.stale))
	c.fullStates.Add(uint64(applied.fullStates))
	c.itemsRejected.Add(uint64(len(applied.rejected)))
	c.itemsPartial.Add(uint64(len(applied.partial)))
	if applied.gap {
		c.updateGaps.Add(1)
	}
}

// countApply counts the duration of a call of the agent. Calls are applied one at a time.
func (c *counters) countApply(duration time.Duration) {
	c.applies.Add(1)
	c.applyLast.Store(int64(duration))
	c.applyMax.Store(max(c.applyMax.Load(), int64(duration)))
}

// countExecution counts the result of an attempt; executed ones are not counted by themselves.
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
