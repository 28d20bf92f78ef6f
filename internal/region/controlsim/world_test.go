package controlsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/control"
)

// event is something that happens in the world at a time.
type event struct {
	at     time.Duration
	number uint64 // keeps events of one time in the order of their making
	do     func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// plan is what a world is made of.
type plan struct {
	seed              uint64
	machines          int
	zones             int
	regions           int // 0: one
	requirement       chain.Requirement
	mutation          mutation
	calm              bool    // no faults of the network
	spuriousProposals float64 // probability that a voter proposes without need at a tick
	processor         float64 // share of a core of each host; 0: events take no time
	// bandwidth of each way between two machines in bytes a second, without queues; 0: no limit
	bandwidth int
	// overlappingLosses: a disk may be lost in the midst of other faults, as long as no second one is lost with it
	overlappingLosses bool
	// snapshotRecords is the number of records after which a ring gets a snapshot; 0: defaultSnapshotRecords
	snapshotRecords int
	callers         bool // applications call the machines
}

// world is a set of machines with everything around them.
type world struct {
	plan            plan
	random          *rand.Rand
	now             time.Duration
	events          eventQueue
	lastEventNumber uint64

	hosts        []*host
	byPeer       map[string]*host
	seeds        []string
	network      network
	checker      *checker
	requests     map[uint64]func(*pb.OrderResult)
	lastRequest  uint64
	lastFaultEnd time.Duration // end of the last fault
	trace        []string
	onSubmit     func(*host, *pb.Order) // is called with each order that an operator sends; nil: nothing is

	stateBytes int // size of the configuration, for the cost of checking an amendment
	hooks      hooks
	callers    *callerWorld // nil: no applications call
}

// hooks let a test act at a certain step of a run; those that are nil do nothing.
type hooks struct {
	// onSend is called with each message; false loses it.
	onSend func(from *host, send control.Send) bool
	// onPersist is called with each write when it is queued.
	onPersist func(host *host, write control.Persist)
}

func newWorld(plan plan) *world {
	w := &world{
		plan:     plan,
		random:   rand.New(rand.NewPCG(plan.seed, 7)),
		byPeer:   make(map[string]*host),
		requests: make(map[uint64]func(*pb.OrderResult)),
	}
	w.checker = newChecker(w)
	w.network = newNetwork(w)
	for index := range plan.machines {
		w.addHost(true)
		if index < 3 {
			w.seeds = append(w.seeds, w.hosts[index].controlAddress)
		}
	}
	for _, host := range w.hosts {
		host.seeds = w.seeds
		w.after(w.durationUpTo(300*time.Millisecond), host.start)
	}
	if plan.callers {
		w.addCallers()
	}
	return w
}

func (w *world) addHost(bootstrap bool) *host {
	index := len(w.hosts)
	host := newHost(w, index, bootstrap)
	w.hosts = append(w.hosts, host)
	w.byPeer[host.peerAddress] = host
	return host
}

func (w *world) after(wait time.Duration, do func()) {
	w.lastEventNumber++
	heap.Push(&w.events, &event{at: w.now + wait, number: w.lastEventNumber, do: do})
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	w.runUntil(span, func() bool { return false })
}

// runUntil lets time pass until something is reached, and reports whether it was.
func (w *world) runUntil(limit time.Duration, reached func() bool) bool {
	end := w.now + limit
	for len(w.events) > 0 && w.events[0].at <= end {
		if reached() {
			return true
		}
		w.step()
	}
	w.now = end
	return reached()
}

// every calls a function again and again until it returns true.
func (w *world) every(period time.Duration, done func() bool) {
	w.after(period, func() {
		if !done() {
			w.every(period, done)
		}
	})
}

// step lets the next event happen.
func (w *world) step() {
	next := heap.Pop(&w.events).(*event)
	w.now = next.at
	next.do()
}

func (w *world) durationUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *world) durationBetween(least, most time.Duration) time.Duration {
	return least + w.durationUpTo(most-least)
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// tracef adds a line to what is printed when a run fails.
func (w *world) tracef(format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(format, arguments...)
	w.trace = append(w.trace, line)
}

// submit hands an order to a machine; done is called once with its answer, or never if the machine dies.
func (w *world) submit(host *host, order *pb.Order, done func(*pb.OrderResult)) {
	w.lastRequest++
	w.requests[w.lastRequest] = done
	if w.onSubmit != nil {
		w.onSubmit(host, order)
	}
	if host.machine != nil && len(host.delayedEvents) < maxDelayedEvents {
		host.pendingOrders++
	}
	host.deliver(control.OrderSubmitted{Request: w.lastRequest, Order: order})
}

// seedsFor are the seeds that settings written now name to a host. Some may be gone, but one other machine is
// there: without any, nobody could find the others.
func (w *world) seedsFor(host *host) []string {
	seeds := []string{w.anyOther(host).controlAddress, w.anyHost().controlAddress, w.anyHost().controlAddress}
	if w.chance(0.3) {
		seeds = append(seeds[:1], w.seeds[1:]...)
	}
	return seeds
}

// spuriousProposals returns what makes voters propose without need; nil if the plan has none of that.
func (w *world) spuriousProposals() func() bool {
	if w.plan.spuriousProposals == 0 {
		return nil
	}
	return func() bool { return w.chance(w.plan.spuriousProposals) }
}
