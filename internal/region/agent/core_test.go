package agent

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// coreDriver steps a core and collects the calls that the core returns. Tests take the pending calls and post their
// results.
type coreDriver struct {
	t       *testing.T
	now     time.Duration
	core    *core
	pending []action
}

func newCoreDriver(t *testing.T, seeds ...string) *coreDriver {
	t.Helper()
	self := shuffle.Neighbour{Host: "edge-1", Address: "10.0.0.1:7661", Zone: "zone-a", Region: "region-a"}
	random := rand.New(rand.NewPCG(1, 1))
	return &coreDriver{t: t, core: newCore(identity{neighbour: self, incarnation: 1}, seeds, 8*time.Second, random, zap.NewNop())}
}

func (s *coreDriver) step(received event) {
	s.pending = append(s.pending, s.core.step(s.now, received)...)
}

// takeMatching removes and returns the first pending call of type T for which matches returns true.
func takeMatching[T action](s *coreDriver, matches func(call T) bool) (T, bool) {
	for i, pending := range s.pending {
		if call, ok := pending.(T); ok && matches(call) {
			s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
			return call, true
		}
	}
	var none T
	return none, false
}

// takeCall removes and returns the first pending call of type T.
func takeCall[T action](s *coreDriver) (T, bool) {
	return takeMatching(s, func(T) bool { return true })
}

// requireCall is like takeCall, but fails the test if there is no such call.
func requireCall[T action](s *coreDriver) T {
	s.t.Helper()
	call, ok := takeCall[T](s)
	require.True(s.t, ok, "no pending call of type %T", call)
	return call
}

// requireWatch removes and returns the first pending watchCall of a kind, and fails the test if there is none.
func requireWatch(s *coreDriver, kind watchKind) watchCall {
	s.t.Helper()
	call, ok := takeMatching(s, func(call watchCall) bool { return call.kind == kind })
	require.True(s.t, ok, "no pending watch call of the requested kind")
	return call
}

// proxyResponds completes the pending call to the proxy with a status.
func (s *coreDriver) proxyResponds(status *pb.ProxyStatus) {
	s.t.Helper()
	s.step(proxyCallDone{call: requireCall[proxyCall](s), status: status})
}

func TestFirstWatchWaitsForTheProxysStatus(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	_, watching := takeCall[watchCall](s)
	require.False(t, watching)
	s.now += time.Millisecond
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	require.True(t, requireCall[watchCall](s).request.GetAgent().GetReady())
}

func TestFirstWatchIsNotDelayedForLong(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	require.LessOrEqual(t, s.core.nextTick(s.now), maxFirstWatchDelay)
	s.now = maxFirstWatchDelay
	s.step(tick{})
	require.False(t, requireCall[watchCall](s).request.GetAgent().GetReady())
}

func TestNoticeIsSentOnceForEachChangeOfReadiness(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	require.Equal(t, watchLongPoll, requireCall[watchCall](s).kind)

	s.now += exchangeInterval
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	notice := requireCall[watchCall](s)
	require.Equal(t, watchNotice, notice.kind)
	require.Zero(t, notice.request.GetHoldMs())
	require.True(t, notice.request.GetAgent().GetReady())
	s.step(watchDone{call: notice, response: &pb.WatchResponse{}})
	s.step(tick{})
	_, again := takeCall[watchCall](s)
	require.False(t, again)
}

func TestNewProxyIsConfirmedByANotice(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.step(proxyCallDone{call: requireCall[proxyCall](s), err: errors.New("refused")})
	long := requireCall[watchCall](s)
	s.now += proxyRetryInterval
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	notice := requireCall[watchCall](s)
	require.Equal(t, watchNotice, notice.kind)

	s.now += time.Millisecond
	s.step(watchDone{call: long, response: &pb.WatchResponse{Authoritative: true}})
	require.False(t, s.core.proxy.confirmed, "requested before the proxy was discovered")
	s.step(watchDone{call: notice, response: &pb.WatchResponse{Authoritative: true}})
	require.True(t, requireCall[proxyCall](s).apply.GetConfirmed())
}

