package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/route"
)

// waitFixture is a fixture with one server of the plain service, all of whose connections are in use.
type waitFixture struct {
	*fixture
	running []AttemptID
}

func newWaitFixture(t testing.TB) *waitFixture {
	t.Helper()
	f := &waitFixture{fixture: newFixture(t, 0, []*pb.Server{listed(plainService, 1, zoneA)})}
	for {
		decision, err := f.p.Pick(f.now, f.plain(0, time.Second))
		if err != nil {
			var none *NoServerError
			require.ErrorAs(t, err, &none)
			require.Equal(t, ReasonFull, none.Reason)
			return f
		}
		f.running = append(f.running, decision.Attempt)
	}
}

// plain returns a request of a route of the plain service with a rank, whose client waits for a time from now on.
func (f *waitFixture) plain(rank int, timeLeft time.Duration) *Request {
	return &Request{
		Route:   &route.Route{Name: fmt.Sprintf("rank-%d", rank), Kind: route.KindIdempotent, Priority: rank, MaxAttempts: 2},
		Service: plainService, Deadline: f.now + timeLeft,
	}
}

// free ends one of the running attempts, without a sample of its latency.
func (f *waitFixture) free() {
	f.p.Finished(f.now, f.running[0], NotSent)
	f.running = f.running[1:]
}

// enqueue adds a request that must wait, and returns its ticket.
func (f *waitFixture) enqueue(t require.TestingT, request *Request) Placement {
	placed, displaced, err := f.p.Place(f.now, request)
	require.NoError(t, err)
	require.Nil(t, displaced)
	require.NotZero(t, placed.Wait)
	return placed
}

// assigned calls Advance and returns the tickets of the requests that got a server.
func (f *waitFixture) assigned(t require.TestingT) []WaitID {
	var got []WaitID
	for _, assignment := range f.p.Advance(f.now) {
		require.NoError(t, assignment.Err)
		f.running = append(f.running, assignment.Decision.Attempt)
		got = append(got, assignment.Wait)
	}
	return got
}

// A place that comes free goes to the request of the highest rank, and within a rank to the one with the least slack,
// whatever the order of arrival.
func TestAFreePlaceGoesByRankThenByLeastSlack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newWaitFixture(t)
		type expected struct {
			rank   int
			latest time.Duration
			id     WaitID
		}
		var order []expected
		for range rapid.IntRange(1, 40).Draw(rt, "requests") {
			f.now += time.Duration(rapid.IntRange(0, 20).Draw(rt, "gap")) * time.Millisecond
			rank := rapid.IntRange(0, 3).Draw(rt, "rank")
			placed := f.enqueue(rt, f.plain(rank, time.Duration(rapid.IntRange(2000, 9000).Draw(rt, "time left"))*time.Millisecond))
			order = append(order, expected{rank, placed.LatestStart, placed.Wait})
		}
		slices.SortStableFunc(order, func(a, b expected) int {
			if a.rank != b.rank {
				return a.rank - b.rank
			}
			return int(a.latest - b.latest)
		})
		for _, next := range order {
			f.free()
			require.Equal(rt, []WaitID{next.id}, f.assigned(rt))
		}
		require.Zero(rt, f.p.Waiting())
		_, waits := f.p.NextCheck()
		require.False(rt, waits)
	})
}

// A request that arrives when a place has just come free does not overtake those that wait.
func TestANewRequestDoesNotOvertakeWaitingOnes(t *testing.T) {
	f := newWaitFixture(t)
	first := f.enqueue(t, f.plain(1, 3*time.Second))
	f.free()
	require.Equal(t, []WaitID{first.Wait}, f.assigned(t))
	f.enqueue(t, f.plain(1, time.Second))
}

