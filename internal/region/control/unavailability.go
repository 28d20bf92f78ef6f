package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
)

// UnavailableCause is the reason why an order was answered 503; empty: the order was answered with another status.
type UnavailableCause string

// Reasons for an answer with status 503.
const (
	// CauseNoMajority: no majority of the voters is live, as far as this machine knows.
	CauseNoMajority UnavailableCause = "no majority"
	// CauseStalled: this process was stalled.
	CauseStalled UnavailableCause = "stalled"
	// CauseTooManyPending: too many orders are pending on this machine.
	CauseTooManyPending UnavailableCause = "full"
	// CauseTimeout: the head, or a chain member for a read, has not answered in time, or the caller no longer
	// waits.
	CauseTimeout UnavailableCause = "timeout"
	// CauseRejected: the head, or a chain member for a read, could not give a definite answer.
	CauseRejected UnavailableCause = "rejected"
	// CauseEventQueueFull: the event queue had no room before the order's timeout, or the caller stopped waiting for
	// room.
	CauseEventQueueFull UnavailableCause = "loop"
)

// readMonitor logs when reads of the configuration start to fail on this machine, and when they succeed again. It is
// safe for concurrent use.
type readMonitor struct {
	logger *zap.Logger

	mu           sync.Mutex
	failingSince time.Time // time of the first of the consecutive failures
	failures     int       // number of consecutive failures; 0: the last read was answered
}

// observe records the outcome of an order if the order is a read.
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

// recordFailure logs the first of several consecutive failures. The caller holds mu.
func (m *readMonitor) recordFailure(cause UnavailableCause) {
	if m.failures == 0 {
		m.failingSince = time.Now()
		m.logger.Warn("reads unavailable", zap.String("cause", string(cause)))
	}
	m.failures++
}
