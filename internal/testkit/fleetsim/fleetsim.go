// Package fleetsim runs many fleet.Cores in simulated time: the code that
// runs under sockets, at sizes that processes do not reach and in orders that
// sockets do not show. Links lose, delay, cut; members crash, stop, come back;
// clocks drift. The same options give the same run.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// Options are what a world is made with.
type Options struct {
	Members     int
	Pace        time.Duration // 0: 250 ms
	Loss        float64       // of datagrams
	Delay       time.Duration // one way
	Jitter      time.Duration // on top, evenly drawn, of each frame by itself: frames overtake each other
	Drift       float64       // clocks run up to this part faster or slower
	Seeds       int           // members whose addresses the others join by; 0: 3
	Seed        uint64
	Voters      int           // 0: 3
	Lease       time.Duration // 0: 20 paces
	Keep        bool          // state of voters outlives their processes
	Mutate      member.Mutation
	MutateView  view.Mutation
	Refound     bool // the voters found anew by themselves where that is safe
	Limits      []quota.Limit
	Demand      func(member int, now time.Duration) quota.Unit // of each limit, by the world's time
	InUse       func(member int) quota.Unit                    // in flight, of each limit, when a report is made; nil: nothing
	MutateQuota quota.Mutation
	Rules       func(member int) *versionskew.Config // of each start; nil: no rules
	Station     *Station                             // execute nodes that the members send to; nil: none, and no verdicts
	// LoseLog has a voter come back under its identity without its state: a fault put in on purpose.
	LoseLog bool
}

// World is a run.
type World struct {
	opts        Options
	now         time.Duration
	rng         *rand.Rand
	queue       events
	serial      uint64
	nodes       []*Node
	byAddr      map[string]*Node
	partitioned map[[2]int]bool
	// Acted is called for each action of a member, before anything is done with it. It may be nil.
	Acted func(n *Node, at time.Duration, a fleet.Action)
	// Heard is called for each action of a member that others may judge. It may be nil.
	Heard func(n *Node, at time.Duration, a fleet.Action)
	// Passed is called for each frame that a member is about to get. It may be nil.
	Passed func(to *Node, at time.Duration, bytes int, f *peer.Frame)
	// Stepped is called after each call of a member that runs. It may be nil.
	Stepped func(n *Node, at time.Duration)
}

// Node is a member's machine.
type Node struct {
	Name, Addr string
	Index      int
	Core       *fleet.Core // nil: down
	Sent, Got  Traffic
	world      *World
	since      time.Duration // of this start, on the world's clock
	rate       float64
	stored     *view.StoredState
	Edition    rules.Edition // that its last process went by
	setBack    time.Duration
	start      uint64 // number of this start
	boots      uint64
	stopped    bool
	waiting    []fleet.Event // while stopped
	wakeAt     time.Duration
	seen       *seen
}

// Traffic is what one member sent or got. Bytes are those of frames.
type Traffic struct {
	Messages, Bytes int64
}

// mostWaiting bounds what the system keeps for a process that is stopped.
const mostWaiting = 4096

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// New makes a world in which nobody has started.
func New(opts Options) *World {
	if opts.Pace == 0 {
		opts.Pace = 250 * time.Millisecond
	}
	if opts.Voters == 0 {
		opts.Voters = 3
	}
	if opts.Lease == 0 {
		opts.Lease = 20 * opts.Pace
	}
	if opts.Seeds == 0 {
		opts.Seeds = 3
	}
	w := &World{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x5eed)), byAddr: map[string]*Node{}, partitioned: map[[2]int]bool{}}
	for i := range opts.Members {
		n := &Node{Name: fmt.Sprintf("m%d", i+1), Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), Index: i, world: w,
			rate: 1 + opts.Drift*(2*w.rng.Float64()-1)}
		w.nodes = append(w.nodes, n)
		w.byAddr[n.Addr] = n
	}
	return w
}

// Now is the world's time.
func (w *World) Now() time.Duration { return w.now }

