package logic

import (
	"time"

	"fieldrelay/logic/selection"
)

func (b *Balancer) onRequest(ev *Event) {
	c := b.classes[ev.Class]
	if c == nil { // nothing is known of it, so nothing is promised
		b.emit(Action{Kind: ActFail, Request: ev.Request})
		return
	}
	r := &request{id: ev.Request, class: c, key: ev.Key, hasKey: ev.HasKey, work: 1, arrived: b.now,
		expires: ev.Expires, tenantShares: sharesOf(b.tenants, ev.Tenant)}
	aim := c.LatencyTarget
	if ev.ExpectedWork > 0 {
		r.work = ev.ExpectedWork.Seconds()
		aim += time.Duration(c.TargetPerWork * float64(ev.ExpectedWork))
	}
	if aim <= 0 {
		aim = c.Deadline
	}
	r.fullTarget = b.now + aim
	r.target = min(r.fullTarget, r.expires)
	if ev.Retry && c.missedTarget > 0 { // its time runs from its first try, one of those that failed
		r.target = min(r.target, c.missedTarget)
	}
	b.requests[r.id] = r
	b.requestRate += 1/agingTime.Seconds() - selection.Alpha(b.now-b.rateUpdated)*b.requestRate
	if b.rateUpdated = b.now; b.slack.Begin(b.now) {
		b.firstRequest = b.now
	}
	b.wakeAt(r.expires-b.cfg.Tick, TimerExpire, r.id)
	c.recordDemand(b.now, r.work)
	b.ledger.Arrive(b.now, ev.Tenant)
	// Servers that answer late to all spend their whole capacity on it, a jam that holds itself up. Letting
	// in less than is answered in time drains it.
	refused := b.expiresTooSoon(r) || b.isPersistentlyLate(c) || b.rng.Float64() > b.admitProbability(c, ev.Tenant)
	if !refused || b.cfg.Balancers < boundMinBalancers { // many would earn together what cold servers cannot do
		b.grantSlowStartCredit()
	}
	if refused {
		b.finish(r)
	} else if c.lastAdmitted = b.now; !b.send(r) {
		b.enqueue(r)
	}
}

// admits is the part of c's requests from tenant that is let in; the slack says how much can be done in time.
// Classes, and tenants beyond their share, give way in inverse proportion to their worth: shed alike, the
// dear would lose as much as the cheap; with the cheap shed alone, nothing of those would be served in a jam.
func (b *Balancer) admitProbability(c *class, tenant string) float64 {
	in := admitSlackFactor * b.slack.Share
	if in >= 1 {
		return 1
	}
	mix := b.ledger.Mix(b.now, b.requestRate*(1-selection.Alpha(b.now-b.rateUpdated)))
	all, high := b.workRate(), 0.0 // the level over a kind's worth is its part that gives way
	for _, o := range b.classOrder {
		high = max(high, b.valuePerWork(o))
	}
	for low, step := 0.0, 0; step < levelSteps; step++ {
		level, shed := (low+high)/2, 0.0
		for _, o := range b.classOrder {
			for _, t := range mix {
				shed += o.workRate * t.Part * min(1, level/(b.valuePerWork(o)*t.Worth))
			}
		}
		if shed < (1-in*in)*all {
			low = level
		} else {
			high = level
		}
	}
	return max(1-high/(b.valuePerWork(c)*b.ledger.Worth(tenant)), minAdmitProbability)
}

// impatient tells whether r is worth nothing when a quick answer could come: its client leaves or came again.
func (b *Balancer) expiresTooSoon(r *request) bool {
	end := r.usefulUntil()
	return end < r.fullTarget && b.now+seconds(r.class.quickLatency) >= end
}

// sample moves the slack: the aged share of requests answered well in time. What ended before that could be
// told, by an error or a client's leave, says nothing of crowding.
func (b *Balancer) observeSlack(r *request, done bool) {
	early := b.now <= r.arrived+time.Duration(earlyFraction*float64(r.fullTarget-r.arrived))
	if good := done && early; !good && (r.isAtFault() || (early && !r.lastBusy)) {
		return
	}
	b.slack.Observe(b.now, done && early)
	if (b.shedding && b.slack.Share > b.slack.High) || (!b.shedding && admitSlackFactor*b.slack.Share < 1) {
		b.shedding = !b.shedding
		b.logf("shedding %t: slack %.2f", b.shedding, b.slack.Share)
	}
}

// prospect is how long a repeat of r had better wait: until the slack lets it in or its class is
// tried again, for an answer time at the least; where it is late already, as long as may be asked.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if b.now+b.cfg.Tick >= r.target {
		return b.cfg.Limits.MaxRetryAfter
	}
	wait := time.Duration((1 - min(admitSlackFactor*b.slack.Share, 1)) * float64(agingTime))
	if c := r.class; b.isPersistentlyLate(c) {
		wait = c.lastAdmitted + agingTime - b.now
	}
	return max(wait, seconds(r.class.meanLatency))
}
