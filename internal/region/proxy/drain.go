package proxy

import (
	"time"

	"go.uber.org/zap"
)

const (
	// directoryTTL is the time for which the directory tells clients to keep a proxy's address, and directoryTTLFactor the
	// multiple of it for which some clients do (the operators' page PROTOCOL, Ingress).
	directoryTTL       = time.Second
	directoryTTLFactor = 3
	// shutdownNotice is the time until the directory stops naming a proxy that shuts down.
	shutdownNotice = 500 * time.Millisecond
	// maxDrainAccept is how long clients may still have the address of a proxy that shuts down.
	maxDrainAccept = directoryTTLFactor*directoryTTL + shutdownNotice
	// inFlightReserve is the part of the grace period that is reserved for finishing accepted requests.
	inFlightReserve = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 500 * time.Millisecond
)

// drainPollInterval is the interval of the checks for open connections during a shutdown.
const drainPollInterval = 10 * time.Millisecond

// drainPlan is the schedule of a graceful shutdown, as times since its start. It says which requests can be finished; see
// drainTimes.accepts.
type drainPlan struct {
	unaware time.Duration // until this time, clients are told the address that have not tried another proxy
	reject  time.Duration // after this time, new requests are rejected
	abort   time.Duration // at this time, requests in flight are canceled
}

// planDrain divides a grace period into the phases of a shutdown.
func planDrain(grace time.Duration) drainPlan {
	abort := max(grace-exitReserve, grace/2)
	reject := min(maxDrainAccept, max(grace-inFlightReserve, grace/3))
	return drainPlan{unaware: min(directoryTTL+shutdownNotice, reject), reject: reject, abort: abort}
}

// start returns the times for a shutdown that begins at the given time.
func (p drainPlan) start(start time.Time) drainTimes {
	return drainTimes{unaware: start.Add(p.unaware), abort: start.Add(p.abort)}
}

// drainTimes are the points in time of a shutdown that has begun; see drainPlan.
type drainTimes struct{ unaware, abort time.Time }

// accepts reports whether a request that arrives at a time during the shutdown is accepted, given when it is expected to
// end and when it ends at the latest. A request is accepted if it certainly ends before requests are canceled. The others
// can still be served by another proxy. Only as long as clients can't know of the shutdown, the expectation is enough.
func (t *drainTimes) accepts(now, expectedEnd, deadline time.Time) bool {
	if deadline.Before(t.abort) {
		return true
	}
	return now.Before(t.unaware) && expectedEnd.Before(t.abort)
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
