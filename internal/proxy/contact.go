package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// silenceLimit is the time without an exchange after which the agent counts as silent; it exchanges four times a second.
const silenceLimit = 2 * time.Second

// contact follows when the agent beside this proxy was last heard of. Times are those of a steady clock that all callers
// share. It is safe for concurrent use.
type contact struct {
	last   atomic.Int64 // time of the last exchange in nanoseconds
	silent atomic.Bool  // as logged
	logger *zap.Logger
}

// heard takes an exchange with the agent.
func (c *contact) heard(now time.Duration) {
	before := time.Duration(c.last.Swap(int64(now)))
	if c.silent.CompareAndSwap(true, false) {
		c.logger.Info("agent heard again", zap.Duration("after", now-before))
	}
}

// age is the time since the last exchange, since the start of the clock before the first.
func (c *contact) age(now time.Duration) time.Duration {
	return max(0, now-time.Duration(c.last.Load()))
}

// look logs once that the agent is silent. It is called now and then.
func (c *contact) look(now time.Duration) {
	if age := c.age(now); age > silenceLimit && c.silent.CompareAndSwap(false, true) {
		c.logger.Warn("agent silent", zap.Duration("for", age))
	}
}
