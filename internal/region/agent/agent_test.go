package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/gossip"
)

func TestAgentUpdatesItsProxyFromControl(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	control.commit(change(1), change(2))
	control.update(func() { control.replica.OfferList(time.Second, serverList(1, "i-1")) })
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("state, list and confirmation", func() bool {
		return proxy.replica.Sequence() == 2 && proxy.replica.ListVersion() != nil && proxy.confirmed
	})
	control.commit(change(3))
	proxy.waitFor("a change", func() bool { return proxy.replica.Sequence() == 3 })
	control.update(func() { control.replica.OfferList(2*time.Second, serverList(2, "i-1", "i-2")) })
	proxy.waitFor("a list", func() bool { return proxy.replica.ListVersion().GetRevision() == 2 })
	control.waitForRequest(t, "with the proxy's sequence", func(request *pb.WatchRequest) bool {
		return request.GetAgent().GetSequence() == 3
	})
}

func TestRestartedProxyIsUpdatedAndConfirmedAgain(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	control.commit(change(1))
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("confirmation", func() bool { return proxy.replica.Sequence() == 1 && proxy.confirmed })
	proxy.restart()
	proxy.waitFor("confirmation again", func() bool { return proxy.replica.Sequence() == 1 && proxy.confirmed })
}

func TestRestartedAgentSendsNothingOlder(t *testing.T) {
	control, lagging, proxy := newFakeControl(t), newFakeControl(t), newFakeProxy(t)
	control.commit(change(1), change(2))
	control.update(func() { control.replica.OfferList(time.Second, serverList(2, "i-1", "i-2")) })
	first := startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("state and list", func() bool { return proxy.replica.Sequence() == 2 && proxy.replica.ListVersion() != nil })
	first.shutDown()
	first.requireEnded(t)

	lagging.commit(change(1))
	lagging.update(func() { lagging.replica.OfferList(time.Second, serverList(1, "i-1")) })
	startAgent(t, "edge-1", proxy.address, lagging.address)
	lagging.waitForRequest(t, "by an agent with the state of this machine", func(request *pb.WatchRequest) bool {
		return request.GetSequence() == 1 && request.GetAgent().GetSequence() == 2
	})
	lagging.commit(change(2), change(3))
	proxy.waitFor("the newer state", func() bool { return proxy.replica.Sequence() == 3 })
	require.EqualValues(t, 2, proxy.replica.ListVersion().GetRevision())
}

func TestReadinessIsReportedWithoutDelay(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("confirmation", func() bool { return proxy.confirmed })
	proxy.mu.Lock()
	proxy.ready = true
	proxy.mu.Unlock()
	control.waitForRequest(t, "in a request without a wait", func(request *pb.WatchRequest) bool {
		record := request.GetAgent()
		return record.GetReady() && record.GetEdgeAddress() == "10.0.0.1:8144" && request.GetHoldMs() == 0
	})
}

func TestProxyIsNeverConfirmedByAMachineWithoutTheAgreedState(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	control.authoritative = false
	control.commit(change(1))
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("the committed state, which does not depend on authority", func() bool { return proxy.replica.Sequence() == 1 })
	for range 4 {
		control.waitForRequest(t, "another one", func(*pb.WatchRequest) bool { return true })
	}
	require.False(t, proxy.confirmed)
	control.update(func() { control.authoritative = true })
	proxy.waitFor("confirmation", func() bool { return proxy.confirmed })
}

func TestAgentThatLagsFarIsRepairedByDigests(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	control.update(func() {
		older := gossip.NewReplica()
		older.ApplyChanges([]*pb.Change{change(1), change(2)})
		_, err := control.replica.Restore(nil, older.Snapshot().RepairFor(nil))
		require.NoError(t, err)
	})
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("the repaired state", func() bool { return proxy.replica.Sequence() == 2 })
	_, kept := proxy.replica.Snapshot().Get(catalog.KindRoutes, "route")
	require.True(t, kept)
}

