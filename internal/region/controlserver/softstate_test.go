package controlserver

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/route"
)

// heartbeatBetween delivers the soft state in a heartbeat from one process to another.
func heartbeatBetween(from, to *process) {
	agents, list := from.soft.Report()
	to.heartbeatReceived(nil, &pb.Heartbeat{Agents: agents, List: list})
}

func TestAgentsAndListsReachOtherControlMachines(t *testing.T) {
	first, node := newTestProcess(t)
	second, _ := newTestProcess(t)
	first.soft.ObserveAgent(testAgent("edge-1"), nil)
	heartbeatBetween(first, second)
	require.Equal(t, 1, second.soft.Snapshot().members.Live())

	first.settings.current.Store(withPlatform(platform(t, map[string]string{"": `{"servers":[` + entry + `]}`})))
	first.tick()
	advance(first, 500*time.Millisecond)
	require.Len(t, node.broadcast, 1, "the list must be polled immediately")
	heartbeatBetween(second, first)
	require.Len(t, node.broadcast, 1, "the list is still in transit")
	advance(first, 500*time.Millisecond)
	heartbeatBetween(second, first)
	require.Len(t, node.broadcast, 2, "the list must be sent again to a machine without it")

	second.serverListReceived(node.broadcast[1])
	require.Equal(t, 1, second.soft.Snapshot().list.Len())
	advance(first, 500*time.Millisecond)
	heartbeatBetween(second, first)
	require.Len(t, node.broadcast, 3)
	require.Empty(t, node.broadcast[2].Servers, "the next poll must only confirm the list")
}

func TestMembersConvergeAgainAfterAStall(t *testing.T) {
	p, _ := newTestProcess(t)
	p.tick()
	advance(p, membersConvergenceTime)
	p.soft.ObserveAgent(testAgent("edge-1"), nil)
	require.True(t, p.soft.Snapshot().converged)
	require.NotEmpty(t, p.soft.Endpoints(registry.Client{}, 0))

	p.started = p.started.Add(-stallThreshold)
	p.tick()
	advance(p, stallGracePeriod)
	p.soft.ObserveAgent(testAgent("edge-1"), nil)
	require.False(t, p.soft.Snapshot().converged)
	require.Empty(t, p.soft.Endpoints(registry.Client{}, 0), "the first few proxies would attract all clients")
	advance(p, directoryConvergenceTime)
	require.NotEmpty(t, p.soft.Endpoints(registry.Client{}, 0))
	advance(p, membersConvergenceTime)
	require.True(t, p.soft.Snapshot().converged)
}

// Guards against addresses of failed proxies after a stall: reports that were queued during the stall are about
// machines that may have failed since then.
func TestReportsQueuedDuringAStallAddNoAddresses(t *testing.T) {
	p, _ := newTestProcess(t)
	p.tick()
	advance(p, membersConvergenceTime)
	p.started = p.started.Add(-20 * time.Second)
	report := func() {
		p.soft.ObserveAgent(testAgent("edge-1"), nil)
		p.soft.Heartbeat(&pb.Heartbeat{Agents: []*pb.AgentRecord{testAgent("edge-2")}})
	}
	report()
	require.Zero(t, p.soft.Snapshot().members.Len(), "reports before the first tick after a stall must be ignored")
	p.tick()
	report()
	require.Zero(t, p.soft.Snapshot().members.Len())
	advance(p, stallGracePeriod)
	report()
	require.Equal(t, 2, p.soft.Snapshot().members.Len())
}

// TestEarlyAddressesAreOfTheClientsRegion guards against clients that a recently started control machine, which has not
// observed all proxies yet, sends to other regions.
func TestEarlyAddressesAreOfTheClientsRegion(t *testing.T) {
	p, _ := newTestProcess(t)
	p.tick()
	for _, host := range []string{"edge-1", "edge-2"} {
		record := testAgent(host)
		record.Region = "west"
		p.soft.ObserveAgent(record, nil)
	}
	require.Len(t, p.soft.Endpoints(registry.Client{Region: "west", HomeRegions: route.HomeRegions{Unreadable: true}}, 0), 2)
	require.Empty(t, p.soft.Endpoints(registry.Client{Region: "east", HomeRegions: route.HomeRegions{Unreadable: true}}, 0), "the proxies of the client's region may not have been observed yet")
	require.Len(t, p.soft.Endpoints(registry.Client{Region: "east"}, 0), 2, "any proxy may serve the client")
	advance(p, directoryConvergenceTime)
	require.Len(t, p.soft.Endpoints(registry.Client{Region: "east", HomeRegions: route.HomeRegions{Unreadable: true}}, 0), 2, "the client's region has no proxy")
}

// TestManyAgentsWakeTheOthersOnce guards against repeated notifications: agents must be notified once of members that
// change between two ticks.
func TestManyAgentsWakeTheOthersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		p.tick()
		advance(p, membersConvergenceTime)
		changed := p.soft.Changed()
		for _, host := range []string{"edge-1", "edge-2", "edge-3"} {
			p.soft.ObserveAgent(testAgent(host), nil)
		}
		select {
		case <-changed:
			require.Fail(t, "notified before the tick")
		default:
		}
		p.tick()
		<-changed
		changed = p.soft.Changed()
		p.tick()
		select {
		case <-changed:
			require.Fail(t, "notified without an update")
		default:
		}
	})
}

func TestTheListIsNotReadWithoutAViewOrAPlatform(t *testing.T) {
	p, node := newTestProcess(t)
	advance(p, 5*time.Second)
	require.Zero(t, p.pollsSucceeded.Load()+p.pollsFailed.Load(), "no platform is known")
	p.settings.current.Store(withPlatform("127.0.0.1:1"))
	node.status.Founded = false
	advance(p, 5*time.Second)
	require.Zero(t, p.pollsSucceeded.Load()+p.pollsFailed.Load(), "no view is known")
	node.status.Founded = true
	advance(p, time.Second)
	require.Positive(t, p.pollsFailed.Load())
	require.Nil(t, p.soft.Snapshot().list)
}
