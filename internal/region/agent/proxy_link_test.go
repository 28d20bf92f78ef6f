package agent

import (
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/gossip"
	"fieldrelay/internal/region/shuffle"
)

// proxyLinkFixture is a proxy link with the replica and the membership that it reads.
type proxyLinkFixture struct {
	t       *testing.T
	now     time.Duration
	link    proxyLink
	replica *gossip.Replica
	members membership
}

func newProxyLinkFixture(t *testing.T) *proxyLinkFixture {
	t.Helper()
	return &proxyLinkFixture{
		t:       t,
		now:     time.Second,
		replica: gossip.NewReplica(),
		members: newMembership(shuffle.Neighbour{Host: "self"}, 5),
	}
}

func (f *proxyLinkFixture) nextCall() *proxyCall {
	return f.link.nextCall(f.now, f.replica, &f.members)
}

// exchange completes the call that is due with a status, and returns the request, nil if the call was a Status.
func (f *proxyLinkFixture) exchange(status *pb.ProxyStatus) *pb.ApplyRequest {
	f.t.Helper()
	call := f.nextCall()
	require.NotNil(f.t, call)
	f.link.handleDone(f.now, proxyCallDone{call: *call, status: status})
	return call.apply
}

func (f *proxyLinkFixture) fail() {
	f.t.Helper()
	call := f.nextCall()
	require.NotNil(f.t, call)
	f.link.handleDone(f.now, proxyCallDone{call: *call, err: errors.New("refused")})
}

func TestFirstIsAStatus(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.replica.ApplyChanges([]*pb.Change{change(1), change(2)})
	require.Nil(t, f.exchange(&pb.ProxyStatus{Incarnation: 7, Sequence: 1}))
	apply := f.exchange(&pb.ProxyStatus{Incarnation: 7, Sequence: 2})
	require.Len(t, apply.GetChanges(), 1)
	require.EqualValues(t, 2, apply.GetChanges()[0].GetSequence())
}

func TestProxyThatIsAheadGetsNothing(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.replica.ApplyChanges([]*pb.Change{change(1)})
	f.replica.OfferList(0, serverList(1, "i-1"))
	f.link.confirmed = true
	ahead := &pb.ProxyStatus{Incarnation: 7, Sequence: 5, List: &pb.ListVersion{Epoch: 9}}
	f.exchange(ahead)
	f.link.confirm(f.now)
	require.Nil(t, f.nextCall(), "neither state, nor list, nor confirmation")
	f.now += exchangeInterval
	require.Nil(t, f.exchange(ahead))
}

func TestProxyWithDigestsGetsARepair(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.replica.ApplyChanges([]*pb.Change{change(1)})
	f.exchange(&pb.ProxyStatus{Incarnation: 7, Digests: &pb.RangeDigests{}})
	apply := f.exchange(&pb.ProxyStatus{Incarnation: 7, Sequence: 1})
	require.Empty(t, apply.GetChanges())
	require.Len(t, apply.GetRepair().GetRanges(), catalog.RangeCount)
}

func TestUpdateNotTakenIsNotResentAtOnce(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.replica.ApplyChanges([]*pb.Change{change(1)})
	stuck := &pb.ProxyStatus{Incarnation: 7}
	f.exchange(stuck)
	require.NotNil(t, f.exchange(stuck))
	require.Nil(t, f.nextCall())
	f.now += exchangeInterval
	require.NotNil(t, f.exchange(stuck))
	f.replica.ApplyChanges([]*pb.Change{change(2)})
	require.Len(t, f.exchange(stuck).GetChanges(), 2, "a newer update is sent at once")
}

func TestUnreachableProxyIsQueriedForItsStatusFirst(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.exchange(&pb.ProxyStatus{Incarnation: 7, Ready: true})
	require.True(t, f.link.ready())
	f.replica.ApplyChanges([]*pb.Change{change(1)})
	f.fail()
	require.False(t, f.link.ready())
	require.Nil(t, f.nextCall())
	f.now += proxyRetryInterval
	require.Nil(t, f.exchange(&pb.ProxyStatus{Incarnation: 8}), "a status")
	require.NotNil(t, f.exchange(&pb.ProxyStatus{Incarnation: 8, Sequence: 1}))
}

func TestConfirmationIsForOneIncarnation(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.link.confirm(f.now)
	require.False(t, f.link.confirmed, "no proxy is known")
	f.exchange(&pb.ProxyStatus{Incarnation: 7})
	f.link.confirm(f.now - 1)
	require.False(t, f.link.confirmed, "requested before the proxy was discovered")
	f.link.confirm(f.now)
	require.True(t, f.exchange(&pb.ProxyStatus{Incarnation: 7}).GetConfirmed())
	require.Nil(t, f.nextCall(), "delivered once")
	f.now += exchangeInterval
	f.exchange(&pb.ProxyStatus{Incarnation: 8})
	require.True(t, f.link.awaitsConfirmation())
	require.Nil(t, f.nextCall())
}

