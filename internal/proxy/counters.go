package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/proxy/upstream"
)

// counters count what the proxy has done since its start. They are safe for concurrent use. docs/region-proxy.md
// describes them for operators.
type counters struct {
	active               atomic.Int64 // requests in flight
	connections          atomic.Int64 // open connections of clients
	requests             atomic.Uint64
	delivered            atomic.Uint64 // responses of servers forwarded to their end
	startupWaits         atomic.Uint64 // requests that came before the proxy could serve
	unavailable          atomic.Uint64 // the proxy's own 503
	failed               atomic.Uint64 // the proxy's own 502 and 504
	clientErrors         atomic.Uint64 // the proxy's own 4xx
	broken               atomic.Uint64 // responses that broke off
	clientsGone          atomic.Uint64
	attempts             atomic.Uint64 // sent to a server
	retries              atomic.Uint64 // among them, after the first of a request
	resumed              atomic.Uint64 // streams resumed at another server
	retryBudgetExhausted atomic.Uint64 // retries that the retry budget did not allow
	notExecuted          atomic.Uint64 // attempts that a server rejected without running them
	possiblyExecuted     atomic.Uint64 // attempts of which is not known whether they were run
	unsent               atomic.Uint64 // attempts that failed before anything was sent
	overloaded           atomic.Uint64 // requests not admitted
	noServer             atomic.Uint64 // requests for which there was no server
	withdrawn            atomic.Uint64 // attempts given up since the state changed just before sending
	staleUpdates         atomic.Uint64 // states and changes of the agent that were not newer than the snapshot
	gaps                 atomic.Uint64 // calls of the agent whose changes did not follow on the snapshot
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
	case status == 503 || status == 429:
		c.unavailable.Add(1)
	case status >= 500:
		c.failed.Add(1)
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
		c.gaps.Add(1)
	}
}

// countApply counts the duration of a call of the agent. Calls are applied one at a time.
func (c *counters) countApply(took time.Duration) {
	c.applies.Add(1)
	c.applyLast.Store(int64(took))
	c.applyMax.Store(max(c.applyMax.Load(), int64(took)))
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
		zap.Int64("active", c.active.Load()),
		zap.Int64("connections", c.connections.Load()),
		zap.Uint64("requests", c.requests.Load()),
		zap.Uint64("delivered", c.delivered.Load()),
		zap.Uint64("held", c.startupWaits.Load()),
		zap.Uint64("refused", c.unavailable.Load()),
		zap.Uint64("failed", c.failed.Load()),
		zap.Uint64("denied", c.clientErrors.Load()),
		zap.Uint64("broken", c.broken.Load()),
		zap.Uint64("clients-gone", c.clientsGone.Load()),
		zap.Uint64("attempts", c.attempts.Load()),
		zap.Uint64("repeats", c.retries.Load()),
		zap.Uint64("resumed", c.resumed.Load()),
		zap.Uint64("no-budget", c.retryBudgetExhausted.Load()),
		zap.Uint64("promised", c.notExecuted.Load()),
		zap.Uint64("unknown", c.possiblyExecuted.Load()),
		zap.Uint64("unsent", c.unsent.Load()),
		zap.Uint64("overloaded", c.overloaded.Load()),
		zap.Uint64("unplaced", c.noServer.Load()),
		zap.Uint64("late-changes", c.withdrawn.Load()),
		zap.Uint64("older-states", c.staleUpdates.Load()),
		zap.Uint64("gaps", c.gaps.Load()),
		zap.Uint64("repairs", c.fullStates.Load()),
		zap.Uint64("items-left-out", c.itemsRejected.Load()),
		zap.Uint64("items-in-part", c.itemsPartial.Load()),
		zap.Uint64("applies", c.applies.Load()),
		zap.Duration("apply-last", time.Duration(c.applyLast.Load())),
		zap.Duration("apply-max", time.Duration(c.applyMax.Load())),
		zap.Uint64("violations", c.violations()),
		zap.Uint64("dialled", connections.Dialed),
		zap.Uint64("dials-failed", connections.DialsFailed),
		zap.Uint64("reused", connections.Reused),
		zap.Uint64("stale", connections.Stale),
		zap.Uint64("surplus", connections.Surplus),
		zap.Int("idle", connections.IdleNow),
		zap.Float64("slack", slack),
		zap.Int64("body-bytes", memory),
	}
}

// placementFields returns the placer's counters as fields of a log line.
func placementFields(stats placement.Stats) []zap.Field {
	return []zap.Field{
		zap.Uint64("picks-seeded", stats.Seeded),
		zap.Uint64("picks-drawn", stats.Drawn),
		zap.Uint64("picks-walked", stats.Walked),
		zap.Uint64("picks-cold", stats.Cold),
		zap.Uint64("picks-other-region", stats.OtherRegion),
		zap.Uint64("ejections", stats.Ejections),
		zap.Uint64("in-time", stats.InTime),
		zap.Uint64("late", stats.Late),
		zap.Uint64("announcements-heard", stats.Announced),
		zap.Uint64("failures-reported", stats.Reported),
	}
}