// Node is the i-th member, from 0.
func (w *World) Node(i int) *Node { return w.nodes[i] }

// Nodes are all members.
func (w *World) Nodes() []*Node { return w.nodes }

// At has something done at a time.
func (w *World) At(at time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{max(at, w.now), w.serial, do})
}

// Run goes on until the world's time, or until done says so after an event. It tells whether done did.
func (w *World) Run(until time.Duration, done func() bool) bool {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		if done != nil && done() {
			return true
		}
	}
	w.now = until
	return false
}

// StartAll starts everybody, evenly within a time.
func (w *World) StartAll(within time.Duration) {
	for i, n := range w.nodes {
		w.At(w.now+within*time.Duration(i)/time.Duration(len(w.nodes)), n.Start)
	}
}

// Partition has frames from one member to another vanish, or pass again.
func (w *World) Partition(from, to int, off bool) {
	if off {
		w.partitioned[[2]int{from, to}] = true
	} else {
		delete(w.partitioned, [2]int{from, to})
	}
}

// Split cuts the links between members of different sides, both ways; side says on which each one is.
func (w *World) Split(side func(i int) int) {
	clear(w.partitioned)
	for i := range w.nodes {
		for j := range w.nodes {
			if side(i) != side(j) {
				w.partitioned[[2]int{i, j}] = true
			}
		}
	}
}

// Heal has all links pass.
func (w *World) Heal() { clear(w.partitioned) }

// local is a time on the node's own clock.
func (n *Node) local(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.since) * n.rate)
}

// clock is what the member reads at a time.
func (n *Node) clock(at time.Duration) time.Duration { return n.local(at) - n.setBack }

// SetBack sets the clock that the member goes by back, as only a wall clock can be: a fault put in on purpose.
func (n *Node) SetBack(d time.Duration) { n.setBack += d }

// Start starts the member anew, with nothing kept.
func (n *Node) Start() {
	w := n.world
	n.boots++
	n.start++
	n.since, n.stopped, n.waiting = w.now, false, nil
	var join []string
	for i := range min(w.opts.Seeds, len(w.nodes)) {
		join = append(join, w.nodes[i].Addr)
	}
	boot, seed := member.NewBoot(w.now.Milliseconds()+1, n.boots), w.opts.Seed*7919+uint64(n.Index)
	if w.opts.LoseLog && n.stored != nil {
		n.stored = &view.StoredState{Voter: n.stored.Voter, Era: n.stored.Era}
	}
	var voters []string
	for i := range min(w.opts.Voters, len(w.nodes)) {
		voters = append(voters, w.nodes[i].Name)
	}
	var demand func(limit string, now time.Duration) (demand, used quota.Unit)
	if w.opts.Demand != nil {
		demand = func(string, time.Duration) (quota.Unit, quota.Unit) {
			used := quota.Unit(0)
			if w.opts.InUse != nil {
				used = w.opts.InUse(n.Index)
			}
			return w.opts.Demand(n.Index, w.now), used
		}
	}
	cfg := fleet.CoreConfig{Fleet: "sim",
		Limits: w.opts.Limits, MutateQuota: w.opts.MutateQuota, Demand: demand,
		Member: member.Config{Name: n.Name, Addr: n.Addr, Boot: boot, Join: join, Pace: w.opts.Pace, Seed: seed, Mutate: w.opts.Mutate},
		View: view.Config{Name: n.Name, Boot: boot, Voters: voters, Pace: w.opts.Pace, Lease: w.opts.Lease, Drift: 2.1 * w.opts.Drift, Seed: seed,
			Stored: n.stored.Clone(), Refound: w.opts.Refound, Mutate: w.opts.MutateView}}
	if w.opts.Station != nil {
		w.opts.Station.join(n, &cfg)
	}
	if w.opts.Rules != nil {
		if cfg.Rules = w.opts.Rules(n.Index); cfg.Rules != nil {
			cfg.Rules.Stored = n.Edition
			cfg.Member.Reads = cfg.Rules.Reads.String()
		}
	}
	var err error
	n.Core, err = fleet.NewCore(cfg, 0)
	if err != nil {
		panic(err) // what the simulated disk kept is whole
	}
	n.step(fleet.Tick{})
}

