package simulate

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
)

// faults is the configuration and state of the faults in a run, and of the operator's actions.
type faults struct {
	until              time.Duration // time after which no new fault occurs
	rate               float64       // number of faults a second
	lostAnswerFraction float64       // fraction of the chain's answers that are lost
	killFraction       float64       // fraction of the stores at which the executor is killed
	killAt             int           // number, from 1, of a store at which the executor is always killed; 0: none
	abortAt            time.Duration // time at which the operator aborts the run; 0: never
	stores             int           // number of stores so far
	only               int           // the only kind of fault that occurs; allKinds: any kind
	maxBurst           float64       // largest factor on the rate of a client in a burst
	growAt             time.Duration // time at which all demand grows permanently; 0: never
	growth             float64       // factor by which the demand grows
	maxDowntime        time.Duration // longest downtime of a crashed node
	maxSendDelay       time.Duration // longest delay of a request from a proxy to a server
	propagation        float64       // probability for each tick that a proxy gets a new state
	unstableUntil      time.Duration // time until which an executor may not have observed the last fault
	resumeAt           time.Duration // time at which the operator resumes the run; 0: the run is not paused
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

// defaultFaults returns the faults of most runs.
func defaultFaults() faults {
	return faults{
		until: faultsUntil, rate: 0.25, lostAnswerFraction: 0.1, killFraction: 0.1, propagation: 0.15,
		maxBurst: 2.5, maxDowntime: 12 * time.Second, maxSendDelay: maxSendDelay,
	}
}

// stabilization is the longest time in which an executor observes a fault and a resulting state is stored.
const stabilization = 5 * time.Second

// killAfterStore decides whether the executor is killed at the present store, and counts the store.
func (f *faults) killAfterStore(d *deployment) bool {
	f.stores++
	if f.stores == f.killAt || d.now < f.until && d.happens(f.killFraction) {
		d.counts.kills++
		return true
	}
	return false
}

// applyFaults applies the due actions of the operator and random faults.
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

// crashOne crashes a random node of a kind, unless a crashed one is down: the fault budget is one host.
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

// partition separates a proxy, or all core machines, from the other nodes for some time.
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

// disruptExecutor kills an executor instance, freezes it while another one takes over, or lets another instance take over
// while it keeps running.
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

// applyOperator aborts or resumes the run if that is due.
func (d *deployment) applyOperator() {
	f := &d.faults
	if f.abortAt > 0 && d.now >= f.abortAt {
		d.store.directive = execute.Abort
	}
	if f.resumeAt > 0 && d.now >= f.resumeAt && d.store.directive == execute.Pause {
		d.store.directive, f.resumeAt = execute.Proceed, 0
	}
}

// applyFault applies a fault of a kind.
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
