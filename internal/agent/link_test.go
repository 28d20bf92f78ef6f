package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
)

func testLink(seeds ...string) *link {
	made := newLink(testTargets(seeds...), rand.New(rand.NewPCG(1, 1)))
	return &made
}

func (l *link) nextAt(now time.Duration) *watchCall {
	return l.next(now, &pb.AgentRecord{}, catalog.Empty(), false)
}

func TestOneLongPollAtATime(t *testing.T) {
	l := testLink("a:1")
	call := l.nextAt(0)
	require.EqualValues(t, watchHold/time.Millisecond, call.request.GetHoldMs())
	require.Nil(t, l.nextAt(time.Second))
	l.answered(time.Second, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.NotNil(t, l.nextAt(time.Second))
}

func TestFailureMovesOnWithGrowingBackoff(t *testing.T) {
	l := testLink("a:1", "b:1")
	now := time.Second
	for failures := range 12 {
		call := l.nextAt(now)
		require.NotNil(t, call)
		l.failed(now, *call)
		require.NotEqual(t, call.address, l.current)
		backoff := min(shortestBackoff<<failures, longestBackoff)
		require.GreaterOrEqual(t, l.due-now, backoff/2)
		require.LessOrEqual(t, l.due-now, backoff+backoff/2)
		require.Nil(t, l.nextAt(l.due-1))
		now = l.due
	}
}

func TestMachineWithoutTheAgreedStateIsLeftAfterAWhile(t *testing.T) {
	l := testLink("a:1", "b:1")
	now := time.Second
	first := l.nextAt(now)
	for {
		now += doubtfulHold
		l.answered(now, *first, &pb.WatchResponse{}, watchOutcome{})
		if l.current != first.address {
			break
		}
		require.Less(t, now, time.Second+doubtfulFor+2*doubtfulHold)
		call := l.nextAt(now)
		require.EqualValues(t, doubtfulHold/time.Millisecond, call.request.GetHoldMs())
	}
	require.GreaterOrEqual(t, now, time.Second+doubtfulFor)
	require.EqualValues(t, watchHold/time.Millisecond, l.nextAt(now).request.GetHoldMs())
}

func TestAnswersWithoutNewsMakeNoTightLoop(t *testing.T) {
	l := testLink("a:1")
	call := l.nextAt(0)
	l.answered(time.Millisecond, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.Nil(t, l.nextAt(emptyPause))
	require.NotNil(t, l.nextAt(emptyPause+time.Millisecond))
}

func TestNextWatchWaitsALittleForTheProxy(t *testing.T) {
	l := testLink("a:1")
	call := l.nextAt(0)
	l.answered(time.Second, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{news: true})
	require.Nil(t, l.next(time.Second, &pb.AgentRecord{}, catalog.Empty(), true))
	due, waiting := l.wake(true)
	require.True(t, waiting)
	require.NotNil(t, l.next(due, &pb.AgentRecord{}, catalog.Empty(), true))
}

func TestDigestsFollowWhenTheyAreNeeded(t *testing.T) {
	l := testLink("a:1")
	call := l.nextAt(0)
	require.Nil(t, call.request.GetDigests())
	l.answered(0, *call, &pb.WatchResponse{Authoritative: true, NeedDigests: true}, watchOutcome{behind: true})
	call = l.nextAt(0)
	require.NotNil(t, call.request.GetDigests())
	require.NotNil(t, call.base)
	l.answered(0, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{news: true})
	require.Nil(t, l.nextAt(0).request.GetDigests())
}

func TestOnlyNewerViewsAreTaken(t *testing.T) {
	l := testLink("a:1")
	require.True(t, l.takeView(&pb.View{Number: 2, Voters: []*pb.Replica{voter("b:1", "", "")}}))
	require.False(t, l.takeView(&pb.View{Number: 1, Voters: []*pb.Replica{voter("c:1", "", "")}}))
	require.False(t, l.takeView(&pb.View{Number: 3}))
	require.False(t, l.takeView(nil))
	require.True(t, l.targets.known("b:1"))
	require.True(t, l.targets.known("a:1"), "a seed")
	require.False(t, l.targets.known("c:1"))
}

func TestSeedThatIsGoneIsLeft(t *testing.T) {
	l := testLink("a:1")
	call := l.nextAt(0)
	l.targets.seeds = []string{"b:1"}
	l.answered(time.Second, *call, &pb.WatchResponse{Authoritative: true}, watchOutcome{})
	require.Equal(t, "b:1", l.nextAt(time.Second).address)
}
