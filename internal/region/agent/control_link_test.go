package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

func newTestControlLink(seeds ...string) *controlLink {
	link := newControlLink(newTestEndpoints(seeds...), rand.New(rand.NewPCG(1, 1)))
	return &link
}

func (l *controlLink) nextLongPollAt(now time.Duration) *watchCall {
	return l.nextWatch(now, &pb.AgentRecord{}, catalog.Empty(), false)
}

func TestOneLongPollAtATime(t *testing.T) {
	l := newTestControlLink("a:1")
	call := l.nextLongPollAt(0)
	require.EqualValues(t, watchWait/time.Millisecond, call.request.GetHoldMs())
	require.Nil(t, l.nextLongPollAt(time.Second))
	l.handleResponse(time.Second, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.NotNil(t, l.nextLongPollAt(time.Second))
}

func TestFailureMovesOnWithGrowingBackoff(t *testing.T) {
	l := newTestControlLink("a:1", "b:1")
	now := time.Second
	for failures := range 12 {
		call := l.nextLongPollAt(now)
		require.NotNil(t, call)
		l.handleFailure(now, *call, errors.New("refused"))
		require.NotEqual(t, call.address, l.current)
		backoff := min(minBackoff<<failures, maxBackoff)
		require.GreaterOrEqual(t, l.nextLongPoll-now, backoff/2)
		require.LessOrEqual(t, l.nextLongPoll-now, backoff+backoff/2)
		require.Nil(t, l.nextLongPollAt(l.nextLongPoll-1))
		now = l.nextLongPoll
	}
}

func TestMachineWithoutAuthorityIsAbandonedAfterItsTimeout(t *testing.T) {
	l := newTestControlLink("a:1", "b:1")
	now := time.Second
	first := l.nextLongPollAt(now)
	for {
		now += nonAuthoritativeWait
		l.handleResponse(now, *first, &pb.WatchResponse{}, watchOutcome{})
		if l.current != first.address {
			break
		}
		require.Less(t, now, time.Second+nonAuthoritativeTimeout+2*nonAuthoritativeWait)
		call := l.nextLongPollAt(now)
		require.EqualValues(t, nonAuthoritativeWait/time.Millisecond, call.request.GetHoldMs())
		require.Equal(t, first.address, call.address)
		first = call
	}
	require.GreaterOrEqual(t, now, time.Second+nonAuthoritativeTimeout)
	require.EqualValues(t, watchWait/time.Millisecond, l.nextLongPollAt(now).request.GetHoldMs())
}

func TestEmptyResponsesMakeNoTightLoop(t *testing.T) {
	l := newTestControlLink("a:1")
	now, pause := time.Duration(0), minEmptyBackoff
	for range 12 {
		call := l.nextLongPollAt(now)
		require.NotNil(t, call)
		now += time.Millisecond
		l.handleResponse(now, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
		require.Nil(t, l.nextLongPollAt(now+pause-1))
		now += pause
		pause = min(2*pause, maxEmptyBackoff)
	}
	l.handleResponse(now, *l.nextLongPollAt(now), &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.NotNil(t, l.nextLongPollAt(now))
}

func TestNearerMachineIsPreferredAfterTheMinimumTenure(t *testing.T) {
	l := newTestControlLink("far:1")
	l.adoptView(&pb.View{Number: 1, Voters: []*pb.Replica{voter("far:1", "zone-c", "region-b"), voter("near:1", "zone-a", "region-a")}})
	l.switchTo(0, "far:1")
	for now := time.Duration(0); now < minTenure; now += 50 * time.Millisecond {
		call := l.nextLongPollAt(now)
		require.Equal(t, "far:1", call.address)
		l.handleResponse(now, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	}
	l.handleResponse(minTenure, *l.nextLongPollAt(minTenure), &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.Equal(t, "near:1", l.nextLongPollAt(minTenure).address)
}

func TestNextWatchWaitsALittleForTheProxy(t *testing.T) {
	l := newTestControlLink("a:1")
	call := l.nextLongPollAt(0)
	l.handleResponse(time.Second, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.Nil(t, l.nextWatch(time.Second, &pb.AgentRecord{}, catalog.Empty(), true))
	due := l.nextDue(true)
	require.NotNil(t, l.nextWatch(due, &pb.AgentRecord{}, catalog.Empty(), true))
}

func TestDigestsFollowWhenTheyAreNeeded(t *testing.T) {
	l := newTestControlLink("a:1")
	call := l.nextLongPollAt(0)
	require.Nil(t, call.request.GetDigests())
	l.handleResponse(0, *call, &pb.WatchResponse{Authoritative: true, NeedDigests: true}, watchOutcome{moreAvailable: true})
	call = l.nextLongPollAt(0)
	require.NotNil(t, call.request.GetDigests())
	require.NotNil(t, call.base)
	l.handleResponse(0, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.Nil(t, l.nextLongPollAt(0).request.GetDigests())
}

func TestOnlyNewerViewsAreTaken(t *testing.T) {
	l := newTestControlLink("a:1")
	require.True(t, l.adoptView(&pb.View{Number: 2, Voters: []*pb.Replica{voter("b:1", "", "")}}))
	require.False(t, l.adoptView(&pb.View{Number: 1, Voters: []*pb.Replica{voter("c:1", "", "")}}))
	require.False(t, l.adoptView(&pb.View{Number: 3}))
	require.False(t, l.adoptView(nil))
	require.True(t, l.endpoints.known("b:1"))
	require.True(t, l.endpoints.known("a:1"), "a seed")
	require.False(t, l.endpoints.known("c:1"))
}

func TestSeedThatIsGoneIsLeft(t *testing.T) {
	l := newTestControlLink("a:1")
	call := l.nextLongPollAt(0)
	l.endpoints.seeds = []string{"b:1"}
	l.handleResponse(time.Second, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.Equal(t, "b:1", l.nextLongPollAt(time.Second).address)
}

func (l *controlLink) nextProbeAt(now time.Duration) *watchCall {
	return l.nextProbe(now, &pb.AgentRecord{}, catalog.Empty())
}

// newEstablishedLink returns a link whose current control machine has responded with authority.
func newEstablishedLink(t *testing.T, now time.Duration, seeds ...string) *controlLink {
	t.Helper()
	l := newTestControlLink(seeds...)
	l.handleResponse(now, *l.nextLongPollAt(now), &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.True(t, l.established)
	return l
}

// When all machines start at once, some control machines may have no power yet: an agent without an established link
// must not try them one after the other.
func TestAgentWithoutALinkProbesSeveralMachinesAtOnce(t *testing.T) {
	l := newTestControlLink("a:1", "b:1", "c:1", "d:1", "e:1", "f:1", "g:1")
	require.Nil(t, l.nextProbeAt(0), "the long poll comes first")
	long := l.nextLongPollAt(0)
	probed := map[string]bool{long.address: true}
	var probes []*watchCall
	for call := l.nextProbeAt(0); call != nil; call = l.nextProbeAt(0) {
		require.True(t, call.request.GetProbe())
		require.False(t, probed[call.address])
		probed[call.address] = true
		probes = append(probes, call)
	}
	require.Len(t, probes, maxProbes)

	now := 100 * time.Millisecond
	l.handleResponse(now, *probes[0], &pb.WatchResponse{}, watchOutcome{})
	require.Equal(t, long.address, l.current, "the probed machine has no authority")
	l.handleResponse(now, *probes[1], &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	next := l.nextLongPollAt(now)
	require.Equal(t, probes[1].address, next.address)
	require.Nil(t, l.nextProbeAt(now))

	l.handleFailure(now, *long, errDialTimeout)
	require.Equal(t, next.address, l.current, "the failure of an abandoned call changes nothing")
	require.True(t, l.inFlight)
	l.handleResponse(now, *next, &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.Equal(t, next.address, l.nextLongPollAt(now).address)
}

// A network partition closes no connection: a machine that stops responding must be replaced before its long poll times
// out.
func TestSilentMachineIsReplacedBeforeItsCallEnds(t *testing.T) {
	l := newEstablishedLink(t, 0, "a:1", "b:1")
	silent := l.nextLongPollAt(0)
	overdue := watchWait + overdueMargin
	require.Nil(t, l.nextProbeAt(overdue-1))
	require.Equal(t, overdue, l.nextDue(false))
	probe := l.nextProbeAt(overdue)
	require.NotEqual(t, silent.address, probe.address)
	now := overdue + 50*time.Millisecond
	l.handleResponse(now, *probe, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	next := l.nextLongPollAt(now)
	require.Equal(t, probe.address, next.address)
	require.Less(t, now, silent.started+silent.timeout)
	l.handleResponse(now, *next, &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.Equal(t, probe.address, l.current, "the link does not return to the silent machine soon")
}

func TestMachinesAreProbedWhileTheCurrentOneLacksTheAgreedState(t *testing.T) {
	l := newEstablishedLink(t, 0, "a:1", "b:1")
	call := l.nextLongPollAt(0)
	now := time.Second
	l.handleResponse(now, *call, &pb.WatchResponse{}, watchOutcome{})
	require.NotNil(t, l.nextLongPollAt(now))
	require.Nil(t, l.nextProbeAt(now+nonAuthoritativeProbeDelay-1), "no machine has authority while the view changes")
	probe := l.nextProbeAt(now + nonAuthoritativeProbeDelay)
	l.handleResponse(now+nonAuthoritativeProbeDelay, *probe, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.Equal(t, probe.address, l.nextLongPollAt(now+nonAuthoritativeProbeDelay).address)
}

func TestMachineThatHoldsTheAgreedStateIsNotLeftForAProbe(t *testing.T) {
	l := newTestControlLink("a:1", "b:1")
	long, probe := l.nextLongPollAt(0), l.nextProbeAt(0)
	l.handleResponse(0, *long, &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	l.handleResponse(0, *probe, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.Equal(t, long.address, l.nextLongPollAt(0).address)
}

// Dial timeouts are short at first, so that a machine without power does not delay the link, and grow for machines that
// are far away.
func TestDialsAreShortAtFirst(t *testing.T) {
	l := newTestControlLink("a:1")
	now := time.Duration(0)
	before := time.Duration(0)
	for range 8 {
		call := l.nextLongPollAt(now)
		require.GreaterOrEqual(t, call.dialTimeout, before)
		require.LessOrEqual(t, call.dialTimeout, maxDialTimeout)
		before = call.dialTimeout
		l.handleFailure(now, *call, errDialTimeout)
		now = l.nextLongPoll
	}
	require.Equal(t, maxDialTimeout, before)
	l.handleResponse(now, *l.nextLongPollAt(now), &pb.WatchResponse{Authoritative: true}, watchOutcome{updated: true})
	require.Equal(t, minDialTimeout, l.nextLongPollAt(now).dialTimeout)

	l = newTestControlLink("a:1")
	l.handleFailure(0, *l.nextLongPollAt(0), errors.New("refused"))
	require.Equal(t, minDialTimeout, l.nextLongPollAt(l.nextLongPoll).dialTimeout, "a refused connection does not time out")
}

// Probes must not form a tight loop, whatever the machines respond.
func TestProbesAreNoTightLoop(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	l := newTestControlLink("a:1", "b:1", "c:1", "d:1")
	l.nextLongPollAt(0)
	count := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		call := l.nextProbeAt(now)
		if call == nil {
			continue
		}
		count++
		if random.IntN(2) == 0 {
			l.handleFailure(now, *call, errDialTimeout)
		}
	}
	require.Less(t, count, 10*40)
	require.LessOrEqual(t, len(l.probes.inFlight), maxProbes)
}

// The only machine with authority may be farther away than others that respond without it: every machine must be probed
// in turn.
func TestEveryMachineIsProbedInItsTurn(t *testing.T) {
	l := newTestControlLink("seed:1")
	l.adoptView(&pb.View{Number: 1, Voters: []*pb.Replica{
		voter("near-1:1", "zone-a", "region-a"),
		voter("near-2:1", "zone-a", "region-a"),
		voter("near-3:1", "zone-a", "region-a"),
		voter("middle:1", "zone-b", "region-a"),
		voter("far:1", "zone-c", "region-b"),
	}})
	l.nextLongPollAt(0)
	now, probeCounts := time.Duration(0), make(map[string]int)
	for probeCounts["far:1"] < 2 {
		require.Less(t, now, 2*time.Second)
		for call := l.nextProbeAt(now); call != nil; call = l.nextProbeAt(now) {
			probeCounts[call.address]++
		}
		now += probeWait
		for len(l.probes.inFlight) > 0 {
			l.handleResponse(now, watchCall{kind: watchProbe, address: l.probes.inFlight[0]}, &pb.WatchResponse{}, watchOutcome{})
		}
	}
	require.Len(t, probeCounts, 5)
	require.LessOrEqual(t, len(l.probes.nonAuthoritative), 5)
}
