package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// agentTimeout is the time without a call after which the agent is considered failed. The agent calls four times a
// second.
const agentTimeout = 2 * time.Second

// agentLiveness is the failure detector for the agent on this proxy's machine. It only logs, because the proxy continues
// to serve without an agent. Its times are readings of one monotonic clock. It is safe for concurrent use.
type agentLiveness struct {
	lastContact atomic.Int64 // time of the last call, in nanoseconds
	timedOut    atomic.Bool  // a time-out was logged, and no call has been received since
	logger      *zap.Logger
}

// recordContact records a call of the agent.
func (l *agentLiveness) recordContact(now time.Duration) {
	before := time.Duration(l.lastContact.Swap(int64(now)))
	if l.timedOut.CompareAndSwap(true, false) {
		l.logger.Info("agent contact restored", zap.Duration("since_contact", now-before))
	}
}

// sinceContact returns the time since the last call, or since the start of the clock if there was none.
func (l *agentLiveness) sinceContact(now time.Duration) time.Duration {
	return max(0, now-time.Duration(l.lastContact.Load()))
}

// checkTimeout logs a time-out of the agent once. It is called every housekeepingInterval.
func (l *agentLiveness) checkTimeout(now time.Duration) {
	if age := l.sinceContact(now); age > agentTimeout && l.timedOut.CompareAndSwap(false, true) {
		l.logger.Warn("agent timed out", zap.Duration("since_contact", age))
	}
}
