package proxy

import (
	"time"

	"go.uber.org/zap"
)

const (
	// maxDrainAccept is how long requests are accepted during a shutdown. Clients may keep the proxy's address for up
	// to three times the directory's time to live.
	maxDrainAccept = 3500 * time.Millisecond
	// maxUncheckedAccept is how long requests are accepted regardless of their deadline. docs/region/rules.md permits
	// aborting requests that were sent up to 3 s after SIGTERM; the other 200 ms cover the delivery of the signal.
	maxUncheckedAccept = 2800 * time.Millisecond
	// inFlightReserve is the part of the grace period that is reserved for finishing accepted requests.
	inFlightReserve = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 500 * time.Millisecond
)

// drainPollInterval is the interval of the checks for open connections during a shutdown.
const drainPollInterval = 10 * time.Millisecond

// drainPlan is the schedule of a graceful shutdown, as times since its start.
type drainPlan struct {
	deadlineCheck time.Duration // after this time, a request is accepted only if its deadline is before abort
	reject        time.Duration // after this time, new requests are rejected
	abort         time.Duration // at this time, requests in flight are canceled
}

// start returns the times for a shutdown that begins at the given time.
func (p drainPlan) start(start time.Time) drainTimes {
	return drainTimes{deadlineCheck: start.Add(p.deadlineCheck), abort: start.Add(p.abort)}
}

// planDrain divides a grace period into the phases of a shutdown.
func planDrain(grace time.Duration) drainPlan {
	abort := max(grace-exitReserve, grace/2)
	reject := min(maxDrainAccept, max(grace-inFlightReserve, grace/3))
	return drainPlan{deadlineCheck: min(maxUncheckedAccept, reject), reject: reject, abort: abort}
}

// drainTimes are the points in time of a shutdown that has begun; see drainPlan.
type drainTimes struct {
	deadlineCheck time.Time // after this time, a request is accepted only if its deadline is before abort
	abort         time.Time // at this time, requests in flight are canceled
}

// drain shuts the process down gracefully. It accepts requests for as long as clients may still have its address, then
// rejects new requests, and cancels the requests that are still in flight shortly before the grace period ends.
func (p *process) drain() {
	start := time.Now()
	plan := planDrain(time.Duration(p.gracePeriod.Load()))
	p.lifecycle.drain(plan.start(start))
	p.logger.Info("shutdown started", zap.Duration("reject_after", plan.reject), zap.Duration("abort_after", plan.abort))
	time.Sleep(time.Until(start.Add(plan.reject)))
	p.listener.close()
	p.lifecycle.enter(phaseRejecting)
	allClosed := func() bool {
		p.listener.closeIdle()
		return p.counters.connections.Load() == 0
	}
	if p.pollUntil(start.Add(plan.abort), allClosed) {
		return
	}
	p.logger.Warn("grace period over, aborting requests", zap.Int64("requests", p.counters.active.Load()))
	p.lifecycle.enter(phaseAborting)
	p.cancelRequests()
	p.pollUntil(time.Now().Add(exitReserve/2), allClosed)
}

// pollUntil polls a condition until it holds or the end is reached, and reports whether it holds.
func (p *process) pollUntil(end time.Time, condition func() bool) bool {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(end) {
		if condition() {
			return true
		}
		<-ticker.C
	}
	return condition()
}
