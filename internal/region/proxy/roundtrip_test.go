package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/route"
)

// exchangeOf returns the exchange of a request that has just arrived, with a time left until its deadline.
func exchangeOf(kind route.Kind, target, timeLeft time.Duration) *exchange {
	matched := &route.Route{Kind: kind, Target: target}
	return &exchange{
		handler: &handler{roundTrips: newRoundTrips()}, route: matched, arrivedAt: time.Now(),
		deadline: time.Now().Add(timeLeft), attempts: attemptLog{idempotent: matched.IsIdempotent()},
	}
}

// When a server counts as unreachable follows from the round trips to its region and from the client's time, not from the target.
func TestTimeoutsOfConnectionsFollowTheRoundTripAndNotTheTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		target := time.Duration(rapid.IntRange(10, 4000).Draw(rt, "target")) * time.Millisecond
		way := time.Duration(rapid.IntRange(1, 300).Draw(rt, "way")) * time.Millisecond
		for _, scaled := range []time.Duration{0, target / 2, target, 2 * target} {
			x := exchangeOf(route.KindIdempotent, scaled, 5*time.Second)
			before := x.connectTimeouts("r")
			require.Equal(rt, initialRetransmitTimeout, before.Dial, "no connection was made yet")
			for range 100 {
				x.handler.roundTrips.observe("r", way)
			}
			timeouts := x.connectTimeouts("r")
			require.InDelta(rt, max(way, minRetransmitTimeout), timeouts.Dial, float64(time.Millisecond))
			require.Equal(rt, lossTimeouts*timeouts.Dial, timeouts.Unacknowledged)
			require.Equal(rt, before, x.connectTimeouts("another region"))
		}
	})
}

// A request that may run only once can't be sent elsewhere: its server has as much time as its client.
func TestARequestThatRunsOnceWaitsForItsServerAsLongAsItsClientDoes(t *testing.T) {
	const slack = 50 * time.Millisecond
	for _, one := range []struct {
		kind     route.Kind
		timeLeft time.Duration
		want     time.Duration
	}{
		{route.KindMutating, 9 * time.Second, 9 * time.Second},
		{route.KindMutating, time.Second, time.Second},
		{route.KindStreaming, 9 * time.Second, 2 * time.Second}, // its client bears a silence of two seconds
	} {
		x := exchangeOf(one.kind, 300*time.Millisecond, one.timeLeft)
		require.InDelta(t, one.want, x.connectTimeouts("r").Unacknowledged, float64(slack))
	}
}

// A region whose round trips vary gets a longer time-out, within the bounds.
func TestTimeoutsCoverTheVariationOfRoundTrips(t *testing.T) {
	trips := newRoundTrips()
	for i := range 200 {
		trips.observe("r", time.Duration(100+100*(i%2))*time.Millisecond)
	}
	require.Greater(t, trips.retransmitTimeout("r"), 300*time.Millisecond)
	for range 200 {
		trips.observe("r", 10*time.Second)
	}
	require.Equal(t, initialRetransmitTimeout, trips.retransmitTimeout("r"))
	for range 500 {
		trips.observe("r", time.Millisecond)
	}
	require.Equal(t, minRetransmitTimeout, trips.retransmitTimeout("r"))
}
