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
	// maxReturnedAfterEnd is the maximum time after its end for which the directory may still return an edge machine.
	maxReturnedAfterEnd = minContact + 3*time.Second
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
	agents             *Agents
	partitioned        bool
	partitionChangedAt time.Duration // time of the last start or end of a partition of this machine
}

// edgeMachine is an edge machine that is killed and restarted.
type edgeMachine struct {
	host        string
	incarnation uint64 // raised at each kill and start
	killed      bool
	changedAt   time.Duration // time at which the machine was last killed or started
}

// delayedReport is a message in transit. If its receiver is partitioned, the message waits until dropAt at most.
type delayedReport struct {
	deliverAt, dropAt time.Duration
	to                *directoryMachine
	apply             func(now time.Duration, agents *Agents)
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

	longestInContact, longest time.Duration // longest times for which a killed edge machine was still returned
}

func newDirectory(t *testing.T, seed uint64) *directory {
	d := &directory{t: t, random: rand.New(rand.NewPCG(seed, 5))}
	for range 4 {
		d.machines = append(d.machines, &directoryMachine{agents: NewAgents(d.random.Uint64N(1000))})
	}
	for index := range 8 {
		d.edges = append(d.edges, &edgeMachine{host: fmt.Sprint("edge-", index), incarnation: 1})
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
		case one.deliverAt > d.now:
			d.inTransit = append(d.inTransit, one)
		case !one.to.partitioned:
			one.apply(d.now, one.to.agents)
		case d.now < one.dropAt:
			d.inTransit = append(d.inTransit, one)
		}
	}
}

// watch sends an edge machine's record to one control machine.
func (d *directory) watch(edge *edgeMachine) {
	record := &pb.AgentRecord{Host: edge.host, Incarnation: edge.incarnation, Ready: true, EdgeAddress: edge.host}
	d.inTransit = append(d.inTransit, delayedReport{
		deliverAt: d.now + time.Duration(d.random.Int64N(int64(100*time.Millisecond))),
		dropAt:    d.now + partitionedWatchTimeout,
		to:        d.machines[d.random.IntN(len(d.machines))],
		apply:     func(now time.Duration, agents *Agents) { agents.Observe(now, record) },
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
			deliverAt: d.now + delay,
			dropAt:    d.now + delay + partitionedHeartbeatTimeout,
			to:        to,
			apply:     func(now time.Duration, agents *Agents) { agents.Merge(now, records) },
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
			d.longest = max(d.longest, d.now-edge.changedAt)
			if !machine.partitioned && d.now-machine.partitionChangedAt >= minContact {
				d.longestInContact = max(d.longestInContact, d.now-edge.changedAt)
			}
		}
	}
}

// injectFault kills or starts an edge machine, or partitions a control machine or heals its partition.
func (d *directory) injectFault() {
	if d.random.IntN(3) > 0 {
		edge := d.edges[d.random.IntN(len(d.edges))]
		edge.killed = !edge.killed
		edge.incarnation++
		edge.changedAt = d.now
		return
	}
	machine := d.machines[d.random.IntN(len(d.machines))]
	machine.partitioned = !machine.partitioned
	machine.partitionChangedAt = d.now
}

func runDirectory(t *testing.T, seed uint64, extraAge time.Duration) *directory {
	t.Helper()
	d := newDirectory(t, seed)
	d.extraAge = extraAge
	for d.now < 5*time.Minute {
		d.run(time.Duration(d.random.Int64N(int64(6 * time.Second))))
		d.injectFault()
	}
	return d
}

func TestDirectoryOfAPartitionedMachineNamesNoDeadProxyForLong(t *testing.T) {
	inContact, longest := time.Duration(0), time.Duration(0)
	for seed := range uint64(10) {
		d := runDirectory(t, seed, 0)
		require.Less(t, d.longestInContact, maxReturnedAfterEnd, "seed %d", seed)
		inContact, longest = max(inContact, d.longestInContact), max(longest, d.longest)
	}
	t.Logf("dead proxies were returned for at most %v by machines in contact, %v by any machine", inContact, longest)
}

// Checks that the simulation detects the fault that reports count as fresh for five seconds longer.
func TestADirectoryThatNamesDeadProxiesForLongIsFound(t *testing.T) {
	require.GreaterOrEqual(t, runDirectory(t, 1, 5*time.Second).longestInContact, maxReturnedAfterEnd)
}
