package proxy

import (
	"time"

	"go.uber.org/zap"
)

const (
	// maxDrainAccept is how long a proxy that was told to end goes on taking requests: clients keep its address
	// for up to three times the directory's time to live.
	maxDrainAccept = 3500 * time.Millisecond
	// maxUncheckedAccept is how long it takes requests whatever their deadline. The rules forgive that requests are broken off
	// which were sent up to 3 s after SIGTERM; the rest of these is for the time that the signal takes.
	maxUncheckedAccept = 2800 * time.Millisecond
	// inFlightReserve is the part of the grace period that is left for requests begun while lingering.
	inFlightReserve = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the process to end.
	exitReserve = 500 * time.Millisecond
)

// drainPlan tells, from the moment at which the process is told to end, from when on it takes only requests that
// end in time, when it stops taking requests and when it breaks off those that are left.
type drainPlan struct {
	deadlineCheck time.Duration
	reject        time.Duration
	abort         time.Duration
}

// from gives the instants of a plan that begins at a moment.
func (p drainPlan) start(start time.Time) drainTimes {
	return drainTimes{deadlineCheck: start.Add(p.deadlineCheck), abort: start.Add(p.abort)}
}

func planDrain(grace time.Duration) drainPlan {
	abandon := max(grace-exitReserve, grace/2)
	refuse := min(maxDrainAccept, max(grace-inFlightReserve, grace/3))
	return drainPlan{deadlineCheck: min(maxUncheckedAccept, refuse), reject: refuse, abort: abandon}
}

// drainTimes are the instants of a drain.
type drainTimes struct {
	deadlineCheck time.Time // from which on only requests are taken that end before abandon
	abort         time.Time // when what is still being served is broken off
}

// drain goes through the phases of the end: it takes requests for as long as clients may hold the address,
// then refuses new ones, and breaks off what is left when the grace period is nearly over.
func (p *process) drain() {
	start := time.Now()
	plan := planDrain(time.Duration(p.gracePeriod.Load()))
	p.lifecycle.drain(plan.start(start))
	p.logger.Info("told to end", zap.Duration("refuse-after", plan.reject), zap.Duration("abandon-after", plan.abort))
	time.Sleep(time.Until(start.Add(plan.reject)))
	p.listener.close()
	p.lifecycle.enter(phaseRejecting)
	idle := func() bool {
		p.listener.closeIdle()
		return p.counters.connections.Load() == 0
	}
	if p.pollUntil(start.Add(plan.abort), idle) {
		return
	}
	p.logger.Warn("requests broken off at the end", zap.Int64("requests", p.counters.active.Load()))
	p.lifecycle.enter(phaseAborting)
	p.cancelRequests()
	p.pollUntil(time.Now().Add(exitReserve/2), idle)
}

// pollUntil looks at a condition until it holds, or until the given time; it tells whether it held.
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