// Latency targets tell when an answer is in time, not how long its client waits.
func TestWaitsFollowTheTimeOfTheClientAndNotTheTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newWaitFixture(t)
		timeLeft := time.Duration(rapid.IntRange(50, 20_000).Draw(rt, "time left")) * time.Millisecond
		target := time.Duration(rapid.IntRange(10, 5000).Draw(rt, "target")) * time.Millisecond
		var waits []time.Duration
		for _, scaled := range []time.Duration{target / 2, target, 2 * target, 0} {
			request := f.plain(1, timeLeft)
			request.Route.Target = scaled
			waits = append(waits, f.enqueue(rt, request).LatestStart-f.now)
		}
		require.Equal(rt, slices.Repeat([]time.Duration{timeLeft}, len(waits)), waits)
	})
}

// A request is refused at once if even an idle server could not answer it in the time that its client has left, and
// waits if one could.
func TestWhoCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 1, zoneA)})
	const least = 300 * time.Millisecond
	for range 5 {
		request := f.request(routeBalance)
		decision := f.pick(request)
		f.now += least
		f.p.Finished(f.now, decision.Attempt, Done)
	}
	for _, one := range []struct {
		timeLeft time.Duration
		refused  bool
	}{{least - time.Millisecond, true}, {least, false}, {least + time.Second, false}} {
		request := f.request(routeBalance)
		request.Deadline = f.now + one.timeLeft
		placed, _, err := f.p.Place(f.now, request)
		var late *TooLateError
		if one.refused {
			require.ErrorAs(t, err, &late)
			require.Equal(t, TooLateError{Service: plainService, TimeLeft: one.timeLeft, WorkLeft: least}, *late)
			continue
		}
		require.NoError(t, err)
		require.Zero(t, placed.Wait)
	}
}

// The work that is left includes the tokens to prefill that no server has cached, and the rest of the answer after its
// first event.
func TestTheLatestStartLeavesTimeForThePromptAndTheWholeAnswer(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	const tail, tokens = 400 * time.Millisecond, 20
	for i := range 10 {
		request := f.greeting(i)
		request.MaxOutputTokens = tokens
		decision := f.pick(request)
		f.now += decision.Expected
		f.p.Started(f.now, decision.Attempt)
		f.now += tail
		f.p.Finished(f.now, decision.Attempt, Done)
	}
	request := f.greeting(99)
	request.MaxOutputTokens = 2 * tokens
	prefill := f.p.services[modelService].prefill.duration(543)
	require.Equal(t, request.Deadline-baseLatency-prefill-2*tail, f.p.latestStart(request))

	request.FirstEventDeadline = f.now + time.Second
	require.Equal(t, request.FirstEventDeadline-baseLatency-prefill, f.p.latestStart(request),
		"the client gives up a silent stream before the deadline")
}

// A request that waits gets a place as long as a start is in time, and none afterwards.
func TestAWaitEndsWithTheLatestStart(t *testing.T) {
	f := newWaitFixture(t)
	late, inTime := f.enqueue(t, f.plain(0, time.Second)), f.enqueue(t, f.plain(1, 2*time.Second))
	f.now = late.LatestStart + 1
	f.free()
	ended := f.p.Advance(f.now)
	require.Len(t, ended, 2)
	require.Equal(t, late.Wait, ended[0].Wait)
	var none *NoServerError
	require.ErrorAs(t, ended[0].Err, &none)
	require.Equal(t, inTime.Wait, ended[1].Wait)
	require.NoError(t, ended[1].Err)
}

// A client that leaves frees its place in the queue at once.
func TestWithdrawnRequestsGetNoPlace(t *testing.T) {
	f := newWaitFixture(t)
	left, stays := f.enqueue(t, f.plain(0, time.Second)), f.enqueue(t, f.plain(1, time.Second))
	withdrawn, reason := f.p.Withdraw(left.Wait)
	require.True(t, withdrawn)
	require.Error(t, reason)
	f.free()
	require.Equal(t, []WaitID{stays.Wait}, f.assigned(t))
	withdrawn, _ = f.p.Withdraw(stays.Wait)
	require.False(t, withdrawn, "its wait has ended")
}

