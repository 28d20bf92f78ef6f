package controlsim

import (
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/testkit/callers"
	"fieldrelay/internal/testkit/history"
)

const (
	// callRetention is for how long watches of keys may resume.
	callRetention = 4 * time.Second
	// callRecoveryLimit is the limit for calls to be served after the last fault.
	callRecoveryLimit = 10 * time.Second
	// callSettleDuration is how long callers go on after that.
	callSettleDuration = 2 * time.Second
	// finalCallsDuration is how long callers try to find out what was kept.
	finalCallsDuration = 6 * time.Second
	// lateAnswerRate is the probability that the answer to a call is on its way for long.
	lateAnswerRate = 0.01
)

// callerWorld carries the calls of applications to the machines of a world. Its random numbers are its own.
type callerWorld struct {
	world        *world
	random       *rand.Rand
	applications *callers.Callers
	results      map[uint64]func(*pb.CoordinationResult)
	lastRequest  uint64
	probedAt     time.Duration
	probes       int
	recoveries   map[history.Kind]time.Duration // from the last fault until a call of a kind was served
}

// addCallers has applications call the machines.
func (w *world) addCallers() {
	w.callers = &callerWorld{
		world:   w,
		random:  rand.New(rand.NewPCG(w.plan.seed, 11)),
		results: make(map[uint64]func(*pb.CoordinationResult)),

		recoveries: make(map[history.Kind]time.Duration),
	}
	w.callers.applications = callers.Start(w.callers, w.callers.random)
}

// Now implements callers.Environment.
func (c *callerWorld) Now() time.Duration { return c.world.now }

// After implements callers.Environment.
func (c *callerWorld) After(delay time.Duration, action func()) { c.world.after(delay, action) }

// Submit implements callers.Environment.
func (c *callerWorld) Submit(turn int, call *pb.CoordinationCall, answer func(*pb.CoordinationResult)) func() {
	isCanceled := false
	cancel := func() {}
	c.After(c.delay(), func() {
		if !isCanceled {
			cancel = c.arrive(turn, call, answer)
		}
	})
	return func() {
		isCanceled = true
		cancel()
	}
}

// arrive hands a call to a machine.
func (c *callerWorld) arrive(turn int, call *pb.CoordinationCall, answer func(*pb.CoordinationResult)) (cancel func()) {
	hosts := c.world.remaining()
	target := hosts[turn%len(hosts)]
	if target.machine == nil {
		answer(nil)
		return func() {}
	}
	c.lastRequest++
	request := c.lastRequest
	c.results[request] = answer
	incarnation := target.incarnation
	target.deliver(control.CallSubmitted{Request: request, Call: call})
	return func() {
		delete(c.results, request)
		if target.incarnation == incarnation {
			target.deliver(control.CallCanceled{Request: request})
		}
	}
}

// reply carries a result back, late now and then.
func (c *callerWorld) reply(reply control.CallReply) {
	answer := c.results[reply.Request]
	delete(c.results, reply.Request)
	if answer == nil {
		return
	}
	delay := c.delay()
	if c.random.Float64() < lateAnswerRate {
		delay += time.Duration(c.random.Float64() * float64(3*callers.Timeout/2))
	}
	c.After(delay, func() { answer(reply.Result) })
}

func (c *callerWorld) delay() time.Duration {
	return time.Millisecond + time.Duration(c.random.Float64()*float64(4*time.Millisecond))
}

// probeCalls finds out when calls of each kind are served from now on.
func (w *world) probeCalls() {
	if w.callers == nil {
		return
	}
	w.callers.probedAt = w.now
	w.callers.probes = w.callers.applications.StartProbes(func(kind history.Kind) {
		w.callers.recoveries[kind] = w.now - w.callers.probedAt
	})
}

// checkCalls: calls are served again soon after the last fault, and the answers to all calls keep the rules.
func (w *world) checkCalls() {
	if w.callers == nil {
		return
	}
	w.callers.checkRecovery()
	w.run(callSettleDuration)
	w.callers.applications.Stop()
	w.run(callers.FinalCallDelay)
	w.callers.applications.StartFinalCalls()
	w.run(finalCallsDuration)
	verdict := history.Check(w.callers.applications.History(), history.Options{Retention: callRetention})
	if !verdict.Passed() {
		w.checker.fail("calls: %v", verdict)
	}
}

// checkRecovery: calls of each kind are served soon after the probes began.
func (c *callerWorld) checkRecovery() {
	allServed := func() bool { return len(c.recoveries) == c.probes }
	c.world.runUntil(c.probedAt+callRecoveryLimit-c.world.now, allServed)
	late := 0
	for _, took := range c.recoveries {
		if took > callRecoveryLimit {
			late++
		}
	}
	if late > 0 || !allServed() {
		c.world.checker.fail("calls of %d kinds are not served within %v, but %v", c.probes, callRecoveryLimit, c.recoveries)
	}
}
