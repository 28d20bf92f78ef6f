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
	// minContact is the time for which a machine must have been running and not partitioned for the deployment's rules
	// to apply (contact-ms).
	minContact = 4 * time.Second
	// maxNamedAfterEnd is the maximum time after its end for which the directory may still return an edge machine.
	maxNamedAfterEnd = minContact + 3*time.Second
	// maxHeartbeatDelay is the maximum delay of a heartbeat that is not lost: it may be queued for a second, and its
	// call may take another second.
	maxHeartbeatDelay = 2 * time.Second
	// partitionedWatchTimeout and partitionedHeartbeatTimeout are the times for which a partition may delay a message
	// before its sender closes the connection and the message is lost.
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
	joinedAt    time.Duration // time of the last start or end of a partition of this machine
}

// edgeMachine is an edge machine that is killed and started.
type edgeMachine struct {
	host    string
	started uint64 // incarnation number
	killed  bool
	at      time.Duration // time at which the machine was last killed or started
}

// delayedReport is a message in transit. If its receiver is partitioned, the message waits, and is dropped at the time
// lost.
type delayedReport struct {
	at, lost time.Duration
	to       *directoryMachine
	do       func(now time.Duration, agents *Agents)
}

// directory simulates control machines that receive reports of edge machines while some control machines are
// partitioned. A message to a machine that is partitioned for a short time arrives when the partition heals, even if
// the sender was killed in the meantime.
type directory struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	machines  []*directoryMachine
	edges     []*edgeMachine
	inTransit []delayedReport
	extraAge  time.Duration // injected fault: reports appear younger by this time

	longestInTouch, longest time.Duration // longest times for which a killed edge machine was still returned
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

// deliver delivers the messages that are due. A partitioned machine receives none.
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

// watch sends an edge machine's record to one control machine.
func (d *directory) watch(edge *edgeMachine) {
	record := &pb.AgentRecord{Host: edge.host, Incarnation: edge.started, Ready: true, EdgeAddress: edge.host}
	d.inTransit = append(d.inTransit, delayedReport{
		at:   d.now + time.Duration(d.random.Int64N(int64(100*time.Millisecond))),
		lost: d.now + partitionedWatchTimeout,
		to:   d.machines[d.random.IntN(len(d.machines))],
		do:   func(now time.Duration, agents *Agents) { agents.Observe(now, record) },
	})
}

// heartbeat sends a report to the other control machines. A heartbeat that a partition delays for
// partitionedHeartbeatTimeout is lost, since its sender closes the connection.
func (d *directory) heartbeat(from *directoryMachine) {
	records := from.agents.Report(d.now)
	for _, to := range d.machines {
		if to == from || from.partitioned {
			continue
		}
		delay := time.Duration(d.random.Int64N(int64(maxHeartbeatDelay)))
		d.inTransit = append(d.inTransit, delayedReport{
			at:   d.now + delay,
			lost: d.now + delay + partitionedHeartbeatTimeout,
			to:   to,
			do:   func(now time.Duration, agents *Agents) { agents.Merge(now, records) },
		})
	}
}

// observe evaluates the present response of each control machine.
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

// injectFault kills or starts an edge machine, or partitions a control machine or heals its partition.
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
	t.Helper()
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
	t.Logf("dead proxies were returned for at most %v by machines in contact, %v by any machine", inTouch, longest)
}

// Checks that the simulation detects the fault that reports count as fresh for five seconds longer.
func TestADirectoryThatNamesDeadProxiesForLongIsFound(t *testing.T) {
	require.GreaterOrEqual(t, runDirectory(t, 1, 5*time.Second).longestInTouch, maxNamedAfterEnd)
}
