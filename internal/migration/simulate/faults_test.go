package simulate

import (
	"time"

	"fieldrelay/internal/migration/execute"
	"fieldrelay/internal/migration/room"
)

// faults is what goes wrong in a run.
type faults struct {
	until       time.Duration // nothing new goes wrong after it
	rate        float64       // faults a second
	lostAnswers float64       // part of the chain's answers
	killPart    float64       // part of the stores at which the executor is killed
	killAt      int           // the store, counted from 1, at which it is killed as well; 0: none
	abortAt     time.Duration // 0: never
	stores      int
	only        int           // the one kind of fault that happens; 0: all
	burst       float64       // highest factor of a burst
	growAt      time.Duration // when all demand grows for good; 0: never
	growth      float64       // by which factor
	back        time.Duration // longest until a crashed node is back
	send        time.Duration // longest from a proxy to a server
	spread      float64       // chance of a proxy to hear of a new state in a tick
	troubleAt   time.Duration // until which an executor may not have seen what happened last
	resumeAt    time.Duration // when the operator resumes; 0: it is not paused
}

// The kinds of faults.
const (
	allKinds = iota
	crashServer
	crashEdge
	crashCore
	burstDemand
	cutOff
	disturb
	pause
	faultKinds = pause
)

// usualFaults is what goes wrong in most runs.
func usualFaults() faults {
	return faults{
		until: faultsUntil, rate: 0.25, lostAnswers: 0.1, killPart: 0.1, spread: 0.15,
		burst: 2.5, back: 12 * time.Second, send: slowestSend,
	}
}

// unsettled is how long an executor may take to see what has happened, and a state to be stored.
const unsettled = 5 * time.Second

func (f *faults) killAfterStore(w *world) bool {
	f.stores++
	if f.stores == f.killAt || w.now < f.until && w.chance(f.killPart) {
		w.counts.kills++
		return true
	}
	return false
}

// applyFaults lets something go wrong, now and then, and the operator act.
func (w *world) applyFaults() {
	f := &w.faults
	if f.abortAt > 0 && w.now >= f.abortAt {
		w.store.wish = execute.Abort
	}
	if f.resumeAt > 0 && w.now >= f.resumeAt && w.store.wish == execute.Pause {
		w.store.wish, f.resumeAt = execute.Proceed, 0
	}
	if f.growAt > 0 && w.now >= f.growAt {
		f.growAt = 0
		f.troubleAt = w.now + unsettled
		for _, from := range w.clients {
			from.burst, from.burstEnds = f.growth, longestRun
		}
	}
	if w.now >= f.until || !w.chance(f.rate*tick.Seconds()) {
		return
	}
	kind := f.only
	if kind == allKinds {
		kind = 1 + w.random.IntN(faultKinds)
	}
	switch kind {
	case crashServer:
		w.crashOne(room.Server)
	case crashEdge:
		w.crashOne(room.Edge)
	case crashCore:
		w.crashOne(room.Core)
	case burstDemand:
		w.burst()
	case cutOff:
		w.cut()
	case disturb:
		w.disturbExecutor()
	case pause:
		if w.store.wish == execute.Proceed {
			w.store.wish, f.resumeAt = execute.Pause, w.now+w.between(time.Second, 10*time.Second)
		}
	}
}

// crashOne crashes a node of a kind, one at a time as the fault budget has it.
func (w *world) crashOne(kind room.Kind) {
	var candidates []*node
	for _, one := range w.order {
		if one.spec.Kind != kind {
			continue
		}
		if one.restartAt > 0 {
			return
		}
		if one.present {
			candidates = append(candidates, one)
		}
	}
	if len(candidates) == 0 {
		return
	}
	w.counts.crashes++
	back := w.between(w.faults.back/3, w.faults.back)
	w.faults.troubleAt = w.now + unsettled
	w.crash(candidates[w.random.IntN(len(candidates))], back)
}

func (w *world) burst() {
	from := w.clients[w.random.IntN(len(w.clients))]
	from.burst = 1.5 + (w.faults.burst-1.5)*w.random.Float64()
	from.burstEnds = w.now + w.between(5*time.Second, 15*time.Second)
	w.faults.troubleAt = w.now + unsettled
	w.counts.bursts++
}

// cut cuts a proxy or the core off.
func (w *world) cut() {
	w.counts.cuts++
	if w.chance(0.3) {
		w.store.cutUntil = w.now + w.between(time.Second, 5*time.Second)
		return
	}
	for _, one := range w.order {
		if one.spec.Kind == room.Edge && one.present && w.chance(0.3) {
			one.cutUntil = w.now + w.between(time.Second, 12*time.Second)
			return
		}
	}
}

// disturbExecutor kills the executor, freezes it, or has a second one take the duty while it goes on.
func (w *world) disturbExecutor() {
	if len(w.store.instances) == 0 {
		return
	}
	one := w.store.instances[w.random.IntN(len(w.store.instances))]
	w.counts.kills++
	switch w.random.IntN(3) {
	case 0:
		w.store.drop(one)
	case 1:
		one.frozen = w.now + w.between(time.Second, 8*time.Second)
		fallthrough
	case 2:
		if w.store.nextAt == 0 {
			w.store.nextAt = w.now + w.between(tick, 2*time.Second)
		}
	}
}
