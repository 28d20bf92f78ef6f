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
	"fieldrelay/internal/gossip"
	"fieldrelay/internal/shuffle"
)

// steps is a core with the calls that it wants and that have not come back.
type coreDriver struct {
	t    *testing.T
	now  time.Duration
	core *core
	open []action
}

func newCoreDriver(t *testing.T, seeds ...string) *coreDriver {
	self := shuffle.Neighbour{Host: "edge-1", Address: "10.0.0.1:7661", Zone: "zone-a", Region: "region-a"}
	random := rand.New(rand.NewPCG(1, 1))
	who := identity{neighbour: self, incarnation: 1}
	return &coreDriver{t: t, core: newCore(who, seeds, 8*time.Second, random, zap.NewNop())}
}

func (s *coreDriver) step(happened event) {
	s.open = append(s.open, s.core.step(s.now, happened)...)
}

// take takes the first open call of a type.
func take[T action](s *coreDriver) (T, bool) {
	for i, open := range s.open {
		if call, ok := open.(T); ok {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			return call, true
		}
	}
	var none T
	return none, false
}

func takeOne[T action](s *coreDriver) T {
	s.t.Helper()
	call, ok := take[T](s)
	require.True(s.t, ok, "no such call: %T", call)
	return call
}

// takeWatch takes the first open call of a kind to a control machine.
func takeWatch(s *coreDriver, kind watchKind) watchCall {
	s.t.Helper()
	for i, open := range s.open {
		if call, ok := open.(watchCall); ok && call.kind == kind {
			s.open = append(s.open[:i:i], s.open[i+1:]...)
			return call
		}
	}
	require.Fail(s.t, "no such call to control")
	return watchCall{}
}

func (s *coreDriver) proxyAnswers(status *pb.ProxyStatus) {
	s.t.Helper()
	s.step(proxyCallDone{call: takeOne[proxyCall](s), status: status})
}

func TestFirstWatchWaitsForTheProxysStatus(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	_, watching := take[watchCall](s)
	require.False(t, watching)
	s.now += time.Millisecond
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	require.True(t, takeOne[watchCall](s).request.GetAgent().GetReady())
}

func TestFirstWatchWaitsNotForLong(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	require.LessOrEqual(t, s.core.nextTick(s.now), maxFirstWatchDelay)
	s.now = maxFirstWatchDelay
	s.step(tick{})
	require.False(t, takeOne[watchCall](s).request.GetAgent().GetReady())
}

func TestNoticeIsSentOnceForEachChangeOfReadiness(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	require.Equal(t, watchLongPoll, takeOne[watchCall](s).kind)

	s.now += exchangeInterval
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	notice := takeOne[watchCall](s)
	require.Equal(t, watchNotice, notice.kind)
	require.Zero(t, notice.request.GetHoldMs())
	require.True(t, notice.request.GetAgent().GetReady())
	s.step(watchDone{call: notice, response: &pb.WatchResponse{}})
	s.step(tick{})
	_, again := take[watchCall](s)
	require.False(t, again)
}

func TestNewProxyIsConfirmedByANotice(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.step(proxyCallDone{call: takeOne[proxyCall](s), err: errors.New("refused")})
	long := takeOne[watchCall](s)
	s.now += proxyRetryInterval
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	notice := takeOne[watchCall](s)
	require.Equal(t, watchNotice, notice.kind)

	s.now += time.Millisecond
	s.step(watchDone{call: long, response: &pb.WatchResponse{Authoritative: true}})
	require.False(t, s.core.proxy.confirmed, "asked before the proxy was known")
	s.step(watchDone{call: notice, response: &pb.WatchResponse{Authoritative: true}})
	require.True(t, takeOne[proxyCall](s).apply.GetConfirmed())
}

func TestStateBehindTheAgreedOneIsNotConfirmed(t *testing.T) {
	s := newCoreDriver(t, "core-1:1")
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	long := takeOne[watchCall](s)
	s.step(watchDone{call: long, response: &pb.WatchResponse{Authoritative: true, Sequence: 5, NeedDigests: true}})
	require.False(t, s.core.proxy.confirmed)
	next := takeOne[watchCall](s)
	require.NotNil(t, next.request.GetDigests())
	held := gossip.NewReplica()
	held.ApplyChanges([]*pb.Change{change(1), change(2), change(3), change(4), change(5)})
	s.step(watchDone{call: next, response: &pb.WatchResponse{
		Authoritative: true,
		Sequence:      5,
		Repair:        held.Snapshot().RepairFor(next.request.GetDigests()),
	}})
	apply := takeOne[proxyCall](s).apply
	require.True(t, apply.GetConfirmed())
	require.EqualValues(t, 5, apply.GetRepair().GetSequence(), "the confirmed state comes with the confirmation")
}

func TestEndIsToldToTwoControlMachines(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1", "core-3:1")
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	long := takeWatch(s, watchLongPoll)
	s.step(shutdownRequested{})
	first, second := takeWatch(s, watchNotice), takeWatch(s, watchNotice)
	require.Equal(t, long.address, first.address)
	require.NotEqual(t, long.address, second.address)
	for _, notice := range []watchCall{first, second} {
		require.True(t, notice.request.GetAgent().GetDraining())
		require.False(t, notice.request.GetAgent().GetReady())
	}
	require.False(t, s.core.finished(s.now))
}

// TestAProbeConfirmsWhatItsMachineHolds: it is asked as any other call is.
func TestAProbeConfirmsWhatItsMachineHolds(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	probe := takeWatch(s, watchProbe)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true, Sequence: 1}})
	require.False(t, s.core.proxy.confirmed, "it holds more")
	require.Nil(t, takeWatch(s, watchLongPoll).request.GetDigests(), "what it holds comes with the long poll")
}

// TestAHungNoticeDoesNotSilenceTheNext: the machine that it went to is gone, another one took its place.
func TestAHungNoticeDoesNotSilenceTheNext(t *testing.T) {
	s := newCoreDriver(t, "core-1:1", "core-2:1")
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	lost, probe := takeWatch(s, watchLongPoll), takeWatch(s, watchProbe)
	s.now += exchangeInterval
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	require.Equal(t, lost.address, takeWatch(s, watchNotice).address)
	s.step(watchDone{call: probe, response: &pb.WatchResponse{Authoritative: true}})
	require.Equal(t, probe.address, takeWatch(s, watchLongPoll).address)
	s.now += exchangeInterval
	s.step(tick{})
	s.proxyAnswers(&pb.ProxyStatus{Incarnation: 7})
	require.Equal(t, probe.address, takeWatch(s, watchNotice).address)
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
