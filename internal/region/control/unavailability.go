package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
)

// UnavailableCause says why an order was answered 503; empty: it was not.
type UnavailableCause string

// Why an order was answered 503.
const (
	// CauseNoMajority: no majority of the voters is live, as far as this machine knows.
	CauseNoMajority UnavailableCause = "no majority"
	// CauseStalled: this process did not run for a while.
	CauseStalled UnavailableCause = "stalled"
	// CauseFull: too many orders are pending here.
	CauseFull UnavailableCause = "full"
	// CauseTimeout: the head, or the tail for a read, has not answered in time, or the caller has gone.
	CauseTimeout UnavailableCause = "timeout"
	// CauseRejected: the head, or the tail for a read, cannot tell.
	CauseRejected UnavailableCause = "rejected"
	// CauseLoop: the Machine has not taken the order in time.
	CauseLoop UnavailableCause = "loop"
)

// readMonitor logs when reads of the configuration cease to be answered here, and when they are again. It is safe for
// concurrent use.
type readMonitor struct {
	logger *zap.Logger

	mu           sync.Mutex
	failingSince time.Time // zero: the last read was answered
	failures     int       // since then
}

// observe records the outcome of an order if it is a read.
func (m *readMonitor) observe(order *pb.Order, cause UnavailableCause) {
	if order.GetKind() != pb.Order_KIND_READ {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if cause != "" {
		m.recordFailure(cause)
		return
	}
	if m.failures > 0 {
		m.logger.Info("reads available", zap.Int("failures", m.failures), zap.Duration("duration", time.Since(m.failingSince)))
	}
	m.failures = 0
}

// recordFailure logs the first failure of several in a row. The lock is held.
func (m *readMonitor) recordFailure(cause UnavailableCause) {
	if m.failures == 0 {
		m.failingSince = time.Now()
		m.logger.Warn("reads unavailable", zap.String("cause", string(cause)))
	}
	m.failures++
}
