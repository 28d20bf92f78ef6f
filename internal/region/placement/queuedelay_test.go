package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerAfter has each server answer queueSamples requests of a route after their own work and a delay in a queue.
func (f *fixture) answerAfter(delay time.Duration, routeName string) {
	for _, entry := range f.list {
		known := f.p.servers[entry.GetId()]
		for range queueSamples {
			request := f.request(routeName, PromptChunk{2, 172}, PromptChunk{9, 543})
			a := &attempt{server: known, request: *request, sentAt: f.now - delay}
			known.queues.observe(f.now, a)
		}
	}
}

// A request waits at the proxy while it would queue at every server for longer than its own work takes, and is sent when
// the queues that were measured have drained, whatever its target is.
func TestARequestWaitsWhileEveryServerHasAQueue(t *testing.T) {
	for _, target := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
		f := newFixture(t, 0, westAndEast())
		f.warm()
		f.answerAfter(time.Second, routeGreeting)
		request := f.greeting(1)
		route := *request.Route
		route.Target = target
		request.Route = &route
		placed, _, err := f.p.Place(f.now, request)
		require.NoError(t, err)
		require.NotZero(t, placed.Wait)
		own := f.p.ownLatency(f.p.servers[f.list[0].GetId()], &f.p.buffers.prompt)
		f.now += time.Second - own - time.Millisecond
		require.Empty(t, f.p.Advance(f.now))
		f.now += time.Millisecond
		assigned := f.p.Advance(f.now)
		require.Len(t, assigned, 1)
		require.NoError(t, assigned[0].Err)
	}
}

// Requests of a higher rank overtake those that queue at a server, so only the queues of their own rank and of higher ones
// hold them up.
func TestQueuesOfLowerRanksHoldNobodyUp(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.answerAfter(time.Second, routeGreeting)
	for _, one := range []struct {
		route string
		waits bool
	}{{routeGreeting, true}, {routeHelp, false}, {routeGreeting, true}, {routeSummary, false}} {
		placed, _, err := f.p.Place(f.now, f.request(one.route, PromptChunk{2, 172}, PromptChunk{9, 543}))
		require.NoError(t, err)
		require.Equal(t, one.waits, placed.Wait != 0, one.route)
	}
}

// One slow answer is no queue: the others of the server were not delayed.
func TestOneSlowAnswerIsNoQueue(t *testing.T) {
	var queue rankQueue
	for i := range 2 * queueSamples {
		queue.observe(queueSample{delay: time.Duration(i%queueSamples) * time.Second, at: time.Minute})
		require.Zero(t, queue.delay(time.Minute))
		require.False(t, queue.shown())
	}
}

// Without answers the measured queue ends by itself: refusals never keep a server without requests for ever.
func TestAMeasuredQueueDrains(t *testing.T) {
	var queue rankQueue
	for range queueSamples {
		queue.observe(queueSample{delay: 3 * time.Second, at: time.Minute})
	}
	require.Equal(t, time.Second, queue.delay(time.Minute+2*time.Second))
	require.Zero(t, queue.delay(time.Minute+3*time.Second))
}

// leastTime follows what is seldom undercut, in both directions.
func TestLeastTimeIsALowQuantile(t *testing.T) {
	var least leastTime
	require.Zero(t, least.estimate)
	least.observe(time.Second)
	require.Equal(t, time.Second, least.estimate)
	for i := range 2000 {
		least.observe(time.Duration(100+i*37%100) * time.Millisecond)
	}
	require.Less(t, least.estimate, 120*time.Millisecond)
	require.GreaterOrEqual(t, least.estimate, 95*time.Millisecond)
	least.observe(0)
	require.Positive(t, least.estimate)
}
