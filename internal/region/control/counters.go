package control

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// reportInterval is the time between two log lines of counters.
const reportInterval = 30 * time.Second

// counters count events since the start of the process, for the log. They are safe for concurrent use.
type counters struct {
	sent        atomic.Uint64 // messages that were delivered
	received    atomic.Uint64 // messages that arrived
	dropped     atomic.Uint64 // messages not sent because the queue was full or because they waited for longer than maxQueueDelay
	failedCalls atomic.Uint64 // failed deliveries, each of one or more messages

	writes       atomic.Uint64 // writes to the ring, each of one or more records
	failedWrites atomic.Uint64

	calls     atomic.Uint64 // calls of applications that were submitted here
	orders    atomic.Uint64 // orders that were submitted here
	committed atomic.Uint64 // advances of the committed state
	views     atomic.Uint64 // view changes
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
