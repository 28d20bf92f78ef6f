package logic

import (
	"math"
	"time"

	"fieldrelay/logic/selection"
)

type class struct {
	Class
	mean, dev float64 // aged answer time of successes, in seconds
	quick     float64 // what an answer takes where nothing waits, about the lowest tenth
	asked     float64 // aged requests a second,
	work      float64 // and the work of them,
	askedAt   time.Duration
	suspect
	tried time.Duration // when one was last let in although the class drags
	owed  time.Duration // the latest aim of a request that ended unserved
}

func (b *Balancer) request(ev *Event) {
	c := b.classes[ev.Class]
	if c == nil { // nothing is known of it, so nothing is promised
		b.act(Action{Kind: ActFail, Request: ev.Request})
		return
	}
	r := &request{id: ev.Request, class: c, key: ev.Key, hasKey: ev.HasKey, cost: 1, arrived: b.now,
		expires: ev.Expires, tenant: entry(b.tenants, ev.Tenant)}
	aim := c.LatencyTarget
	if ev.ExpectedWork > 0 {
		r.cost = ev.ExpectedWork.Seconds()
		aim += time.Duration(c.TargetPerWork * float64(ev.ExpectedWork))
	}
	if aim <= 0 {
		aim = c.Deadline
	}
	r.full = b.now + aim
	r.aim = min(r.full, r.expires)
	if ev.Retry && c.owed > 0 { // its time runs from its first try, one of those that failed
		r.aim = min(r.aim, c.owed)
	}
	b.requests[r.id] = r
	b.rate += 1/ageing.Seconds() - selection.Alpha(b.now-b.rateAt)*b.rate
	if b.rateAt = b.now; b.slack.Begin(b.now) {
		b.began = b.now
	}
	b.at(r.expires-b.cfg.Tick, TimerExpire, r.id)
	c.demand(b.now, r.cost)
	b.door.Arrive(b.now, ev.Tenant)
	// Servers that answer late to all spend their whole capacity on it, a jam that holds itself up. Letting
	// in less than is answered in time drains it.
	refused := b.impatient(r) || b.drags(c) || b.rng.Float64() > b.admits(c, ev.Tenant)
	if !refused || b.cfg.Balancers < limitsHold { // many would earn together what cold servers cannot do
		b.earn()
	}
	if refused {
		b.settle(r)
	} else if c.tried = b.now; !b.send(r) {
		b.hold(r)
	}
}

// demand takes in that a request of c asks for work, or with none that time has passed.
func (c *class) demand(now time.Duration, work float64) {
	keep := 1 - selection.Alpha(now-c.askedAt)
	c.asked, c.work, c.askedAt = c.asked*keep, c.work*keep, now
	if work > 0 {
		c.asked += 1 / ageing.Seconds()
		c.work += work / ageing.Seconds()
	}
}

func (b *Balancer) load() (all float64) {
	for _, c := range b.kinds {
		c.demand(b.now, 0)
		all += c.work
	}
	return all
}

// most is how many attempts may be out: a multiple of what the work asked for keeps busy where nothing waits,
// and a margin for chance, as in square-root staffing (Halfin and Whitt). What waits, waits here: with a
// limit of one a server each, eighty sidecars crowded all servers, which slowed down and stayed so.
func (b *Balancer) most() float64 {
	w := b.load() / selection.Alpha(b.now-b.began) // what has come since the start is told of in part
	return 1 + outTimes*w + outRoots*math.Sqrt(w)
}

// admits is the part of c's requests from tenant that is let in; the slack says how much can be done in time.
// Classes, and tenants beyond their share, give way in inverse proportion to their worth: shed alike, the
// dear would lose as much as the cheap; with the cheap shed alone, nothing of those would be served in a jam.
func (b *Balancer) admits(c *class, tenant string) float64 {
	in := calm * b.slack.Share
	if in >= 1 {
		return 1
	}
	mix := b.door.Mix(b.now, b.rate*(1-selection.Alpha(b.now-b.rateAt)))
	all, high := b.load(), 0.0 // the level over a kind's worth is its part that gives way
	for _, o := range b.kinds {
		high = max(high, b.worth(o))
	}
	for low, step := 0.0, 0; step < levelSteps; step++ {
		level, shed := (low+high)/2, 0.0
		for _, o := range b.kinds {
			for _, t := range mix {
				shed += o.work * t.Part * min(1, level/(b.worth(o)*t.Worth))
			}
		}
		if shed < (1-in*in)*all {
			low = level
		} else {
			high = level
		}
	}
	return max(1-high/(b.worth(c)*b.door.Worth(tenant)), trickle)
}

// worth is what a unit of c's work is worth.
func (b *Balancer) worth(c *class) float64 {
	worth := max(c.Value, leastWorth)
	if b.cfg.ValuePerWork || c.work == 0 {
		return worth
	}
	return worth * c.asked / c.work
}

// drags tells whether c waits past its aim wherever it goes, and not because all do: sent, its requests would
// hold places for nothing. One an ageing time shows when that ends.
func (b *Balancer) drags(c *class) bool {
	return c.suspect[late] > max(dragging, b.self[late]) && b.now < c.tried+ageing
}

// impatient tells whether r is worth nothing when a quick answer could come: its client leaves or came again.
func (b *Balancer) impatient(r *request) bool {
	end := r.useful()
	return end < r.full && b.now+seconds(r.class.quick) >= end
}

// sample moves the slack: the aged share of requests answered well in time. What ended before that could be
// told, by an error or a client's leave, says nothing of crowding.
func (b *Balancer) sample(r *request, done bool) {
	early := b.now <= r.arrived+time.Duration(easy*float64(r.full-r.arrived))
	if good := done && early; !good && (r.ofKind() || (early && !r.busy)) {
		return
	}
	b.slack.Observe(b.now, done && early)
	if (b.shedding && b.slack.Share > b.slack.High) || (!b.shedding && calm*b.slack.Share < 1) {
		b.shedding = !b.shedding
		b.logf("shedding %t: slack %.2f", b.shedding, b.slack.Share)
	}
}

// prospect is how long a repeat of r had better wait: until the slack lets it in or its class is
// tried again, for an answer time at the least; where it is late already, as long as may be asked.
func (b *Balancer) prospect(r *request) time.Duration {
	if b.now+b.cfg.Tick >= r.aim {
		return b.cfg.Limits.MaxRetryAfter
	}
	wait := time.Duration((1 - min(calm*b.slack.Share, 1)) * float64(ageing))
	if c := r.class; b.drags(c) {
		wait = c.tried + ageing - b.now
	}
	return max(wait, seconds(r.class.mean))
}