// The configuration may remove a service while requests wait for its servers that are warming up.
func TestWaitsEndAfterTheirServiceIsRemoved(t *testing.T) {
	for name, end := range map[string]func(f *fixture, id WaitID) error{
		"the client leaves": func(f *fixture, id WaitID) error {
			_, reason := f.p.Withdraw(id)
			return reason
		},
		"the latest start passes": func(f *fixture, _ WaitID) error {
			f.now += time.Hour
			return f.p.Advance(f.now)[0].Err
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, warmingUpServers(3, time.Minute))
			var placed Placement
			for i := 0; placed.Wait == 0; i++ {
				var err error
				placed, _, err = f.p.Place(f.now, f.greeting(i))
				require.NoError(t, err)
			}
			f.p.SetTable(f.now, route.Empty())
			var none *NoServerError
			require.ErrorAs(t, end(f, placed.Wait), &none)
			require.Equal(t, ReasonWarmingUp, none.Reason)
			require.Zero(t, none.RetryAfter)
			require.Zero(t, f.p.Waiting())
		})
	}
}

// Requests that other servers can take are not held up by one that waits for the server that it has not tried yet.
func TestARequestThatTriedAServerDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 1, zoneA), listed(plainService, 2, zoneA)})
	second := "plain-" + zoneA + "-2"
	request := func(excluded ...string) *Request {
		made := f.request(routeBalance)
		made.Excluded = excluded
		return made
	}
	var first []AttemptID
	for {
		decision, err := f.p.Pick(f.now, request())
		if err != nil {
			break
		}
		if decision.ServerID != second {
			first = append(first, decision.Attempt)
		}
	}
	onlySecond, _, err := f.p.Place(f.now, request("plain-"+zoneA+"-1"))
	require.NoError(t, err)
	either, _, err := f.p.Place(f.now, request())
	require.NoError(t, err)
	f.p.Finished(f.now, first[0], NotSent)
	assigned := f.p.Advance(f.now)
	require.Len(t, assigned, 1)
	require.Equal(t, either.Wait, assigned[0].Wait)
	require.NotZero(t, onlySecond.Wait)
}

// Under a lasting load of a rank, no route of that rank waits for ever while others of its rank are served.
func TestNoRouteOfARankWaitsForEver(t *testing.T) {
	f := newWaitFixture(t)
	patient := f.enqueue(t, f.plain(1, 5*time.Second))
	for f.now < patient.LatestStart {
		f.now += 10 * time.Millisecond
		f.enqueue(t, f.plain(1, time.Second))
		f.free()
		if slices.Contains(f.assigned(t), patient.Wait) {
			return
		}
	}
	t.Fatal("the patient request was overtaken until its time was over")
}

// The queue is bounded. In a full queue the lowest rank gives way.
func TestAFullQueueKeepsTheHighestRanks(t *testing.T) {
	f := newWaitFixture(t)
	lowest := f.enqueue(t, f.plain(3, 9*time.Second))
	for range maxWaiting - 1 {
		f.enqueue(t, f.plain(2, time.Second))
	}
	placed, displaced, err := f.p.Place(f.now, f.plain(1, time.Second))
	require.NoError(t, err)
	require.NotZero(t, placed.Wait)
	require.Equal(t, lowest.Wait, displaced.Wait)
	require.Error(t, displaced.Err)
	_, displaced, err = f.p.Place(f.now, f.plain(3, time.Second))
	require.Error(t, err)
	require.Nil(t, displaced)
	require.Equal(t, maxWaiting, f.p.Waiting())
}

// BenchmarkPlaceWithTenThousandWaiting measures the placement of one more request while no server can take any, its
// assignment and the end of an attempt.
func BenchmarkPlaceWithTenThousandWaiting(b *testing.B) {
	f := newWaitFixture(b)
	for i := range 10_000 {
		f.enqueue(b, f.plain(i%4, time.Hour+time.Duration(i)*time.Millisecond))
	}
	b.ReportAllocs()
	for b.Loop() {
		f.now += time.Millisecond
		f.enqueue(b, f.plain(1, time.Hour))
		f.free()
		if got := f.assigned(b); len(got) != 1 {
			b.Fatal(got)
		}
	}
}
