package control

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// reportInterval is the time between two log lines of counters.
const reportInterval = 30 * time.Second

// counters count since the start of the process. They are written to the log, and safe for concurrent use.
type counters struct {
	sent        atomic.Uint64 // messages that were delivered
	received    atomic.Uint64 // messages
	dropped     atomic.Uint64 // messages that were not sent: too many waited, or one waited for too long
	failedCalls atomic.Uint64 // deliveries, each of several messages

	writes       atomic.Uint64 // to the ring, each of several records
	failedWrites atomic.Uint64

	calls     atomic.Uint64 // of applications, submitted here
	orders    atomic.Uint64 // submitted here
	committed atomic.Uint64 // newer committed states
	views     atomic.Uint64 // later views
}

func (c *counters) log(logger *zap.Logger, status Status) {
	logger.Info("counters",
		zap.Uint64("view", status.View.GetNumber()),
		zap.Uint64("sequence", status.Committed.Sequence()),
		zap.Bool("authoritative", status.Authoritative),
		zap.Uint64("sent", c.sent.Load()),
		zap.Uint64("received", c.received.Load()),
		zap.Uint64("dropped", c.dropped.Load()),
		zap.Uint64("failed_calls", c.failedCalls.Load()),
		zap.Uint64("writes", c.writes.Load()),
		zap.Uint64("failed_writes", c.failedWrites.Load()),
		zap.Uint64("calls", c.calls.Load()),
		zap.Uint64("orders", c.orders.Load()),
		zap.Uint64("committed", c.committed.Load()),
		zap.Uint64("views", c.views.Load()),
	)
}
