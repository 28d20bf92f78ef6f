package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

// A client is asked to come back only if it then still has the time to be served.
func TestRetryAfterLeavesTheTimeToBeServed(t *testing.T) {
	f := newFixture(t, 0, nil)
	for _, timeLeft := range []time.Duration{time.Millisecond, listInterval - 1, listInterval, 5 * time.Second} {
		request := f.request(routeBalance)
		request.Deadline = f.now + timeLeft
		_, err := f.p.Pick(f.now, request)
		var none *NoServerError
		require.ErrorAs(t, err, &none)
		want := listInterval
		if timeLeft < listInterval {
			want = 0
		}
		require.Equal(t, want, none.RetryAfter, timeLeft)
	}
}

// A client whose request was sent to every server is asked to come back when the first of them takes requests again.
func TestRetryAfterAllServersFailedIsTheEndOfTheFirstCooldown(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 1, zoneA), listed(plainService, 2, zoneA)})
	request := f.request(routeBalance)
	for range 2 {
		decision := f.pick(request)
		request.Excluded = append(request.Excluded, decision.ServerID)
		f.p.Finished(f.now, decision.Attempt, Rejected)
		f.now += 50 * time.Millisecond
	}
	_, err := f.p.Pick(f.now, request)
	var none *NoServerError
	require.ErrorAs(t, err, &none)
	require.Equal(t, ReasonExcluded, none.Reason)
	first := f.p.servers[request.Excluded[0]].cooldownUntil
	require.Greater(t, first, f.now)
	require.Equal(t, first-f.now, none.RetryAfter)
}
