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
	addressTTL      = 3 * time.Second        // for which a client keeps an address
	maxSendDelay    = 300 * time.Millisecond // from a proxy to a server
	longestResponse = 8 * time.Second
	maxCommandDelay = time.Second // between reading the state and acting on it
)

// node is a server, or a machine with its process.
type node struct {
	spec      capacity.Node
	present   bool // it runs, or is frozen
	readyAt   time.Duration
	restartAt time.Duration // of a crashed node; 0: it does not come back
	stopped   bool          // by the migration
	inFlight  []*response   // on a server: sent to it; on an edge machine: forwarded by it
	startAt   time.Duration // a start that is under way; 0: none
	stopAt    time.Duration // a stop that is under way; 0: none

	// Of an edge machine.
	state            *execute.State // in force at its proxy
	partitionedUntil time.Duration  // from the control machines

	// Of a core machine.
	votes bool
}

func (n *node) ready(now time.Duration) bool { return n.present && now >= n.readyAt }

// response is a response that is being generated.
type response struct {
	client     *client
	edge       *node
	server     *node
	arrivesAt  time.Duration // of the request at the server
	remaining  time.Duration // to be generated
	written    time.Duration
	length     time.Duration
	resumable  bool
	executions int // servers that began it from its beginning
}

// client is the source of one kind of requests in one region.
type client struct {
	region       string
	homeRegions  []string
	rate         float64 // requests a second
	meanDuration time.Duration
	resumable    bool
	burst        float64 // factor on the rate
	burstEnds    time.Duration
	samples      []int         // by observation: responses in flight, and requests rejected since the one before
	rejected     int           // requests rejected for lack of capacity since the last observation
	rejectedAt   time.Duration // when the last one was
}

// offered returns the mean number of concurrent responses that the client requests now.
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
	orderedNodes []*node // all nodes in a fixed order, so that a run can be repeated
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
	migrated                  int // streams resumed elsewhere because the executor asked for it
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

// step lets one tick pass.
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