func TestSharesAreSentWhenKnownAndNotTooOften(t *testing.T) {
	f := newProxyLinkFixture(t)
	status := &pb.ProxyStatus{Incarnation: 7}
	f.exchange(status)
	require.Nil(t, f.nextCall(), "none are known")
	f.members.update(f.now, "core-1", members(1, "a"))
	require.EqualValues(t, 2, f.exchange(status).GetQuotaMembers().GetProxies())
	f.members.update(f.now, "core-1", members(2, "a", "b"))
	require.Nil(t, f.nextCall())
	f.now += minQuotaMembersInterval
	require.EqualValues(t, 3, f.exchange(status).GetQuotaMembers().GetProxies())
}

// An abandoned call may reach the proxy after a later one and overwrite newer shares. The agent must therefore resend
// the shares until the proxy reports them, rather than rely on the delivery.
func TestSharesAreResentUntilTheProxyReportsThem(t *testing.T) {
	f := newProxyLinkFixture(t)
	holds := func(revision uint64) *pb.ProxyStatus {
		return &pb.ProxyStatus{Incarnation: 7, Shares: &pb.QuotaMembersVersion{Agent: 5, Revision: revision}}
	}
	f.exchange(&pb.ProxyStatus{Incarnation: 7})
	f.members.update(f.now, "core-1", members(1, "a"))
	require.NotNil(t, f.exchange(holds(1)).GetQuotaMembers())
	f.now += minQuotaMembersInterval
	f.members.update(f.now, "core-1", members(2, "a", "b"))
	require.NotNil(t, f.exchange(holds(1)).GetQuotaMembers(), "applied, and then overwritten by the previous shares")
	require.Nil(t, f.nextCall(), "not at once")
	f.now += minQuotaMembersInterval
	require.EqualValues(t, 2, f.exchange(holds(2)).GetQuotaMembers().GetVersion().GetRevision())
	f.now += minQuotaMembersInterval
	require.Nil(t, f.exchange(holds(2)), "a status")
}

func TestShutdownWaitsForTheProxyWithinTheGracePeriod(t *testing.T) {
	const grace = 8 * time.Second
	f := newProxyLinkFixture(t)
	f.exchange(&pb.ProxyStatus{Incarnation: 7})
	var e shutdown
	require.False(t, e.finished(f.now, &f.link, 0))
	e.begin(f.now, grace, &f.link)
	require.False(t, e.finished(f.now, &f.link, 0))
	require.True(t, e.finished(f.now+grace-graceMargin, &f.link, 1), "the grace period is nearly over")

	f.now += exchangeInterval
	f.fail()
	require.False(t, e.finished(f.now, &f.link, 0), "the proxy may become reachable again")
	require.False(t, e.finished(f.now+proxyExitTimeout, &f.link, 1), "a notice to a control machine is in flight")
	require.True(t, e.finished(f.now+proxyExitTimeout, &f.link, 0))

	f.now += proxyRetryInterval
	f.exchange(&pb.ProxyStatus{Incarnation: 8})
	require.True(t, e.finished(f.now, &f.link, 0), "another incarnation of the proxy")
}

// Once the proxy has exited, the agent must exit at once: both are restarted after the same delay, and a proxy that
// starts before its agent serves no requests until the agent has started.
func TestShutdownFollowsAProxyThatHasEnded(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.exchange(&pb.ProxyStatus{Incarnation: 7})
	var e shutdown
	e.begin(f.now, 8*time.Second, &f.link)
	f.now += shutdownExchangeInterval
	f.exchange(&pb.ProxyStatus{Incarnation: 7, Draining: true})
	f.now += shutdownExchangeInterval
	call := f.nextCall()
	require.NotNil(t, call)
	f.link.handleDone(f.now, proxyCallDone{call: *call, err: connect.NewError(connect.CodeUnavailable, syscall.ECONNREFUSED)})
	require.True(t, e.finished(f.now, &f.link, 0))
}

// A proxy that was restarted after its last status must not accept a confirmation that was requested before the
// restart: each Apply names the incarnation of the proxy for which it is meant.
func TestApplyIsMeantForOneProcess(t *testing.T) {
	f := newProxyLinkFixture(t)
	f.replica.ApplyChanges([]*pb.Change{change(1)})
	f.exchange(&pb.ProxyStatus{Incarnation: 7, Sequence: 1})
	f.link.confirm(f.now)
	apply := f.exchange(&pb.ProxyStatus{Incarnation: 8})
	require.True(t, apply.GetConfirmed())
	require.EqualValues(t, 7, apply.GetProxyIncarnation())
	apply = f.exchange(&pb.ProxyStatus{Incarnation: 8, Sequence: 1})
	require.False(t, apply.GetConfirmed())
	require.EqualValues(t, 8, apply.GetProxyIncarnation())
}
