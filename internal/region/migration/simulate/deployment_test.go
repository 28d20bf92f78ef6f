package simulate

import (
	"math/rand/v2"
	"slices"
	"time"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/execute"
	"fieldrelay/internal/region/migration/plan"
)

// Times of the deployment.
const (
	tick            = 50 * time.Millisecond
	addressTTL      = 3 * time.Second        // time for which a client caches an address
	maxSendDelay    = 300 * time.Millisecond // longest delay of a request from a proxy to a server
	longestResponse = 8 * time.Second
	maxCommandDelay = time.Second // longest delay of the platform between reading the state and acting on it
)

// node is a server, or an edge or core machine with its process.
type node struct {
	spec      capacity.Node
	present   bool // the node runs
	readyAt   time.Duration
	restartAt time.Duration // time of the restart of a crashed node; 0: the node is not about to restart
	stopped   bool          // the migration has stopped the node
	inFlight  []*response   // responses that a server generates or is about to get, or that an edge machine forwards
	startAt   time.Duration // time of a pending start; 0: none
	stopAt    time.Duration // time of a pending stop; 0: none

	// Fields of an edge machine.
	state            *execute.State // state in force at its proxy
	partitionedUntil time.Duration  // end of the machine's partition from the control machines

	// Fields of a core machine.
	votes bool
}

func (n *node) ready(now time.Duration) bool { return n.present && now >= n.readyAt }

// response is a response in progress, from the sending of its request on.
type response struct {
	client     *client
	edge       *node
	server     *node
	arrivesAt  time.Duration // time at which the request arrives at the server
	remaining  time.Duration // generation time that remains
	written    time.Duration
	length     time.Duration
	resumable  bool
	executions int // number of times that generation began at the start of the response
}

// client is the source of one kind of requests in one region.
type client struct {
	region       string
	homeRegions  []string
	rate         float64 // requests a second
	meanDuration time.Duration
	resumable    bool
	burst        float64 // factor on the rate until burstEnds
	burstEnds    time.Duration
	samples      []int         // for each of the last observations: responses in flight plus newly rejected requests
	rejected     int           // requests rejected for lack of capacity since the last observation
	rejectedAt   time.Duration // time of the last rejection
}

// offered returns the mean number of concurrent responses at the client's present request rate.
func (c *client) offered(now time.Duration) float64 {
	factor := 1.0
	if now < c.burstEnds {
		factor = c.burst
	}
	return c.rate * factor * c.meanDuration.Seconds()
}

func (c *client) allowsRegion(region string) bool {
	return len(c.homeRegions) == 0 || slices.Contains(c.homeRegions, region)
}

// deployment is the simulated deployment.
type deployment struct {
	random       *rand.Rand
	now          time.Duration
	input        plan.Input
	plan         *plan.Plan
	nodes        map[string]*node
	orderedNodes []*node // all nodes in a fixed order, so that runs are reproducible
	clients      []*client
	responses    []*response
	store        *store
	faults       faults
	planted      plantedFault
	checker      *checker
	counts       counts
}

// counts are totals of a run.
type counts struct {
	requests, served          int
	rejected, noEdge          int
	crashed                   int // responses lost to crashes
	migrated                  int // streams resumed elsewhere by order of the executor
	crashes, bursts           int
	partitions, kills, states int
	uncordoned                int
}

func newDeployment(random *rand.Rand, input plan.Input, migrationPlan *plan.Plan, clients []*client, planted plantedFault) *deployment {
	if planted == faultArrivedOnly {
		migrationPlan = withoutLinger(migrationPlan)
	}
	d := &deployment{random: random, input: input, plan: migrationPlan, nodes: map[string]*node{}, clients: clients, planted: planted}
	for _, spec := range input.Nodes {
		d.add(spec, true)
	}
	for _, replacement := range input.Replacements {
		d.add(replacement.New, false)
	}
	d.store = newStore(d)
	d.checker = newChecker(d)
	return d
}

func withoutLinger(migrationPlan *plan.Plan) *plan.Plan {
	changed := *migrationPlan
	changed.Stages = slices.Clone(migrationPlan.Stages)
	for number := range changed.Stages {
		replacements := slices.Clone(changed.Stages[number].Replacements)
		for index := range replacements {
			replacements[index].Times.Linger = 0
		}
		changed.Stages[number].Replacements = replacements
	}
	return &changed
}

func (d *deployment) add(spec capacity.Node, present bool) {
	added := &node{spec: spec, present: present, votes: present && spec.Kind == capacity.Core, state: &execute.State{}}
	d.nodes[spec.ID] = added
	d.orderedNodes = append(d.orderedNodes, added)
}

func (d *deployment) durationBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(d.random.Int64N(int64(most-least)+1))
}

func (d *deployment) happens(probability float64) bool { return d.random.Float64() < probability }

// step advances the deployment by one tick.
func (d *deployment) step() {
	d.now += tick
	d.applyFaults()
	d.store.step()
	d.propagateState()
	d.runPlatform()
	d.exchangeVoters()
	d.generateTokens()
	d.issueRequests()
	d.checker.check()
}
