package logic

import (
	"math"
	"slices"
	"time"

	"fieldrelay/internal/common/selection"
)

// class is a class of requests with what this sidecar has measured for it.
type class struct {
	Class
	meanLatency      float64 // mean latency of answers within the full target, in seconds, aged
	latencyDeviation float64 // mean absolute deviation from meanLatency
	quickLatency     float64 // seconds to an answer without queueing, about the tenth percentile
	requestRate      float64 // requests per second, aged as of ratesUpdated
	workRate         float64 // work of these requests per second, aged as of ratesUpdated
	ratesUpdated     time.Duration
	faultRates
	lastAdmitted time.Duration // when a request was last admitted
	missedTarget time.Duration // latest full target of the requests that ended unserved
}

// recordDemand counts a request of c and its work. With work 0 it only ages the rates to now.
func (c *class) recordDemand(now time.Duration, work float64) {
	keep := 1 - selection.Alpha(now-c.ratesUpdated)
	c.requestRate, c.workRate, c.ratesUpdated = c.requestRate*keep, c.workRate*keep, now
	if work > 0 {
		c.requestRate += 1 / agingTime.Seconds()
		c.workRate += work / agingTime.Seconds()
	}
}

// workRate is the work per second that clients of this sidecar request, over all classes.
func (b *Balancer) workRate() (sum float64) {
	for _, c := range b.classOrder {
		c.recordDemand(b.now, 0)
		sum += c.workRate
	}
	return sum
}

// maxInFlight bounds the attempts in flight: a multiple of the number of servers that the requested work
// occupies without queueing, and a margin for random variation, as in square-root staffing (Halfin and
// Whitt, 1981). Further requests queue in this sidecar. Without this bound, eighty sidecars with limits of
// one attempt per server overloaded all servers, which stayed slow.
func (b *Balancer) maxInFlight() float64 {
	// Shortly after the first request, the aged rate has reached only a part of its final value.
	occupied := b.workRate() / selection.Alpha(b.now-b.firstRequest)
	return 1 + inFlightFactor*occupied + inFlightRootFactor*math.Sqrt(occupied)
}

// valuePerWork is the value of a unit of work of class c.
func (b *Balancer) valuePerWork(c *class) float64 {
	value := max(c.Value, minValue)
	if b.cfg.ValuePerWork || c.workRate == 0 {
		return value
	}
	return value * c.requestRate / c.workRate
}

// isPersistentlyLate reports whether c misses its target at all servers while requests of other classes do
// not: its attempts would occupy servers without any value. Once per aging time it reports false, so that
// one request probes the class.
func (b *Balancer) isPersistentlyLate(c *class) bool {
	return c.faultRates[lateness] > max(lateClassThreshold, b.overall[lateness]) &&
		b.now < c.lastAdmitted+agingTime
}

// isHeavy reports whether r has so much more work than a class in recent use that light requests would queue
// behind requests like r. Limits count attempts, so a burst of heavy requests could use all limits until they
// are answered.
func (b *Balancer) isHeavy(r *request) bool {
	return slices.ContainsFunc(b.classOrder, func(c *class) bool {
		recent := c.requestRate * (1 - selection.Alpha(b.now-c.ratesUpdated)) * agingTime.Seconds()
		return recent > minRecentRequests && r.work*c.requestRate > heavyFactor*c.workRate
	})
}
