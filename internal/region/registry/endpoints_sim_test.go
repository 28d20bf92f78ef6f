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

// Parameters of the simulated edge.
const (
	edgeHosts    = 12
	edgeRegions  = 4
	controlHosts = 3
	stepTime     = 100 * time.Millisecond
	// watchTime is the maximum time between two calls of a running agent.
	watchTime = time.Second
	// heartbeatTime is the maximum delay of a control machine's report.
	heartbeatTime = 300 * time.Millisecond
	// warmUp is the time until control machines have received reports of all agents.
	warmUp = 2 * time.Second
	// partitionsUntil is the time after which no control machine is partitioned.
	partitionsUntil = 30 * time.Second
)

// simulatedEdge is an edge whose machines are killed, shut down and started. They report to control machines, some of
// which are partitioned from the others.
type simulatedEdge struct {
	random      *rand.Rand
	now         time.Duration
	control     []*Agents
	partitioned []bool
	running     []bool
	records     []*pb.AgentRecord // record that each machine reports about itself
	reportedAt  []time.Duration
	linkedTo    []int           // index of the control machine that each machine reports to
	ended       []time.Duration // time at which each machine last stopped running
	killed      []time.Duration // time at which each machine was last killed; longAgo if never
	transit     []report
}

// report is a control machine's report in transit.
type report struct {
	arrives time.Duration
	from    int
	records []*pb.AgentRecord
}

const longAgo = -time.Hour

func newSimulatedEdge(seed uint64) *simulatedEdge {
	e := &simulatedEdge{random: rand.New(rand.NewPCG(seed, 7))}
	for range controlHosts {
		e.control = append(e.control, NewAgents(uint64(len(e.control))<<32))
		e.partitioned = append(e.partitioned, false)
	}
	for host := range edgeHosts {
		// The last region has a single machine.
		region := min(host/3, edgeRegions-1)
		if host >= 3*(edgeRegions-1) && host < edgeHosts-1 {
			region = 0
		}
		zone := fmt.Sprintf("r%d-z%d", region, host%2)
		e.records = append(e.records, recordIn(fmt.Sprintf("e%02d", host), zone, fmt.Sprintf("r%d", region)))
		e.running = append(e.running, true)
		e.reportedAt = append(e.reportedAt, longAgo)
		e.ended = append(e.ended, 0)
		e.killed = append(e.killed, longAgo)
		e.linkedTo = append(e.linkedTo, host%controlHosts)
	}
	return e
}

// report lets a machine's agent report to its control machine.
func (e *simulatedEdge) report(host int) {
	e.reportedAt[host] = e.now
	e.control[e.linkedTo[host]].Observe(e.now, e.records[host])
}

// step advances the time by stepTime, injects at most one fault and delivers the reports that are due.
func (e *simulatedEdge) step() {
	e.now += stepTime
	e.injectFault(e.random.IntN(edgeHosts))
	for host := range e.records {
		due := e.now-e.reportedAt[host] >= watchTime || e.random.IntN(5) == 0
		if e.running[host] && due {
			e.report(host)
		}
	}
	e.exchange()
	for _, agents := range e.control {
		agents.Refresh(e.now)
	}
}

// injectFault may kill, shut down, start or reconnect one machine, partition a control machine, or heal partitions.
func (e *simulatedEdge) injectFault(host int) {
	switch draw := e.random.IntN(30); {
	case draw == 0 && e.running[host]:
		e.running[host], e.ended[host], e.killed[host] = false, e.now, e.now
	case draw == 1 && e.running[host]: // SIGTERM: control is notified at once
		e.records[host].Draining, e.records[host].Ready = true, false
		e.report(host)
		e.running[host], e.ended[host] = false, e.now
	case draw <= 4 && !e.running[host]:
		e.records[host] = recordIn(e.records[host].Host, e.records[host].Zone, e.records[host].Region)
		e.records[host].Incarnation = uint64(e.now)
		e.running[host] = true
		e.report(host)
	case draw == 5 && e.running[host]:
		e.linkedTo[host] = e.random.IntN(controlHosts)
		e.report(host)
	case draw == 6 && e.now < partitionsUntil:
		which := e.random.IntN(controlHosts)
		e.partitioned[which] = !e.partitioned[which]
	case e.now >= partitionsUntil:
		clear(e.partitioned)
	}
}

