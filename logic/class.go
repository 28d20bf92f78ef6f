package logic

import (
	"math"
	"slices"
	"time"

	"fieldrelay/logic/selection"
)

type class struct {
	Class
	meanLatency, latencyDeviation float64 // aged answer time of successes, in seconds
	quickLatency                  float64 // what an answer takes where nothing waits, about the lowest tenth
	requestRate                   float64 // aged requests a second,
	workRate                      float64 // and the work of them,
	ratesUpdated                  time.Duration
	faultShares
	lastAdmitted time.Duration // when one was last let in although the class drags
	missedTarget time.Duration // the latest aim of a request that ended unserved
}

// demand takes in that a request of c asks for work, or with none that time has passed.
func (c *class) recordDemand(now time.Duration, work float64) {
	keep := 1 - selection.Alpha(now-c.ratesUpdated)
	c.requestRate, c.workRate, c.ratesUpdated = c.requestRate*keep, c.workRate*keep, now
	if work > 0 {
		c.requestRate += 1 / agingTime.Seconds()
		c.workRate += work / agingTime.Seconds()
	}
}

func (b *Balancer) workRate() (all float64) {
	for _, c := range b.classOrder {
		c.recordDemand(b.now, 0)
		all += c.workRate
	}
	return all
}

// most is how many attempts may be out: a multiple of what the work asked for keeps busy where nothing waits,
// and a margin for chance, as in square-root staffing (Halfin and Whitt). What waits, waits here: with a
// limit of one a server each, eighty sidecars crowded all servers, which slowed down and stayed so.
func (b *Balancer) maxInFlight() float64 {
	w := b.workRate() / selection.Alpha(b.now-b.firstRequest) // what has come since the start is told of in part
	return 1 + inFlightFactor*w + inFlightRootFactor*math.Sqrt(w)
}

// worth is what a unit of c's work is worth.
func (b *Balancer) valuePerWork(c *class) float64 {
	worth := max(c.Value, minValue)
	if b.cfg.ValuePerWork || c.workRate == 0 {
		return worth
	}
	return worth * c.requestRate / c.workRate
}

// drags tells whether c waits past its aim wherever it goes, and not because all do: sent, its requests would
// hold places for nothing. One an ageing time shows when that ends.
func (b *Balancer) isPersistentlyLate(c *class) bool {
	return c.faultShares[lateness] > max(lateClassThreshold, b.overall[lateness]) && b.now < c.lastAdmitted+agingTime
}

// heavy tells whether r is so much work beside what else comes that light requests would wait for its like
// alone: a limit counts attempts, and a burst of long ones took every place for as long as they lasted.
func (b *Balancer) isHeavy(r *request) bool {
	return slices.ContainsFunc(b.classOrder, func(c *class) bool {
		lately := c.requestRate * (1 - selection.Alpha(b.now-c.ratesUpdated)) * agingTime.Seconds()
		return lately > minRecentRequests && r.work*c.requestRate > heavyFactor*c.workRate
	})
}