// LoseState has the next process find nothing of what was kept.
func (n *Node) LoseState() { n.stored = nil }

// Kill ends it without a word.
func (n *Node) Kill() { n.Core, n.start, n.waiting = nil, n.start+1, nil }

// Leave ends it as planned.
func (n *Node) Leave() {
	n.step(fleet.Leave{})
	n.Kill()
}

// Stop keeps it from running for a time, as SIGSTOP does; its clock goes on.
func (n *Node) Stop(d time.Duration) {
	n.stopped = true
	start := n.start
	n.world.At(n.world.now+d, func() {
		if n.start != start || !n.stopped {
			return
		}
		n.stopped = false
		for _, e := range n.waiting {
			n.step(e)
		}
		n.waiting = nil
		n.step(fleet.Tick{})
	})
}

// Do lets something happen at it.
func (n *Node) Do(e fleet.Event) { n.step(e) }

func (n *Node) step(e fleet.Event) {
	if n.Core == nil {
		return
	}
	if n.stopped {
		if _, tick := e.(fleet.Tick); !tick && len(n.waiting) < mostWaiting {
			n.waiting = append(n.waiting, e)
		}
		return
	}
	w := n.world
	for _, a := range n.Core.Step(n.clock(w.now), e) {
		if w.Acted != nil {
			w.Acted(n, w.now, a)
		}
		switch a := a.(type) {
		case fleet.Transmit:
			n.transmit(a)
		case fleet.Save:
			if w.opts.Keep {
				if n.stored == nil {
					n.stored = &view.StoredState{}
				}
				if err := n.stored.Apply(a.Change); err != nil {
					panic(err)
				}
			}
		default:
			switch a := a.(type) {
			case fleet.Avoid:
				n.avoids(a.Nodes)
			case fleet.RulesEnforced:
				n.Edition = a.Compiled.Edition
			}
			if w.Heard != nil {
				w.Heard(n, w.now, a)
			}
		}
	}
	if w.Stepped != nil {
		w.Stepped(n, w.now)
	}
	n.sleep()
}

// sleep has the member called when it wants to be. Calls asked for before stay: one that comes early does nothing.
func (n *Node) sleep() {
	next := n.Core.Next()
	if next > 1000*time.Hour {
		return
	}
	at := n.since + time.Duration(float64(next+n.setBack)/n.rate) + 1
	if at >= n.wakeAt && n.wakeAt > n.world.now {
		return
	}
	n.wakeAt = at
	start := n.start
	n.world.At(at, func() {
		if n.wakeAt == at {
			n.wakeAt = 0
		}
		if n.start == start {
			n.step(fleet.Tick{})
		}
	})
}

func (n *Node) transmit(t fleet.Transmit) {
	w := n.world
	b, err := peer.Encode(t.Frame)
	if err != nil {
		panic(err) // what a member makes has a form
	}
	n.Sent.Messages++
	n.Sent.Bytes += int64(len(b))
	to := w.byAddr[t.To.Addr]
	datagram := !t.Stream && len(b) <= peer.MaxDatagram
	lost := datagram && w.rng.Float64() < w.opts.Loss
	delay := w.opts.Delay
	if w.opts.Jitter > 0 {
		delay += time.Duration(w.rng.Int64N(int64(w.opts.Jitter)))
	}
	if to == nil || lost || w.partitioned[[2]int{n.Index, to.Index}] {
		return
	}
	w.At(w.now+delay, func() {
		if to.Core == nil || w.partitioned[[2]int{n.Index, to.Index}] {
			return
		}
		if w.Passed != nil {
			w.Passed(to, w.now, len(b), &t.Frame)
		}
		to.Got.Messages++
		to.Got.Bytes += int64(len(b))
		to.step(fleet.Received{Frame: t.Frame})
	})
}
