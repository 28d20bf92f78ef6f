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
	active      atomic.Int64 // requests in progress
	connections atomic.Int64 // of clients, open
	requests    atomic.Uint64
	delivered   atomic.Uint64 // answers of servers passed on whole
	held        atomic.Uint64 // requests that came before the proxy could serve
	refused     atomic.Uint64 // own 503
	failed      atomic.Uint64 // own 502 and 504
	denied      atomic.Uint64 // own 4xx
	broken      atomic.Uint64 // answers that ended early
	clientsGone atomic.Uint64
	attempts    atomic.Uint64 // sent to a server
	repeats     atomic.Uint64 // among them, beyond the first of a request
	resumed     atomic.Uint64 // streams taken up at another server
	noBudget    atomic.Uint64 // repeats that the common budget did not allow
	promised    atomic.Uint64 // attempts that a server did not run
	unknown     atomic.Uint64 // attempts whose fate is not known
	unsent      atomic.Uint64 // attempts that failed before anything was sent
	overloaded  atomic.Uint64 // requests not admitted
	unplaced    atomic.Uint64 // requests for which there was no server
	lateChanges atomic.Uint64 // attempts given up because the state changed just before sending
	olderStates atomic.Uint64 // states and changes from the agent that were no newer than what was held
	gaps        atomic.Uint64 // exchanges with the agent whose changes did not follow on what was held
	repairs     atomic.Uint64 // whole states that were taken in
	leftOut     atomic.Uint64 // items of the configuration of which nothing could be used
	inPart      atomic.Uint64 // items of the configuration of which some members could not be used
	applies     atomic.Uint64 // exchanges with the agent that brought something
	applyLast   atomic.Int64  // nanoseconds that the last of them took
	applyMax    atomic.Int64  // nanoseconds that the longest of them took

	// Violations of what must never happen.
	fellBack  atomic.Uint64 // snapshots that were older than the one before
	olderUsed atomic.Uint64 // requests that used an older snapshot than a request before them
}

// violations is the number of violations of all kinds.
func (c *counters) violations() uint64 { return c.fellBack.Load() + c.olderUsed.Load() }

func (c *counters) countOwn(status int) {
	switch {
	case status == 503 || status == 429:
		c.refused.Add(1)
	case status >= 500:
		c.failed.Add(1)
	default:
		c.denied.Add(1)
	}
}

// countFed counts what an exchange with the agent brought.
func (c *counters) countFed(done update) {
	c.olderStates.Add(uint64(done.older))
	c.repairs.Add(uint64(done.repairs))
	c.leftOut.Add(uint64(len(done.leftOut)))
	c.inPart.Add(uint64(len(done.inPart)))
	if done.gap {
		c.gaps.Add(1)
	}
}

// countApply counts the time that an exchange with the agent took. Only one runs at a time.
func (c *counters) countApply(took time.Duration) {
	c.applies.Add(1)
	c.applyLast.Store(int64(took))
	c.applyMax.Store(max(c.applyMax.Load(), int64(took)))
}

func (c *counters) countFate(f fate) {
	switch f {
	case fateNotSent:
		c.unsent.Add(1)
	case fatePromised:
		c.promised.Add(1)
	case fateUnknown:
		c.unknown.Add(1)
	}
}

// fields are the counters for a line of the log.
func (c *counters) fields(connections upstream.Stats, slack float64, memory int64) []zap.Field {
	return []zap.Field{
		zap.Int64("active", c.active.Load()),
		zap.Int64("connections", c.connections.Load()),
		zap.Uint64("requests", c.requests.Load()),
		zap.Uint64("delivered", c.delivered.Load()),
		zap.Uint64("held", c.held.Load()),
		zap.Uint64("refused", c.refused.Load()),
		zap.Uint64("failed", c.failed.Load()),
		zap.Uint64("denied", c.denied.Load()),
		zap.Uint64("broken", c.broken.Load()),
		zap.Uint64("clients-gone", c.clientsGone.Load()),
		zap.Uint64("attempts", c.attempts.Load()),
		zap.Uint64("repeats", c.repeats.Load()),
		zap.Uint64("resumed", c.resumed.Load()),
		zap.Uint64("no-budget", c.noBudget.Load()),
		zap.Uint64("promised", c.promised.Load()),
		zap.Uint64("unknown", c.unknown.Load()),
		zap.Uint64("unsent", c.unsent.Load()),
		zap.Uint64("overloaded", c.overloaded.Load()),
		zap.Uint64("unplaced", c.unplaced.Load()),
		zap.Uint64("late-changes", c.lateChanges.Load()),
		zap.Uint64("older-states", c.olderStates.Load()),
		zap.Uint64("gaps", c.gaps.Load()),
		zap.Uint64("repairs", c.repairs.Load()),
		zap.Uint64("items-left-out", c.leftOut.Load()),
		zap.Uint64("items-in-part", c.inPart.Load()),
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
