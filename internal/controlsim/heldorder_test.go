package controlsim

import (
	"fmt"
	"net/http"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/control"
	"fieldrelay/internal/operatorapi"
)

// closeDelay is the longest time from a caller's closing to the machine's notice of it.
const closeDelay = 150 * time.Millisecond

// heldProbability is the probability that a request's bytes are held up.
const heldProbability = 0.35

// evacuator begins and ends the evacuation of a zone of its own in turn, each order sent until it is acknowledged,
// to another machine each time, as callers do. The bytes of some copies are held up, long after their caller has
// given them up. What it has got acknowledged holds until it sends its next order.
type evacuator struct {
	world   *world
	storm   *cutStorm
	zone    string
	ended   bool
	order   int  // counts
	begin   bool // the present order
	settled bool // it is acknowledged
	trusts  bool // the planted fault: copies of any age are handed over

	acknowledged, held, keptBack, handedOver, withdrawn int
}

// evacuationCopy is one request for an order.
type evacuationCopy struct {
	evacuator *evacuator
	order     int
	begin     bool
	host      *host
	sent      time.Duration
	closed    bool // by its caller
	request   uint64
	life      int // of the machine that was handed the order
}

func (w *world) addEvacuator(storm *cutStorm, name int) *evacuator {
	e := &evacuator{world: w, storm: storm, zone: fmt.Sprintf("held-%d", name)}
	w.after(w.between(time.Second, 2*time.Second), e.next)
	e.look()
	return e
}

// look checks that no late copy undoes what was acknowledged.
func (e *evacuator) look() {
	newest := e.world.checker.committed[e.world.checker.last]
	if e.settled && newest != nil && newest.Evacuated(e.zone) != e.begin {
		e.world.checker.fail("%s: begin %v was acknowledged and is undone", e.zone, e.begin)
		e.settled = false
	}
	e.world.after(authorityPeriod, e.look)
}

func (e *evacuator) next() {
	if e.ended {
		return
	}
	e.order++
	e.begin = !e.begin
	e.settled = false
	e.send(e.order)
}

// send sends a copy of the present order and gives it up after a while.
func (e *evacuator) send(order int) {
	if order != e.order || e.settled {
		return
	}
	sent := &evacuationCopy{evacuator: e, order: order, begin: e.begin, host: e.drawHost(), sent: e.world.now}
	e.world.after(e.drawWay(), sent.arrive)
	e.world.after(operatorPatience, func() {
		sent.giveUp()
		e.world.after(e.world.between(5*time.Millisecond, 200*time.Millisecond), func() { e.send(order) })
	})
}

func (e *evacuator) drawHost() *host {
	if e.storm.target != nil && e.world.chance(aimedAtTarget) {
		return e.storm.target
	}
	return e.world.anyHost()
}

// drawWay is how long the bytes are on their way.
func (e *evacuator) drawWay() time.Duration {
	if e.ended || !e.world.chance(heldProbability) {
		return e.world.between(time.Millisecond/2, 30*time.Millisecond)
	}
	e.held++
	if e.world.chance(0.3) {
		return e.world.upTo(2 * operatorPatience)
	}
	return e.world.upTo(longestCut)
}

// arrive has the machine take the order, as package operatorapi does, if it is young, or if the caller is still
// there a moment later.
func (c *evacuationCopy) arrive() {
	if c.evacuator.trusts || c.evacuator.world.now-c.sent <= operatorapi.YoungFor {
		c.handOver()
		return
	}
	c.evacuator.world.after(operatorapi.CallerProof, func() {
		if c.closed {
			c.evacuator.keptBack++
			return
		}
		c.handOver()
	})
}

func (c *evacuationCopy) handOver() {
	if c.host.machine == nil {
		return
	}
	kind := pb.Order_KIND_EVACUATE_FINISH
	if c.begin {
		kind = pb.Order_KIND_EVACUATE_BEGIN
	}
	c.evacuator.handedOver++
	c.life = c.host.life
	c.request = c.evacuator.world.request + 1
	c.evacuator.world.submit(c.host, &pb.Order{Kind: kind, Zone: c.evacuator.zone}, c.answered)
}

// giveUp closes the caller's connection; the machine learns it a moment later.
func (c *evacuationCopy) giveUp() {
	c.closed = true
	if c.request == 0 || c.evacuator.trusts {
		return
	}
	c.evacuator.world.after(c.evacuator.world.upTo(closeDelay), func() {
		if c.host.machine != nil && c.host.life == c.life {
			c.evacuator.withdrawn++
			c.host.deliver(control.OrderCanceled{Request: c.request})
		}
	})
}

func (c *evacuationCopy) answered(result *pb.OrderResult) {
	e := c.evacuator
	c.request = 0
	if c.closed || c.order != e.order || e.settled || result.GetStatus() != http.StatusOK {
		return
	}
	e.world.note("%s: begin %v acknowledged", e.zone, e.begin)
	e.settled = true
	e.acknowledged++
	pause := e.world.between(20*time.Millisecond, time.Second)
	if e.world.chance(0.3) {
		pause = e.world.between(time.Second, longestCut)
	}
	e.world.after(pause, e.next)
}
