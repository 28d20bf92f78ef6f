package simulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"fieldrelay/internal/migration/execute"
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// Times of the world.
const (
	tick         = 50 * time.Millisecond
	addressLife  = 3 * time.Second        // for which a client keeps an address
	slowestSend  = 300 * time.Millisecond // from a proxy to a server
	longestReply = 8 * time.Second
	commandLife  = time.Second // between reading the state and acting on it
)

// node is a server, or a machine with its process.
type node struct {
	spec      room.Node
	present   bool // it runs, or is frozen
	readyAt   time.Duration
	restartAt time.Duration // of a crashed one; 0: it is not to come back
	stopped   bool          // it was taken away by the migration
	open      []*reply      // on a server: sent to it; on an edge machine: carried by it
	startAt   time.Duration // a start that is under way; 0: none
	stopAt    time.Duration // a stop that is under way; 0: none

	// Of an edge machine.
	inForce  *execute.State // what its proxy knows
	cutUntil time.Duration  // from control

	// Of a core machine.
	votes bool
}

func (n *node) ready(now time.Duration) bool { return n.present && now >= n.readyAt }

// reply is one answer in generation.
type reply struct {
	client    *client
	edge      *node
	server    *node
	arrivesAt time.Duration // at the server
	left      time.Duration // to be written
	written   time.Duration
	length    time.Duration
	resumable bool
	runs      int // servers that began it from its beginning
}

// client is the source of one kind of requests in one region.
type client struct {
	region    string
	homes     []string
	rate      float64 // requests a second
	mean      time.Duration
	resumable bool
	burst     float64 // factor on the rate
	burstEnds time.Duration
	samples   []int // open replies at the last observations, and those turned away since the one before
	// turnedAway counts requests that found no room since the last observation.
	turnedAway int
	turnedAt   time.Duration // when the last one was
}

// offered is the number of replies at once that the client asks for now.
func (c *client) offered(now time.Duration) float64 {
	factor := 1.0
	if now < c.burstEnds {
		factor = c.burst
	}
	return c.rate * factor * c.mean.Seconds()
}

func (c *client) serves(region string) bool {
	return len(c.homes) == 0 || slices.Contains(c.homes, region)
}

// world is the whole deployment.
type world struct {
	random  *rand.Rand
	now     time.Duration
	input   plan.Input
	plan    *plan.Plan
	nodes   map[string]*node
	order   []*node // all nodes, for a fixed order
	clients []*client
	replies []*reply
	store   *store
	faults  faults
	flaw    flaw
	checker *checker
	counts  counts
}

// counts are totals of a run.
type counts struct {
	asked, served       int
	turnedAway, noEdge  int
	crashed             int // replies lost to crashes
	moved               int // streams that went on elsewhere at the executor's word
	crashes, bursts     int
	cuts, kills, states int
	givenBack           int
}

func newWorld(random *rand.Rand, input plan.Input, made *plan.Plan, clients []*client, planted flaw) *world {
	if planted == flawSeesArrived {
		made = withoutLinger(made)
	}
	w := &world{random: random, input: input, plan: made, nodes: map[string]*node{}, clients: clients, flaw: planted}
	for _, spec := range input.Nodes {
		w.add(spec, true)
	}
	for _, one := range input.Replacements {
		w.add(one.New, false)
	}
	w.store = newStore(w)
	w.checker = newChecker(w)
	return w
}

func withoutLinger(made *plan.Plan) *plan.Plan {
	changed := *made
	changed.Stages = slices.Clone(made.Stages)
	for number := range changed.Stages {
		replacements := slices.Clone(changed.Stages[number].Replacements)
		for index := range replacements {
			replacements[index].Times.Linger = 0
		}
		changed.Stages[number].Replacements = replacements
	}
	return &changed
}

func (w *world) add(spec room.Node, present bool) {
	added := &node{spec: spec, present: present, votes: present && spec.Kind == room.Core, inForce: &execute.State{}}
	w.nodes[spec.ID] = added
	w.order = append(w.order, added)
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) chance(part float64) bool { return w.random.Float64() < part }

// step lets one tick pass.
func (w *world) step() {
	w.now += tick
	w.applyFaults()
	w.store.step()
	w.spread()
	w.platform()
	w.vote()
	w.generate()
	w.arrive()
	w.checker.check()
}

// spread brings the committed state to the proxies that are not cut off.
func (w *world) spread() {
	committed := w.store.committed
	for _, one := range w.order {
		if one.spec.Kind != room.Edge || !one.present || w.now < one.cutUntil || committed == nil {
			continue
		}
		if one.inForce.Revision < committed.Revision && w.chance(w.faults.spread) {
			one.inForce = committed
			w.move(one)
		}
	}
}

// platform starts and stops what the committed state says.
func (w *world) platform() {
	for _, one := range w.order {
		w.restart(one)
		if one.startAt > 0 && w.now >= one.startAt {
			one.startAt = 0
			w.start(one)
		}
		if one.stopAt > 0 && w.now >= one.stopAt {
			one.stopAt = 0
			w.stop(one)
		}
	}
	committed := w.store.committed
	if committed == nil || !w.chance(0.1) {
		return
	}
	for _, id := range committed.Start {
		if one := w.nodes[id]; !one.present && one.startAt == 0 && one.restartAt == 0 {
			one.startAt = w.now + w.between(tick, commandLife)
		}
	}
	for _, id := range committed.Stop {
		one := w.nodes[id]
		one.restartAt = 0
		if one.present && one.stopAt == 0 {
			one.stopAt = w.now + w.between(tick, commandLife)
		}
	}
}

func (w *world) restart(one *node) {
	if one.restartAt > 0 && w.now >= one.restartAt {
		one.restartAt = 0
		w.faults.troubleAt = max(w.faults.troubleAt, w.now+unsettled)
		w.start(one)
	}
}

func (w *world) start(one *node) {
	if one.present {
		return
	}
	one.present = true
	one.readyAt = w.now + w.between(time.Second, 3*time.Second)
	if w.store.committed != nil {
		one.inForce = w.store.committed // a proxy is ready once it holds the newest state
	}
}

// stop takes a node away. What is still open on it is lost by the migration.
func (w *world) stop(one *node) {
	if !one.present {
		return
	}
	w.checker.stopping(one)
	one.present, one.stopped = false, true
	for _, lost := range slices.Clone(one.open) {
		w.checker.lost(lost, "its node was stopped")
		w.end(lost)
	}
}

// vote carries out the exchanges of voters that the committed state asks for, one at a time.
func (w *world) vote() {
	committed := w.store.committed
	if committed == nil || !w.chance(0.05) || !w.store.majority() {
		return
	}
	for _, swap := range committed.Swaps {
		in, out := w.nodes[swap.In], w.nodes[swap.Out]
		if in != nil && !in.votes && !in.ready(w.now) {
			continue
		}
		if in != nil && !in.votes || out != nil && out.votes {
			if in != nil {
				in.votes = true
			}
			if out != nil {
				out.votes = false
			}
			return
		}
	}
}
