package controlserver

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/control"
)

// watched is the result of a call of Watch; took is its duration, by the fake clock in tests with synctest.
type watched struct {
	response *pb.WatchResponse
	err      error
	duration time.Duration
}

// watch calls Watch directly, without HTTP.
func watch(p *process, request *pb.WatchRequest) watched {
	return watchWith(context.Background(), newLinkService(p.node, p.soft, "control-1", p.shuttingDown), request)
}

func watchWith(ctx context.Context, link *linkService, request *pb.WatchRequest) watched {
	began := time.Now()
	response, err := link.Watch(ctx, connect.NewRequest(request))
	result := watched{err: err, duration: time.Since(began)}
	if err == nil {
		result.response = response.Msg
	}
	return result
}

// current returns a request of an agent that is up to date with the process.
func current(p *process) *pb.WatchRequest {
	status := p.node.Status()
	return &pb.WatchRequest{
		Agent:          testAgent("edge-1"),
		Sequence:       status.Committed.Sequence(),
		ViewNumber:     status.View.GetNumber(),
		MembersVersion: p.soft.Snapshot().members.Version(),
		MembersSource:  "control-1",
		List:           p.soft.Snapshot().list.Version(),
		HoldMs:         800,
	}
}

func TestWatchWaitsWithoutAnUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		got := watch(p, current(p))
		require.NoError(t, got.err)
		require.Equal(t, 800*time.Millisecond, got.duration)
		require.True(t, got.response.Authoritative)
		require.Equal(t, uint64(7), got.response.Generation)
		require.Empty(t, got.response.Changes)

		long := current(p)
		long.HoldMs = 60000
		require.Equal(t, maxWatchWait, watch(p, long).duration)
		none := current(p)
		none.HoldMs = 0
		require.Zero(t, watch(p, none).duration)
	})
}

func TestWatchSendsChangesAsTheyCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		request := current(p)
		time.AfterFunc(300*time.Millisecond, func() { replace(t, node, 7, 9) })
		got := watch(p, request)
		require.Equal(t, 300*time.Millisecond, got.duration)
		require.Len(t, got.response.Changes, 1)
		require.Equal(t, uint64(9), got.response.Generation)
		require.Equal(t, got.response.Changes[0].Sequence, got.response.Sequence)
	})
}

func TestWatchAtOnceWhenBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		replace(t, node, 7, 9)
		request := current(p)
		request.Sequence = 1
		got := watch(p, request)
		require.Zero(t, got.duration)
		require.Len(t, got.response.Changes, 1)
	})
}

func TestWatchSendsAnEmptyReplicaTheCompleteState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		request := current(p)
		request.Sequence = 0
		got := watch(p, request)
		restored, err := catalog.Empty().Restore(got.response.Repair)
		require.NoError(t, err)
		require.Equal(t, uint64(7), restored.Generation())
	})
}

func TestWatchRepairsAStaleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		old := node.Status().Committed
		replace(t, node, 7, 9)
		node.clearHistory()

		request := current(p)
		request.Sequence = old.Sequence()
		got := watch(p, request)
		require.Zero(t, got.duration)
		require.True(t, got.response.NeedDigests)
		require.Nil(t, got.response.Repair)

		request.Digests = old.Digests()
		got = watch(p, request)
		require.False(t, got.response.NeedDigests)
		restored, err := old.Restore(got.response.Repair)
		require.NoError(t, err)
		require.Equal(t, node.Status().Committed.Digests().String(), restored.Digests().String())
	})
}

func TestWatchEndsWhenAuthorityChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		time.AfterFunc(100*time.Millisecond, func() {
			node.updateStatus(func(status *control.Status) { status.Authoritative = false })
		})
		got := watch(p, current(p))
		require.Equal(t, 100*time.Millisecond, got.duration)
		require.False(t, got.response.Authoritative)
	})
}

func TestWatchSendsAView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		request := current(p)
		require.Nil(t, watch(p, request).response.View)
		node.updateStatus(func(status *control.Status) { status.View = &pb.View{Number: 2} })
		got := watch(p, request)
		require.Zero(t, got.duration)
		require.Equal(t, uint64(2), got.response.View.Number)
	})
}

// Guards against large data in the first response to an agent: while its first call is open, an agent also probes other
// machines, and cancels the call if one of them responds first, so that the data would be sent in vain.
func TestWatchSendsAnAgentThatKnowsNothingTheViewFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		replace(t, node, 0, 7)
		view := &pb.View{Number: 2, Voters: []*pb.Replica{{Identity: "a", Address: "10.0.0.1:7660"}}}
		node.updateStatus(func(status *control.Status) { status.View = view })
		request := &pb.WatchRequest{Agent: testAgent("edge-1"), HoldMs: 800}
		first := watch(p, request)
		require.NoError(t, first.err)
		require.Zero(t, first.duration)
		require.Equal(t, view, first.response.GetView())
		require.Equal(t, node.Status().Committed.Sequence(), first.response.GetSequence(), "the agent must know that its replica is not up to date")
		require.Nil(t, first.response.GetRepair())
		require.Nil(t, first.response.GetCompressed())
		require.Nil(t, first.response.GetMembers())

		request.ViewNumber = view.GetNumber()
		second := watch(p, request)
		require.Zero(t, second.duration)
		require.NotNil(t, second.response.GetRepair(), "the next response must have the state")
	})
}