func TestStateBehindTheAgreedOneIsNotConfirmed(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	long := requireCall[watchCall](s)
	s.step(watchDone{call: long, response: &pb.WatchResponse{Authoritative: true, Sequence: 5, NeedDigests: true}})
	require.False(t, s.core.proxy.confirmed)
	next := requireCall[watchCall](s)
	require.NotNil(t, next.request.GetDigests())
	replica := gossip.NewReplica()
	replica.ApplyChanges([]*pb.Change{change(1), change(2), change(3), change(4), change(5)})
	s.step(watchDone{call: next, response: &pb.WatchResponse{
		Authoritative: true,
		Sequence:      5,
		Repair:        replica.Snapshot().RepairFor(next.request.GetDigests()),
	}})
	apply := requireCall[proxyCall](s).apply
	require.True(t, apply.GetConfirmed())
	require.EqualValues(t, 5, apply.GetRepair().GetSequence(), "the confirmed state is sent with the confirmation")
}

func TestShutdownIsReportedToTwoControlMachines(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1", "core-3:1")
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	long := requireWatch(s, watchLongPoll)
	s.step(shutdownRequested{})
	first, second := requireWatch(s, watchNotice), requireWatch(s, watchNotice)
	require.Equal(t, long.address, first.address)
	require.NotEqual(t, long.address, second.address)
	for _, notice := range []watchCall{first, second} {
		require.True(t, notice.request.GetAgent().GetDraining())
		require.False(t, notice.request.GetAgent().GetReady())
	}
	require.False(t, s.core.finished(s.now))
}

// An authoritative response to a probe does not confirm the state if its machine has a newer one. The newer state is
// requested by the long poll, without digests.
func TestAProbeConfirmsWhatItsMachineHolds(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	probe := requireWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true, Sequence: 1}})
	require.False(t, s.core.proxy.confirmed, "the probed machine has newer state")
	require.Nil(t, requireWatch(s, watchLongPoll).request.GetDigests(), "the long poll requests the state without digests")
}

// A notice to a machine that no longer responds stays in flight. It must not suppress a notice to the machine that has
// become the current one.
func TestHungNoticeDoesNotSuppressTheNext(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	lost, probe := requireWatch(s, watchLongPoll), requireWatch(s, watchProbe)
	s.now += exchangeInterval
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	require.Equal(t, lost.address, requireWatch(s, watchNotice).address)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true}})
	require.Equal(t, probe.address, requireWatch(s, watchLongPoll).address)
	s.now += exchangeInterval
	s.step(tick{})
	s.proxyResponds(&pb.ProxyStatus{Incarnation: 7})
	require.Equal(t, probe.address, requireWatch(s, watchNotice).address)
}

func TestNeighbourThatFailsIsDroppedAndABusyOneStays(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.core.partialView.Step(0, shuffle.MembersReceived{Members: []shuffle.Neighbour{
		{Host: "edge-2", Address: "a:1"},
		{Host: "edge-3", Address: "b:1"},
	}})
	call := compareCall{gossip.Compare{To: shuffle.Neighbour{Host: "edge-2"}}}
	s.step(compareDone{call: call, err: connect.NewError(connect.CodeResourceExhausted, errBusy)})
	require.Len(t, s.core.partialView.Neighbours(), 2)
	s.step(compareDone{call: call, err: connect.NewError(connect.CodeUnavailable, errors.New("reset"))})
	require.Len(t, s.core.partialView.Neighbours(), 1)
	require.EqualValues(t, 2, s.core.counters.peerFailures)
}

func TestFullQueueRefusesCallsOfOthers(t *testing.T) {
	inbox := make(chan event, 1)
	inbox <- tick{}
	_, err := peerService{events: inbox}.Compare(context.Background(), connect.NewRequest(&pb.CompareRequest{}))
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(err))
	require.ErrorIs(t, err, errBusy)
}