// exchange sends and delivers reports between the control machines that are not partitioned.
func (e *simulatedEdge) exchange() {
	for from, agents := range e.control {
		records := agents.Report(e.now)
		if !e.partitioned[from] {
			e.transit = append(e.transit, report{e.now + time.Duration(e.random.Int64N(int64(heartbeatTime))), from, records})
		}
	}
	e.transit = slices.DeleteFunc(e.transit, func(one report) bool {
		if one.arrives > e.now {
			return false
		}
		for to, agents := range e.control {
			if to != one.from && !e.partitioned[to] {
				agents.Merge(e.now, one.records)
			}
		}
		return true
	})
}

// TestDirectoryNamesNoStoppedMachineAndNoneTooFar guards against a directory that returns stopped or distant
// machines while machines are killed, shut down or partitioned. A control machine, even a partitioned one, must not
// return a machine that stopped longer ago than agents count as live. It may return machines of other regions only if
// the client's region has none, or has recently lost one by a kill or by the partition.
func TestDirectoryNamesNoStoppedMachineAndNoneTooFar(t *testing.T) {
	var near, far, spillover, stopped int
	for seed := range uint64(20) {
		e := newSimulatedEdge(seed)
		lastPartition := warmUp - recentLossWindow - FailureTimeout
		for range 600 {
			e.step()
			if slices.Contains(e.partitioned, true) {
				lastPartition = e.now
			}
			for index, agents := range e.control {
				for region := range edgeRegions {
					name := fmt.Sprintf("r%d", region)
					answer := agents.Refresh(e.now).Endpoints(e.now, Client{Region: name, Zone: name + "-z0", HomeRegions: unreadableHomes}, uint64(e.now))
					stopped += e.checkRunning(t, seed, answer)
					switch e.checkNear(t, seed, index, name, answer, lastPartition) {
					case reachNear:
						near++
					case reachFar:
						far++
					case reachSpillover:
						spillover++
					}
				}
			}
		}
	}
	require.Positive(t, near)
	require.Positive(t, far, "the runs must include regions without a proxy")
	require.Positive(t, spillover, "the runs must include regions that have recently lost a proxy")
	require.Positive(t, stopped, "a stopped machine must be returned until it counts as lost")
}

// checkRunning requires that no machine among the addresses stopped longer ago than a stopped machine may count as
// live. It returns the number of stopped machines among the addresses.
func (e *simulatedEdge) checkRunning(t *testing.T, seed uint64, addresses []string) (stopped int) {
	t.Helper()
	for host, record := range e.records {
		if e.running[host] || !slices.Contains(addresses, record.EdgeAddress) {
			continue
		}
		stopped++
		require.Less(t, e.now-e.ended[host], FailureTimeout+heartbeatTime+stepTime, "seed %d: %s", seed, record.Host)
	}
	return stopped
}

// reach classifies the regions of the machines in a response of the directory.
type reach int

const (
	reachUnconverged reach = iota // a control machine was partitioned recently, so the response is not classified
	reachNear                     // all machines are in the client's region
	reachFar                      // there are machines of other regions, and none of the client's region
	reachSpillover                // there are machines of the client's region and of other regions
)

// checkNear classifies a response. If it has addresses of the client's region and of other regions, a machine of the
// client's region must have been killed recently.
func (e *simulatedEdge) checkNear(t *testing.T, seed uint64, index int, region string, addresses []string, lastPartition time.Duration) reach {
	t.Helper()
	if e.now-lastPartition <= recentLossWindow+FailureTimeout {
		return reachUnconverged
	}
	near, own := true, false
	killed := longAgo
	for host, record := range e.records {
		named := slices.Contains(addresses, record.EdgeAddress)
		if record.Region != region {
			near = near && !named
			continue
		}
		own = own || named
		killed = max(killed, e.killed[host])
	}
	switch {
	case near:
		return reachNear
	case !own:
		return reachFar
	}
	require.Less(t, e.now-killed, recentLossWindow+heartbeatTime+stepTime, "seed %d, control machine %d: %v", seed, index, addresses)
	return reachSpillover
}
