package simulate

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
)

// faults is what fails in a run, and what the operator does.
type faults struct {
	until              time.Duration // no new fault after it
	rate               float64       // faults a second
	lostAnswerFraction float64       // of the chain's answers
	killFraction       float64       // of the stores at which the executor is killed
	killAt             int           // the store, counted from 1, at which it is killed as well; 0: none
	abortAt            time.Duration // 0: never
	stores             int           // so far
	only               int           // the one kind of fault that occurs; allKinds: any
	maxBurst           float64       // factor on the rate of a client
	growAt             time.Duration // when all demand grows for good; 0: never
	growth             float64       // by which factor
	maxDowntime        time.Duration // of a crashed node
	maxSendDelay       time.Duration // from a proxy to a server
	propagation        float64       // probability that a proxy gets a new state in a tick
	unstableUntil      time.Duration // until which an executor may not have observed the last fault
	resumeAt           time.Duration // when the operator resumes the run; 0: it is not paused
}

// The kinds of faults.
const (
	allKinds = iota
	crashServer
	crashEdge
	crashCore
	burstDemand
	partitionNetwork
	executorDisruption
	pauseRun
	faultKinds = pauseRun
)

// defaultFaults is what fails in most runs.
func defaultFaults() faults {
	return faults{
		until: faultsUntil, rate: 0.25, lostAnswerFraction: 0.1, killFraction: 0.1, propagation: 0.15,
		maxBurst: 2.5, maxDowntime: 12 * time.Second, maxSendDelay: maxSendDelay,
	}
}

// stabilization is how long it may take an executor to observe a fault, and a state to be stored.
const stabilization = 5 * time.Second

// killAfterStore decides whether the executor is killed at a store.
func (f *faults) killAfterStore(d *deployment) bool {
	f.stores++
	if f.stores == f.killAt || d.now < f.until && d.happens(f.killFraction) {
		d.counts.kills++
		return true
	}
	return false
}

// applyFaults lets faults occur at random, and the operator act.
func (d *deployment) applyFaults() {
	f := &d.faults
	d.applyOperator()
	if f.growAt > 0 && d.now >= f.growAt {
		f.growAt = 0
		f.unstableUntil = d.now + stabilization
		for _, from := range d.clients {
			from.burst, from.burstEnds = f.growth, longestRun
		}
	}
	if d.now >= f.until || !d.happens(f.rate*tick.Seconds()) {
		return
	}
	kind := f.only
	if kind == allKinds {
		kind = 1 + d.random.IntN(faultKinds)
	}
	d.applyFault(kind)
}

// crashOne crashes a node of a kind, unless one is down: the fault budget is one.
func (d *deployment) crashOne(kind capacity.Kind) {
	var candidates []*node
	for _, node := range d.orderedNodes {
		if node.spec.Kind != kind {
			continue
		}
		if node.restartAt > 0 {
			return
		}
		if node.present {
			candidates = append(candidates, node)
		}
	}
	if len(candidates) == 0 {
		return
	}
	d.counts.crashes++
	downtime := d.durationBetween(d.faults.maxDowntime/3, d.faults.maxDowntime)
	d.faults.unstableUntil = d.now + stabilization
	d.crash(candidates[d.random.IntN(len(candidates))], downtime)
}

func (d *deployment) burst() {
	from := d.clients[d.random.IntN(len(d.clients))]
	from.burst = 1.5 + (d.faults.maxBurst-1.5)*d.random.Float64()
	from.burstEnds = d.now + d.durationBetween(5*time.Second, 15*time.Second)
	d.faults.unstableUntil = d.now + stabilization
	d.counts.bursts++
}

// partition separates a proxy, or the core machines, from the others.
func (d *deployment) partition() {
	d.counts.partitions++
	if d.happens(0.3) {
		d.store.partitionedUntil = d.now + d.durationBetween(time.Second, 5*time.Second)
		return
	}
	for _, node := range d.orderedNodes {
		if node.spec.Kind == capacity.Edge && node.present && d.happens(0.3) {
			node.partitionedUntil = d.now + d.durationBetween(time.Second, 12*time.Second)
			return
		}
	}
}

// disruptExecutor kills the executor, freezes it, or lets a second instance take over while it goes on.
func (d *deployment) disruptExecutor() {
	if len(d.store.instances) == 0 {
		return
	}
	instance := d.store.instances[d.random.IntN(len(d.store.instances))]
	d.counts.kills++
	switch d.random.IntN(3) {
	case 0:
		d.store.endInstance(instance)
	case 1:
		instance.frozenUntil = d.now + d.durationBetween(time.Second, 8*time.Second)
		fallthrough
	case 2:
		if d.store.takeoverAt == 0 {
			d.store.takeoverAt = d.now + d.durationBetween(tick, 2*time.Second)
		}
	}
}

// applyOperator lets the operator abort or resume the run.
func (d *deployment) applyOperator() {
	f := &d.faults
	if f.abortAt > 0 && d.now >= f.abortAt {
		d.store.directive = execute.Abort
	}
	if f.resumeAt > 0 && d.now >= f.resumeAt && d.store.directive == execute.Pause {
		d.store.directive, f.resumeAt = execute.Proceed, 0
	}
}

// applyFault lets a fault of a kind occur.
func (d *deployment) applyFault(kind int) {
	switch kind {
	case crashServer:
		d.crashOne(capacity.Server)
	case crashEdge:
		d.crashOne(capacity.Edge)
	case crashCore:
		d.crashOne(capacity.Core)
	case burstDemand:
		d.burst()
	case partitionNetwork:
		d.partition()
	case executorDisruption:
		d.disruptExecutor()
	case pauseRun:
		if d.store.directive == execute.Proceed {
			d.store.directive, d.faults.resumeAt = execute.Pause, d.now+d.durationBetween(time.Second, 10*time.Second)
		}
	}
}
