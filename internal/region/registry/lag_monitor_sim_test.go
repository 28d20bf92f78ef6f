package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	followHosts = 10
	followStep  = 50 * time.Millisecond
	followTime  = 2 * time.Minute
	// longestDelivery is the maximum time from the commit of a change until the proxy of an agent in contact has it.
	longestDelivery = 800 * time.Millisecond
)

// followingEdge simulates an edge whose proxies apply the changes of one control machine within longestDelivery while
// their agents can reach it. Agents are partitioned, and proxies restart.
type followingEdge struct {
	random    *rand.Rand
	now       time.Duration
	monitor   *LagMonitor
	committed uint64
	hosts     []*followingHost
	events    []Action
}

type followingHost struct {
	name             string
	sequence         uint64
	partitionedUntil time.Duration
	reportAt         time.Duration
	arrivesAt        time.Duration // arrival time of the changes in transit; 0: there are none
	arriving         uint64        // sequence of the last change in transit
	stuck            bool          // injected fault: the proxy applies no changes
	reportInterval   time.Duration // maximum time between two reports
}

func newFollowingEdge(seed uint64) *followingEdge {
	e := &followingEdge{random: rand.New(rand.NewPCG(seed, 11)), monitor: NewLagMonitor()}
	e.monitor.SetBounds(testBounds)
	for index := range followHosts {
		e.hosts = append(e.hosts, &followingHost{name: fmt.Sprint("edge-", index), reportInterval: time.Second})
	}
	return e
}

func (e *followingEdge) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(e.random.Int64N(int64(limit)))
}

func (e *followingEdge) step() {
	e.now += followStep
	if e.random.IntN(10) == 0 {
		e.committed++
		e.monitor.RecordCommit(e.now, e.committed)
	}
	for _, host := range e.hosts {
		e.injectFault(host)
		if e.now >= host.partitionedUntil {
			e.follow(host)
		}
	}
	e.events = append(e.events, e.monitor.Step(e.now)...)
}

// injectFault may partition a host or restart its proxy.
func (e *followingEdge) injectFault(host *followingHost) {
	switch e.random.IntN(600) {
	case 0:
		host.partitionedUntil = e.now + e.randomBelow(5*time.Second)
		host.arrivesAt = 0
		host.reportAt = host.partitionedUntil + e.randomBelow(300*time.Millisecond)
	case 1:
		host.sequence = 0
		host.arrivesAt = 0
	}
}

// follow delivers the changes in transit to a host in contact, and its reports to the monitor.
func (e *followingEdge) follow(host *followingHost) {
	if host.arrivesAt > 0 && e.now >= host.arrivesAt {
		host.sequence = max(host.sequence, host.arriving)
		host.arrivesAt = 0
		host.reportAt = min(host.reportAt, e.now+e.randomBelow(100*time.Millisecond))
	}
	if host.arrivesAt == 0 && host.sequence < e.committed && !host.stuck {
		host.arriving = e.committed
		host.arrivesAt = e.now + e.randomBelow(longestDelivery)
	}
	if e.now < host.reportAt {
		return
	}
	host.reportAt = e.now + host.reportInterval
	record := agentRecord(host.name, 1)
	record.Sequence = host.sequence
	e.events = append(e.events, e.monitor.Observe(e.now, record)...)
}

func (e *followingEdge) run() {
	for e.now < followTime {
		e.step()
	}
}

// Guards against false violations: proxies that apply changes while their agents are in contact must never exceed the
// bound, even with partitions and restarts.
func TestProxiesThatFollowNeverExceedTheBound(t *testing.T) {
	lagging := 0
	for seed := range uint64(40) {
		e := newFollowingEdge(seed)
		e.run()
		require.Zero(t, e.monitor.Stats(e.now).Violations, "seed %d", seed)
		for _, event := range e.events {
			if _, is := event.(AgentLagging); is {
				lagging++
			}
		}
	}
	require.Positive(t, lagging, "the runs must include proxies that lag after a partition")
}

// Guards against an undetected violation: a proxy that applies no changes must be detected, even if reports are rare
// because the calls of its agent time out.
func TestProxyThatTakesNoChangesIsFound(t *testing.T) {
	for _, reportedBy := range []time.Duration{time.Second, 2200 * time.Millisecond, 2900 * time.Millisecond} {
		for seed := range uint64(10) {
			e := newFollowingEdge(seed)
			e.hosts[3].stuck = true
			e.hosts[3].reportInterval = reportedBy
			e.run()
			found := 0
			for _, event := range e.events {
				if exceeded, is := event.(ProxyBoundExceeded); is {
					require.Equal(t, "edge-3", exceeded.Host)
					found++
				}
			}
			require.Positive(t, found, "seed %d, report interval %s", seed, reportedBy)
		}
	}
}
