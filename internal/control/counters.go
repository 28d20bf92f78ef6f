package control

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// reportInterval is the time between two lines of counters.
const reportInterval = 30 * time.Second

// counters count since the start.
type counters struct {
	sent, received, dropped atomic.Uint64 // messages
	failedCalls             atomic.Uint64
	writes, failedWrites    atomic.Uint64
	orders, committed       atomic.Uint64
	views                   atomic.Uint64
}

func (c *counters) log(logger *zap.Logger, status Status) {
	logger.Info("counters",
		zap.Uint64("view", status.View.GetNumber()),
		zap.Uint64("sequence", sequenceOf(status.Committed)),
		zap.Bool("authoritative", status.Authoritative),
		zap.Uint64("sent", c.sent.Load()),
		zap.Uint64("received", c.received.Load()),
		zap.Uint64("dropped", c.dropped.Load()),
		zap.Uint64("failed_calls", c.failedCalls.Load()),
		zap.Uint64("writes", c.writes.Load()),
		zap.Uint64("failed_writes", c.failedWrites.Load()),
		zap.Uint64("orders", c.orders.Load()),
		zap.Uint64("committed", c.committed.Load()),
		zap.Uint64("views", c.views.Load()),
	)
}
