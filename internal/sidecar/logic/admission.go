package logic

import (
	"time"

	"fieldrelay/internal/common/selection"
)

// onRequest admits a request, and then sends or queues it, or gives it a final answer at once.
func (b *Balancer) onRequest(ev *Event) {
	c := b.classes[ev.Class]
	if c == nil { // unknown class: its requests may not be safe to retry after a rejection
		b.emit(Action{Kind: ActFail, Request: ev.Request})
		return
	}
	r := b.newRequest(ev, c)
	b.requests[r.id] = r
	b.requestRate += 1/agingTime.Seconds() - selection.Alpha(b.now-b.rateUpdated)*b.requestRate
	if b.rateUpdated = b.now; b.slack.Begin(b.now) {
		b.firstRequest = b.now
	}
	b.wakeAt(r.expires-b.cfg.Tick, TimerExpire, r.id)
	c.recordDemand(b.now, r.work)
	b.accounts.Count(b.now, ev.Tenant)
	// Servers that answer all requests late spend their whole capacity on late answers, which sustains the
	// overload. Admitting less than is answered in time lets the queues drain.
	rejected := b.expiresTooSoon(r) || b.isPersistentlyLate(c) ||
		b.rng.Float64() > b.admitProbability(c, ev.Tenant)
	// In a large fleet, rejected requests earn no credit: under overload the sidecars together would give the
	// servers in slow start credit for more than they can serve.
	if !rejected || b.cfg.Balancers < boundMinBalancers {
		b.grantSlowStartCredit()
	}
	if rejected {
		b.finish(r)
	} else if c.lastAdmitted = b.now; !b.send(r) {
		b.enqueue(r)
	}
}

// newRequest returns the state of the request of ev, which has class c.
func (b *Balancer) newRequest(ev *Event, c *class) *request {
	r := &request{id: ev.Request, class: c, key: ev.Key, hasKey: ev.HasKey, work: 1, arrived: b.now,
		expires: ev.Expires, tenantFaultRates: faultRatesOf(b.tenants, ev.Tenant)}
	target := c.LatencyTarget
	if ev.ExpectedWork > 0 {
		r.work = ev.ExpectedWork.Seconds()
		target += time.Duration(c.TargetPerWork * float64(ev.ExpectedWork))
	}
	if target <= 0 {
		target = c.Deadline
	}
	r.fullTarget = b.now + target
	r.target = min(r.fullTarget, r.expires)
	if ev.Retry && c.missedTarget > 0 { // the target of a retry counts from the request that was not served
		r.target = min(r.target, c.missedTarget)
	}
	return r
}

// admitProbability is the probability with which a request of class c from tenant is admitted. The slack
// measures how much can be answered in time. Classes, and tenants beyond their quota share, are shed in
// inverse proportion to their value. Equal shedding would cost requests of high value as much as those of low
// value; shedding only the latter would leave none of them served during an overload.
func (b *Balancer) admitProbability(c *class, tenant string) float64 {
	admitted := admitSlackFactor * b.slack.Fraction
	if admitted >= 1 {
		return 1
	}
	level := b.sheddingLevel(admitted)
	return max(1-level/(b.valuePerWork(c)*b.accounts.Value(tenant)), minAdmitProbability)
}

// sheddingLevel finds, by bisection, the level at which the square of admitted is the fraction of all work
// that is not shed. Of the requests of a class and tenant, the level divided by their value is shed, at most
// all.
func (b *Balancer) sheddingLevel(admitted float64) float64 {
	mix := b.accounts.Mix(b.now, b.requestRate*(1-selection.Alpha(b.now-b.rateUpdated)))
	all, high := b.workRate(), 0.0
	for _, o := range b.classOrder {
		high = max(high, b.valuePerWork(o))
	}
	for low, step := 0.0, 0; step < bisectionSteps; step++ {
		level, shed := (low+high)/2, 0.0
		for _, o := range b.classOrder {
			for _, t := range mix {
				shed += o.workRate * t.Fraction * min(1, level/(b.valuePerWork(o)*t.Value))
			}
		}
		if shed < (1-admitted*admitted)*all {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// expiresTooSoon reports whether even a quick answer to r would have no value, because its client stops
// waiting before or r is a retry whose original target has passed.
func (b *Balancer) expiresTooSoon(r *request) bool {
	end := r.usefulUntil()
	return end < r.fullTarget && b.now+seconds(r.class.quickLatency) >= end
}

// observeSlack updates the slack, the aged fraction of requests that are answered early (within earlyFraction
// of their target). A request that ended early for another reason, such as an error or a client that has
// disconnected, says nothing about overload and is not counted.
func (b *Balancer) observeSlack(r *request, served bool) {
	early := b.now <= r.arrived+time.Duration(earlyFraction*float64(r.fullTarget-r.arrived))
	if good := served && early; !good && (r.isAtFault() || (early && !r.lastBusy)) {
		return
	}
	b.slack.Observe(b.now, served && early)
	admitted := admitSlackFactor * b.slack.Fraction
	if (b.shedding && b.slack.Fraction > b.slack.High) || (!b.shedding && admitted < 1) {
		b.shedding = !b.shedding
		b.logf("shedding %t: slack %.2f", b.shedding, b.slack.Fraction)
	}
}

// retryAfter is the time after which a retry of r may succeed: when the slack is expected to admit it or its
// class is probed again, but at least a mean answer time. For a request past its target it is the maximum.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if b.now+b.cfg.Tick >= r.target {
		return b.cfg.Limits.MaxRetryAfter
	}
	wait := time.Duration((1 - min(admitSlackFactor*b.slack.Fraction, 1)) * float64(agingTime))
	if c := r.class; b.isPersistentlyLate(c) {
		wait = c.lastAdmitted + agingTime - b.now
	}
	return max(wait, seconds(r.class.meanLatency))
}