func TestProxyThatCannotUseChangesIsRepaired(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	control.commit(change(1))
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("state", func() bool { return proxy.replica.Sequence() == 1 })
	proxy.mu.Lock()
	proxy.needsDigests = true
	proxy.repairs = 0
	proxy.mu.Unlock()
	control.commit(change(2))
	proxy.waitFor("a repair", func() bool { return proxy.replica.Sequence() == 2 && proxy.repairs == 1 })
}

func TestAgentMovesToAnotherControlMachine(t *testing.T) {
	live, proxy := newFakeControl(t), newFakeProxy(t)
	live.commit(change(1))
	startAgent(t, "edge-1", proxy.address, "127.0.0.1:1", live.address)
	proxy.waitFor("state", func() bool { return proxy.replica.Sequence() == 1 && proxy.confirmed })
}

func TestAgentPrefersVotersOfItsZone(t *testing.T) {
	far, near, proxy := newFakeControl(t), newFakeControl(t), newFakeProxy(t)
	far.view = &pb.View{Number: 1, Voters: []*pb.Replica{
		{Host: "core-1", Address: far.address, Zone: "zone-b", Region: "region-b"},
		{Host: "core-2", Address: near.address, Zone: "zone-a", Region: "region-a"},
	}}
	startAgent(t, "edge-1", proxy.address, far.address)
	near.waitForRequest(t, "by an agent of its zone", func(request *pb.WatchRequest) bool {
		return request.GetViewNumber() == 1 && request.GetHoldMs() > 0
	})
}

func TestSharesCountMembersAndTheAgentItself(t *testing.T) {
	control, proxy := newFakeControl(t), newFakeProxy(t)
	control.members = &pb.Members{Version: 7, Agents: []*pb.AgentRecord{
		{Host: "edge-2", AgeMs: 100},
		{Host: "edge-3", AgeMs: 59_000},
		{Host: "edge-4", AgeMs: 61_000},
	}}
	startAgent(t, "edge-1", proxy.address, control.address)
	proxy.waitFor("shares", func() bool { return proxy.quotaMembers.GetProxies() == 3 })
	require.Len(t, proxy.quotaMembers.GetMembers(), 3)
}

func TestAgentsPassUpdatesOnToThoseWithoutControl(t *testing.T) {
	control, first, second := newFakeControl(t), newFakeProxy(t), newFakeProxy(t)
	control.commit(change(1))
	cutOff := startAgent(t, "edge-2", second.address, "127.0.0.1:1")
	control.members = &pb.Members{Version: 1, Agents: []*pb.AgentRecord{
		{Host: "edge-2", AgentAddress: cutOff.address, Zone: "zone-a", Region: "region-a"},
	}}
	startAgent(t, "edge-1", first.address, control.address)
	first.waitFor("from control", func() bool { return first.replica.Sequence() == 1 })
	control.commit(change(2))
	second.waitFor("by gossip", func() bool { return second.replica.Sequence() == 2 })
	require.False(t, second.confirmed)
}

func TestShutdownNotifiesControlAndServesTheProxyToItsEnd(t *testing.T) {
	control, other, proxy := newFakeControl(t), newFakeControl(t), newFakeProxy(t)
	running := startWithGrace(t, 3*time.Second, "edge-1", proxy.address, control.address, other.address)
	proxy.waitFor("confirmation", func() bool { return proxy.confirmed })
	running.shutDown()
	for _, machine := range []*fakeControl{control, other} {
		machine.waitForRequest(t, "that reports the shutdown of the agent", func(request *pb.WatchRequest) bool {
			return request.GetAgent().GetDraining() && request.GetHoldMs() == 0
		})
		machine.commit(change(1))
	}
	proxy.waitFor("a change during the shutdown", func() bool { return proxy.replica.Sequence() == 1 })
	running.requireEnded(t)
}
