package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// agentTimeout is the time without an exchange after which the agent counts as silent; it exchanges four times a second.
const agentTimeout = 2 * time.Second

// contact follows when the agent beside this proxy was last heard of. Times are those of a steady clock that all callers
// share. It is safe for concurrent use.
type agentLiveness struct {
	lastContact atomic.Int64 // time of the last exchange in nanoseconds
	timedOut    atomic.Bool  // as logged
	logger      *zap.Logger
}

// heard takes an exchange with the agent.
func (c *agentLiveness) recordContact(now time.Duration) {
	before := time.Duration(c.lastContact.Swap(int64(now)))
	if c.timedOut.CompareAndSwap(true, false) {
		c.logger.Info("agent heard again", zap.Duration("after", now-before))
	}
}

// age is the time since the last exchange, since the start of the clock before the first.
func (c *agentLiveness) sinceContact(now time.Duration) time.Duration {
	return max(0, now-time.Duration(c.lastContact.Load()))
}

// look logs once that the agent is silent. It is called now and then.
func (c *agentLiveness) checkTimeout(now time.Duration) {
	if age := c.sinceContact(now); age > agentTimeout && c.timedOut.CompareAndSwap(false, true) {
		c.logger.Warn("agent silent", zap.Duration("for", age))
	}
}
