package emulate

import (
	"math/rand/v2"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// node is a modelled execute node: cores that the requests in work share, slots for those, and a queue before them.
//
// All requests in work progress alike: work is done on a clock of the node's own that runs at the share of a core each
// request gets (processor sharing in virtual time, Parekh and Gallager 1993, after Demers et al. 1989). With as many
// slots as cores each has a core and the node is FIFO with c servers.
type node struct {
	w               *simulation
	id              uint64
	kind            *Nodes
	rng             *rand.Rand
	since           time.Duration // of its start
	state           logic.State
	up              bool
	slow            float64 // times slower than it should be
	fails           float64 // part that fails
	partitionedFrom []int   // sidecars to which it is silent

	work    []*attempt // in work, a heap by the virtual time of their end
	queue   []*attempt
	virtual float64       // work that each request in work has got
	moved   time.Duration // when virtual was last brought up to date
	plan    uint64        // of the event that is to come; others are void
	conns   int

	done, rejected, failed, crashed uint64
}

// tick bounds how far ahead an end is planned while the node's capacity changes by itself.
const tick = 50 * time.Millisecond

// capacity is the part of its full capacity that the node has at a time.
func (n *node) capacity(at time.Duration) float64 {
	cold := seconds(n.kind.Warmup)
	age := at - n.since
	if n.since == 0 || age >= cold {
		return 1
	}
	return n.kind.WarmupSpeed + (1-n.kind.WarmupSpeed)*float64(age)/float64(cold)
}

// pace is the work that each request in work gets in a second, without the capacity.
func (n *node) pace() float64 {
	share := min(1, float64(n.kind.Cores)/float64(len(n.work)))
	return n.kind.Speed / n.slow * share
}

// advance brings virtual time up to now.
func (n *node) advance() {
	now := n.w.now
	if gap := (now - n.moved).Seconds(); gap > 0 && len(n.work) > 0 {
		// The capacity rises evenly, so that its mean is that of both ends, but for the part after it is full.
		n.virtual += gap * n.pace() * (n.capacity(n.moved) + n.capacity(now)) / 2
	}
	n.moved = now
}

// replan schedules the next end.
func (n *node) replan() {
	n.plan++
	if len(n.work) == 0 {
		return
	}
	left := max(n.work[0].endsAt-n.virtual, 0)
	wait := seconds(left / (n.pace() * n.capacity(n.w.now)))
	if n.capacity(n.w.now) < 1 {
		wait = min(wait, tick)
	}
	n.w.at(n.w.now+wait+1, n, n.plan) // a nanosecond more, or rounding would leave a bit to do
}

// fire ends what is done.
func (n *node) fire(plan uint64) {
	if plan != n.plan {
		return
	}
	n.advance()
	for len(n.work) > 0 && n.work[0].endsAt <= n.virtual+1e-12 {
		a := n.popWork()
		n.done++
		n.finish(a)
		n.fill()
	}
	n.replan()
}

func (n *node) finish(a *attempt) {
	a.at = nil
	outcome := logic.Done
	if n.fails > 0 || n.kind.Errors > 0 {
		if n.rng.Float64() < max(n.fails, n.kind.Errors) {
			outcome = logic.Errored
			n.failed++
		}
	}
	n.w.answer(a, outcome)
}

// arrive takes an attempt that has come in whole.
func (n *node) arrive(a *attempt) {
	if n.w.arrived != nil {
		n.w.arrived(n)
	}
	switch {
	case !n.up:
		n.w.answer(a, logic.Refused)
	case len(n.work) < n.kind.Slots:
		n.advance()
		n.start(a)
		n.replan()
	case len(n.queue) < n.kind.Queue:
		a.at = n
		a.queued = true
		n.queue = append(n.queue, a)
	default:
		n.rejected++
		n.w.answer(a, logic.Busy)
	}
}

func (n *node) start(a *attempt) {
	a.at, a.queued = n, false
	a.endsAt = n.virtual + a.work
	n.pushWork(a)
}

// fill starts what waits. Virtual time must be up to date.
func (n *node) fill() {
	for len(n.queue) > 0 && len(n.work) < n.kind.Slots {
		a := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		n.start(a)
	}
}

// abandon takes out an attempt that nobody waits for.
func (n *node) abandon(a *attempt) {
	a.at = nil
	if a.queued {
		for i, o := range n.queue {
			if o == a {
				n.queue = append(n.queue[:i], n.queue[i+1:]...)
				return
			}
		}
		return
	}
	n.advance()
	n.removeWork(a.heapIndex)
	n.fill()
	n.replan()
}

// change alters the node's pace.
func (n *node) change(do func()) {
	n.advance()
	do()
	n.replan()
}

// crash ends all that the node has.
func (n *node) crash() {
	n.up = false
	n.plan++
	lost := append(n.work, n.queue...)
	n.work, n.queue = nil, nil
	for _, a := range lost {
		a.at = nil
		n.crashed++
		n.w.answer(a, logic.Reset)
	}
}

// inFlight is all that the node has.
func (n *node) inFlight() int { return len(n.work) + len(n.queue) }

func (n *node) pushWork(a *attempt) {
	n.work = append(n.work, a)
	n.rise(len(n.work) - 1)
}

func (n *node) less(a, b *attempt) bool {
	return a.endsAt < b.endsAt || a.endsAt == b.endsAt && a.seq < b.seq
}

func (n *node) rise(i int) {
	a := n.work[i]
	for i > 0 && n.less(a, n.work[(i-1)/2]) {
		n.work[i] = n.work[(i-1)/2]
		n.work[i].heapIndex = i
		i = (i - 1) / 2
	}
	n.work[i] = a
	a.heapIndex = i
}

func (n *node) sink(i int) {
	a := n.work[i]
	for {
		c := 2*i + 1
		if c >= len(n.work) {
			break
		}
		if c+1 < len(n.work) && n.less(n.work[c+1], n.work[c]) {
			c++
		}
		if !n.less(n.work[c], a) {
			break
		}
		n.work[i] = n.work[c]
		n.work[i].heapIndex = i
		i = c
	}
	n.work[i] = a
	a.heapIndex = i
}

func (n *node) popWork() *attempt {
	a := n.work[0]
	n.removeWork(0)
	return a
}

func (n *node) removeWork(i int) {
	last := len(n.work) - 1
	moved := n.work[last]
	n.work[last] = nil
	n.work = n.work[:last]
	if i < last {
		n.work[i] = moved
		moved.heapIndex = i
		n.sink(i)
		n.rise(moved.heapIndex)
	}
}
