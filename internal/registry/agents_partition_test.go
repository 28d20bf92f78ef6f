package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// contact is how long a machine must have been joined and running to be held to the rules (contact-ms).
	minContact = 4 * time.Second
	// maxNamedAfterEnd is how long after its end an edge machine may still be named.
	maxNamedAfterEnd = minContact + 3*time.Second
	// maxHeartbeatDelay is the longest way of a heartbeat that is not lost: it waits for a second, then its call may last
	// as long.
	maxHeartbeatDelay = 2 * time.Second
	// partitionedWatchTimeout and partitionedHeartbeatTimeout are how long a cut holds up what was sent: then its sender gives the connection up.
	partitionedWatchTimeout     = 2 * time.Second
	partitionedHeartbeatTimeout = 1500 * time.Millisecond

	watchInterval     = time.Second
	heartbeatInterval = 300 * time.Millisecond
	observeInterval   = 50 * time.Millisecond
)

// directoryMachine is a control machine that answers clients.
type directoryMachine struct {
	agents      *Agents
	partitioned bool
	joinedAt    time.Duration // since when it is not cut off
}

// edgeMachine is an edge machine that is killed and started.
type edgeMachine struct {
	host    string
	started uint64 // counts
	killed  bool
	at      time.Duration // when it was killed last
}

// held is something on its way; at a machine that is cut off it waits no longer than until lost.
type delayedReport struct {
	at, lost time.Duration
	to       *directoryMachine
	do       func(now time.Duration, agents *Agents)
}

// directory is a simulation of control machines that hear of edge machines, of which some are cut off. What was
// sent to one that is cut off for a short time arrives at the join, also if the sender was killed meanwhile.
type directory struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	machines  []*directoryMachine
	edges     []*edgeMachine
	inTransit []delayedReport
	extraAge  time.Duration // how old what is told of an edge machine is made to seem; 0: as old as it is

	longestInTouch, longest time.Duration // for which an edge machine was named after its end
}

func newDirectory(t *testing.T, seed uint64) *directory {
	d := &directory{t: t, random: rand.New(rand.NewPCG(seed, 5))}
	for range 4 {
		d.machines = append(d.machines, &directoryMachine{agents: NewAgents(d.random.Uint64N(1000))})
	}
	for index := range 8 {
		d.edges = append(d.edges, &edgeMachine{host: fmt.Sprint("edge-", index), started: 1})
	}
	return d
}

func (d *directory) run(span time.Duration) {
	for end := d.now + span; d.now < end; d.now += observeInterval {
		d.deliver()
		for _, edge := range d.edges {
			if !edge.killed && d.random.Int64N(int64(watchInterval/observeInterval)) == 0 {
				d.watch(edge)
			}
		}
		for _, machine := range d.machines {
			if d.random.Int64N(int64(heartbeatInterval/observeInterval)) == 0 {
				d.heartbeat(machine)
			}
			machine.agents.Refresh(d.now)
			require.NoError(d.t, machine.agents.Check())
		}
		d.observe()
	}
}

// deliver hands over what has arrived. Nothing arrives at a machine that is cut off.
func (d *directory) deliver() {
	due := d.inTransit
	d.inTransit = nil
	for _, one := range due {
		switch {
		case one.at > d.now:
			d.inTransit = append(d.inTransit, one)
		case !one.to.partitioned:
			one.do(d.now, one.to.agents)
		case d.now < one.lost:
			d.inTransit = append(d.inTransit, one)
		}
	}
}

// watch lets an edge machine tell one control machine of itself.
func (d *directory) watch(edge *edgeMachine) {
	record := &pb.AgentRecord{Host: edge.host, Incarnation: edge.started, Ready: true, EdgeAddress: edge.host}
	d.inTransit = append(d.inTransit, delayedReport{
		at:   d.now + time.Duration(d.random.Int64N(int64(100*time.Millisecond))),
		lost: d.now + partitionedWatchTimeout,
		to:   d.machines[d.random.IntN(len(d.machines))],
		do:   func(now time.Duration, agents *Agents) { agents.Observe(now, record) },
	})
}

// heartbeat tells the other control machines; what a cut holds up is lost, for its sender gives its connection up.
func (d *directory) heartbeat(from *directoryMachine) {
	records := from.agents.Report(d.now)
	for _, to := range d.machines {
		if to == from || from.partitioned {
			continue
		}
		way := time.Duration(d.random.Int64N(int64(maxHeartbeatDelay)))
		d.inTransit = append(d.inTransit, delayedReport{
			at:   d.now + way,
			lost: d.now + way + partitionedHeartbeatTimeout,
			to:   to,
			do:   func(now time.Duration, agents *Agents) { agents.Merge(now, records) },
		})
	}
}

// look takes an answer of each machine.
func (d *directory) observe() {
	for _, machine := range d.machines {
		named := machine.agents.Refresh(d.now).Endpoints(d.now-d.extraAge, Client{}, 0)
		for _, edge := range d.edges {
			if !edge.killed || !slices.Contains(named, edge.host) {
				continue
			}
			d.longest = max(d.longest, d.now-edge.at)
			if !machine.partitioned && d.now-machine.joinedAt >= minContact {
				d.longestInTouch = max(d.longestInTouch, d.now-edge.at)
			}
		}
	}
}

// trouble kills or starts an edge machine, or cuts a control machine off or joins it.
func (d *directory) injectFault() {
	if d.random.IntN(3) > 0 {
		edge := d.edges[d.random.IntN(len(d.edges))]
		edge.killed = !edge.killed
		edge.started++
		edge.at = d.now
		return
	}
	machine := d.machines[d.random.IntN(len(d.machines))]
	machine.partitioned = !machine.partitioned
	machine.joinedAt = d.now
}

func runDirectory(t *testing.T, seed uint64, liveFor time.Duration) *directory {
	d := newDirectory(t, seed)
	d.extraAge = liveFor
	for d.now < 5*time.Minute {
		d.run(time.Duration(d.random.Int64N(int64(6 * time.Second))))
		d.injectFault()
	}
	return d
}

func TestDirectoryOfAMachineThatWasCutOffNamesNoDeadProxyForLong(t *testing.T) {
	inTouch, longest := time.Duration(0), time.Duration(0)
	for seed := range uint64(10) {
		d := runDirectory(t, seed, 0)
		require.Less(t, d.longestInTouch, maxNamedAfterEnd, "seed %d", seed)
		inTouch, longest = max(inTouch, d.longestInTouch), max(longest, d.longest)
	}
	t.Logf("dead proxies were named for %v at most by machines in touch, for %v by any", inTouch, longest)
}

// The planted fault: what was heard counts for five seconds longer.
func TestADirectoryThatNamesDeadProxiesForLongIsFound(t *testing.T) {
	require.GreaterOrEqual(t, runDirectory(t, 1, 5*time.Second).longestInTouch, maxNamedAfterEnd)
}
