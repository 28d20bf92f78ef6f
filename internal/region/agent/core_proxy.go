package agent

import (
	"time"

	"go.uber.org/zap"
)

// startProxyCall returns the call to the proxy if one is due.
func (c *core) startProxyCall(now time.Duration) []action {
	call := c.proxy.nextCall(now, c.replica, &c.members)
	if call == nil {
		return nil
	}
	c.counters.exchanges++
	if call.apply != nil {
		c.counters.applies++
		c.violations.checkSent(c.logger, call.apply, c.proxy.status)
	}
	return []action{*call}
}

// handleProxyCallDone processes the result of an exchange with the proxy. The first long poll is delayed until the
// first exchange has ended, by up to maxFirstWatchDelay, so that the long poll reports the state of the proxy.
func (c *core) handleProxyCallDone(now time.Duration, done proxyCallDone) {
	previous := c.proxy
	discovered := c.proxy.handleDone(now, done)
	if !c.proxyQueried {
		c.proxyQueried = true
		c.control.nextLongPoll = min(c.control.nextLongPoll, now)
	}
	if done.err != nil {
		c.counters.proxyFailures++
		c.counters.proxyFailureKinds.count(done.err)
	}
	c.violations.checkReport(c.logger, previous.status, c.proxy.status)
	c.logProxyChange(&previous, discovered, done.err)
}

// logProxyChange logs changes of the proxy process, its reachability and its readiness after an exchange.
func (c *core) logProxyChange(previous *proxyLink, discovered bool, err error) {
	switch {
	case discovered:
		c.logger.Info("proxy discovered",
			zap.Uint64("incarnation", c.proxy.status.GetIncarnation()),
			zap.Uint64("sequence", c.proxy.status.GetSequence()))
	case previous.reachable && !c.proxy.reachable:
		c.logger.Warn("proxy unreachable", zap.Error(err))
	case !previous.reachable && c.proxy.reachable:
		c.logger.Info("proxy reachable")
	}
	if previous.ready() != c.proxy.ready() {
		c.logger.Info("proxy readiness changed", zap.Bool("ready", c.proxy.ready()))
	}
}
