package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// epoch is the clock at the start of a run, so that no time of it looks like long ago to the module.
const epoch = time.Hour

// Policy decides for one sidecar. The decision module is one.
type Policy interface {
	// Step takes an event in and appends to acts what the policy wants done; see logic.Balancer.
	Step(now time.Duration, ev *logic.Event, acts []logic.Action) []logic.Action
}

// Oracle tells a policy that may see it how many requests a node has, which no real one can know.
type Oracle func(id uint64) int

// simulation is a run.
type simulation struct {
	engine
	s        *Scenario
	cfg      logic.Config
	nodes    map[uint64]*node
	order    []*node // in the order of their coming, those that have gone included
	sidecars []*sidecar
	jobs     map[uint64]*job // open, or with an attempt out
	lastJob  uint64
	attempts uint64
	result   Result
	lat      []recorder  // by class
	spread   *rand.Rand  // of the list
	shares   []float64   // of the classes, cumulative
	coming   int         // tries that are to come after a pause
	circle   *circle     // nil: the sidecars are no fleet
	arrived  func(*node) // told of each attempt that a node gets; nil: nobody is
}

// job is one try of a submitter.
type job struct {
	id       uint64
	by       *sidecar
	class    int
	work     float64 // seconds of a core at speed 1
	first    time.Duration
	expires  time.Duration
	attempt  int
	ended    bool
	mayRun   int // attempts that may have run or may yet
	attempts []*attempt
	out      int
}

// attempt is one claim of a job at a node.
type attempt struct {
	job       *job
	no        int
	node      *node
	seq       uint64
	work      float64
	endsAt    float64 // virtual time of the node
	heapIndex int     // in the node's heap
	at        *node   // while it is there
	queued    bool
	sent      time.Duration
	conn      bool // it has a connection
	over      bool // its outcome has been told
}

// the kinds of what happens to a sidecar; the rest of the argument is a place in timers or an attempt's number.
const (
	argArrival uint64 = iota
	argWake
	kindBits = 1
)

func newSimulation(s *Scenario, seed uint64, decide func(w *simulation, no int) (Policy, error)) (*simulation, error) {
	w := &simulation{s: s, cfg: s.module(), nodes: map[uint64]*node{}, jobs: map[uint64]*job{}, spread: stream(seed, "list")}
	w.now = epoch
	for k := range s.Nodes {
		for i := range s.Nodes[k].Count {
			w.addNode(&s.Nodes[k], stream(seed, fmt.Sprintf("node %d/%d", k, i)), 0)
		}
	}
	total := 0.0
	for _, c := range s.Classes {
		total += c.Share
		w.shares = append(w.shares, total)
		w.lat = append(w.lat, newRecorder())
	}
	for i := range w.shares {
		w.shares[i] /= total
	}
	w.result.Classes = make([]ClassResult, len(s.Classes))
	for i := range w.result.Classes {
		w.result.Classes[i].Name = s.Classes[i].Name
	}
	for no := range s.Sidecars {
		name := func(what string) *rand.Rand { return stream(seed, fmt.Sprintf("sidecar %d %s", no, what)) }
		c := &sidecar{w: w, no: no, net: name("net"), load: name("load"), work: name("work"), again: name("again"),
			notified: map[uint64]time.Duration{}, idle: map[uint64]int{}}
		var err error
		if c.policy, err = decide(w, no); err != nil {
			return nil, err
		}
		w.sidecars = append(w.sidecars, c)
	}
	pick := stream(seed, "trouble")
	for i := range s.Faults {
		w.inject(&s.Faults[i], pick)
	}
	for _, c := range w.sidecars {
		c.members(true, true)
		c.nextArrival()
	}
	return w, nil
}

func (w *simulation) addNode(kind *Nodes, rng *rand.Rand, since time.Duration) *node {
	n := &node{w: w, id: uint64(len(w.order) + 1), kind: kind, rng: rng, since: since, up: true, slow: 1, moved: w.now}
	w.nodes[n.id] = n
	w.order = append(w.order, n)
	return n
}

// delay is the time that a message takes one way.
func (w *simulation) delay(rng *rand.Rand) time.Duration {
	d := w.s.Net.Delay / 1e3
	return seconds(d * (1 + w.s.Net.Jitter*rng.Float64()))
}

const drainGrace = 500 * time.Millisecond

// answer sends back what a node has to say.
func (w *simulation) answer(a *attempt, o logic.Outcome) {
	c := a.job.by
	w.at(w.now+w.delay(c.net), task(func() { c.outcome(a, o) }), 0)
}

type ending uint8

const (
	served ending = iota
	refused
	failed
	unanswered
)

func (w *simulation) listDelay() time.Duration {
	return seconds(w.s.List.Delay / 1e3 * (1 + w.s.List.Jitter*w.spread.Float64()))
}

func (n *node) entry() logic.Server {
	return logic.Server{ID: n.id, Zone: "a", State: n.state, Since: n.since}
}

// notify passes a change of a node on to all sidecars, each in its own time.
func (w *simulation) notify(n *node) {
	for _, c := range w.sidecars {
		wait := w.listDelay()
		if w.s.List.Loss > 0 && w.spread.Float64() < w.s.List.Loss {
			w.at(w.now+wait, task(func() { c.step(&logic.Event{Kind: logic.EvListLost}) }), 0)
			continue
		}
		w.at(w.now+wait, task(func() {
			c.hear(n)
			c.step(&logic.Event{Kind: logic.EvServerList, Servers: []logic.Server{n.entry()}})
		}), 0)
	}
}

// inject plans what goes wrong.
func (w *simulation) inject(t *Fault, pick *rand.Rand) {
	var hit []*node
	count := int(math.Round(t.Fraction * float64(len(w.order))))
	for _, i := range pick.Perm(len(w.order))[:count] {
		hit = append(hit, w.order[i])
	}
	var cut []int
	if t.Kind == "cut" {
		cut = partitionedSidecars(w.s, t.Size, pick)
	}
	from, to := epoch+seconds(t.At), epoch+seconds(t.At+t.For)
	for _, n := range hit {
		switch t.Kind {
		case "slow":
			w.at(from, task(func() { n.change(func() { n.slow *= t.Size }) }), 0)
			w.at(to, task(func() { n.change(func() { n.slow /= t.Size }) }), 0)
		case "cut":
			w.at(from, task(func() { n.partitionedFrom = cut }), 0)
			w.at(to, task(func() { n.partitionedFrom = nil }), 0)
		case "fail":
			w.at(from, task(func() { n.fails = t.Size }), 0)
			w.at(to, task(func() { n.fails = 0 }), 0)
		case "crash": // the machine is replaced by another one
			w.at(from, task(func() {
				n.crash()
				n.state = logic.Gone
				w.notify(n)
			}), 0)
			w.at(to, task(func() { w.notify(w.addNode(n.kind, n.rng, w.now)) }), 0)
		case "drain":
			w.at(from, task(func() {
				n.state = logic.Draining
				w.notify(n)
			}), 0)
			w.at(to, task(func() {
				n.state, n.since = logic.Ready, w.now
				w.notify(n)
			}), 0)
		}
	}
}
