package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/proxy/upstream"
)

// counters are what the proxy has done since its start.
type counters struct {
	active               atomic.Int64 // requests in progress
	connections          atomic.Int64 // of clients, open
	requests             atomic.Uint64
	delivered            atomic.Uint64 // answers of servers passed on whole
	startupWaits         atomic.Uint64 // requests that came before the proxy could serve
	unavailable          atomic.Uint64 // own 503
	failed               atomic.Uint64 // own 502 and 504
	clientErrors         atomic.Uint64 // own 4xx
	broken               atomic.Uint64 // answers that ended early
	clientsGone          atomic.Uint64
	attempts             atomic.Uint64 // sent to a server
	retries              atomic.Uint64 // among them, beyond the first of a request
	resumed              atomic.Uint64 // streams taken up at another server
	retryBudgetExhausted atomic.Uint64 // repeats that the common budget did not allow
	notExecuted          atomic.Uint64 // attempts that a server did not run
	possiblyExecuted     atomic.Uint64 // attempts whose fate is not known
	unsent               atomic.Uint64 // attempts that failed before anything was sent
	overloaded           atomic.Uint64 // requests not admitted
	noServer             atomic.Uint64 // requests for which there was no server
	withdrawn            atomic.Uint64 // attempts given up because the state changed just before sending
	staleUpdates         atomic.Uint64 // states and changes from the agent that were no newer than what was held
	gaps                 atomic.Uint64 // exchanges with the agent whose changes did not follow on what was held
	fullStates           atomic.Uint64 // whole states that were taken in
	itemsRejected        atomic.Uint64 // items of the configuration of which nothing could be used
	itemsPartial         atomic.Uint64 // items of the configuration of which some members could not be used
	applies              atomic.Uint64 // exchanges with the agent that brought something
	applyLast            atomic.Int64  // nanoseconds that the last of them took
	applyMax             atomic.Int64  // nanoseconds that the longest of them took

	// Violations of what must never happen.
	regressions atomic.Uint64 // snapshots that were older than the one before
	staleReads  atomic.Uint64 // requests that used an older snapshot than a request before them
}

// violations is the number of violations of all kinds.
func (c *counters) violations() uint64 { return c.regressions.Load() + c.staleReads.Load() }

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

// countUpdate counts what an exchange with the agent brought.
func (c *counters) countUpdate(applied update) {
	c.staleUpdates.Add(uint64(applied.stale))
	c.fullStates.Add(uint64(applied.fullStates))
	c.itemsRejected.Add(uint64(len(applied.rejected)))
	c.itemsPartial.Add(uint64(len(applied.partial)))
	if applied.gap {
		c.gaps.Add(1)
	}
}

// countApply counts the time that an exchange with the agent took. Only one runs at a time.
func (c *counters) countApply(took time.Duration) {
	c.applies.Add(1)
	c.applyLast.Store(int64(took))
	c.applyMax.Store(max(c.applyMax.Load(), int64(took)))
}

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

// fields are the counters for a line of the log.
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

// placementFields are the counts of the placement for a line of the log.
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