func TestWatchSendsMembersOnceConverged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		request := current(p)
		request.MembersSource = "control-9"
		require.Nil(t, watch(p, request).response.Members, "members that may be incomplete must not be sent")

		advance(p, membersConvergenceTime)
		p.soft.ObserveAgent(testAgent("edge-2"), nil)
		p.tick()
		got := watch(p, request)
		require.Zero(t, got.duration)
		require.Len(t, got.response.Members.Agents, 2)
		require.Equal(t, "control-1", got.response.MembersSource)

		advance(p, membersNotifyInterval)
		request = current(p)
		time.AfterFunc(100*time.Millisecond, func() { p.soft.ObserveAgent(testAgent("edge-3"), nil) })
		time.AfterFunc(250*time.Millisecond, p.tick)
		got = watch(p, request)
		require.Equal(t, 250*time.Millisecond, got.duration, "agents must be notified of members at the next tick")
		require.Len(t, got.response.Members.Agents, 3)
	})
}

// TestMembersAreNotifiedOncePerInterval guards against excessive traffic while many machines start: each notification
// costs a transfer of the complete list to every agent.
func TestMembersAreNotifiedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		advance(p, membersConvergenceTime)
		ticks := time.NewTicker(tickInterval)
		defer ticks.Stop()
		ended := make(chan struct{})
		go func() {
			for index := range 12 {
				<-ticks.C
				p.soft.ObserveAgent(testAgent(fmt.Sprintf("edge-%d", index)), nil)
				p.tick()
			}
			close(ended)
		}()
		lists, request := 0, current(p)
		for began := time.Now(); time.Since(began) < 12*tickInterval; {
			answer := watch(p, request).response
			if answer.Members == nil {
				continue
			}
			lists++
			request.MembersSource, request.MembersVersion = answer.MembersSource, answer.Members.Version
		}
		<-ended
		require.InDelta(t, 12*tickInterval/membersNotifyInterval, lists, 1)
	})
}

// TestProbesFindAnAuthoritativeMachine guards against late or large responses to probes: a probe must be answered as
// soon as the machine is authoritative, without state.
func TestProbesFindAnAuthoritativeMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, node := newTestProcess(t)
		advance(p, membersConvergenceTime)
		replace(t, node, 0, 7)
		probe := &pb.WatchRequest{Agent: testAgent("edge-1"), HoldMs: 800, Probe: true}
		got := watch(p, probe)
		require.Zero(t, got.duration)
		require.True(t, got.response.Authoritative)
		require.Equal(t, node.Status().Committed.Sequence(), got.response.Sequence)
		require.Equal(t, uint64(1), got.response.View.Number)
		require.Nil(t, got.response.Repair)
		require.Nil(t, got.response.Members)
		require.Equal(t, 1, p.soft.Snapshot().members.Live())

		node.updateStatus(func(status *control.Status) { status.Authoritative = false })
		got = watch(p, probe)
		require.Zero(t, got.duration)
		require.Equal(t, uint64(1), got.response.View.Number, "the agent needs the voters of the view to probe them")
		probe.ViewNumber = 1
		require.Equal(t, 800*time.Millisecond, watch(p, probe).duration)
		time.AfterFunc(100*time.Millisecond, func() {
			node.updateStatus(func(status *control.Status) { status.Authoritative = true })
		})
		require.Equal(t, 100*time.Millisecond, watch(p, probe).duration)
	})
}

func TestWatchSendsTheServerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		request := current(p)
		version := &pb.ListVersion{Epoch: 3, Holder: "control-2", Revision: 1}
		list := &pb.ServerList{Version: version, AgeMs: 50, Servers: []*pb.Server{{Id: "i-1"}}}
		time.AfterFunc(100*time.Millisecond, func() { p.serverListReceived(list) })
		got := watch(p, request)
		require.Equal(t, 100*time.Millisecond, got.duration)
		require.Len(t, got.response.List.Servers, 1)
		require.Equal(t, uint32(50), got.response.List.AgeMs)

		got = watch(p, current(p))
		require.Equal(t, 800*time.Millisecond, got.duration)
		require.Empty(t, got.response.List.Servers, "a known version must only be confirmed")
		require.Equal(t, uint32(850), got.response.List.AgeMs)
	})
}

func TestWatchEndsWithTheProcessAndTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		got := watchWith(ctx, newLinkService(p.node, p.soft, "control-1", p.shuttingDown), current(p))
		require.Equal(t, connect.CodeCanceled, connect.CodeOf(got.err))
		require.Equal(t, 100*time.Millisecond, got.duration)

		time.AfterFunc(200*time.Millisecond, func() { close(p.shuttingDown) })
		got = watch(p, current(p))
		require.NoError(t, got.err)
		require.Equal(t, 200*time.Millisecond, got.duration)
		require.Equal(t, connect.CodeUnavailable, connect.CodeOf(watch(p, current(p)).err))
	})
}

func TestWatchRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newTestProcess(t)
		require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(watch(p, &pb.WatchRequest{}).err))

		link := newLinkService(p.node, p.soft, "control-1", p.shuttingDown)
		for range maxConcurrentWatches {
			go watchWith(context.Background(), link, current(p))
		}
		synctest.Wait()
		got := watchWith(context.Background(), link, current(p))
		require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(got.err))
		close(p.shuttingDown)
		synctest.Wait()
	})
}

func TestWatchOverTheWire(t *testing.T) {
	p, node := newTestProcess(t)
	replace(t, node, 0, 7)
	response, err := linkClient(t, p).Watch(t.Context(), connect.NewRequest(&pb.WatchRequest{Agent: testAgent("edge-1")}))
	require.NoError(t, err)
	require.Equal(t, uint64(7), response.Msg.Generation)
	require.NotNil(t, response.Msg.Repair)
	require.Equal(t, 1, p.soft.Snapshot().members.Live())
}
