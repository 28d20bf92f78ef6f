package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEveryRequestIsAdmittedWithoutOverload(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	for i := range 500 {
		require.NoError(t, f.p.Admit(f.now, f.greeting(i)))
		f.serve(f.greeting(i), func(string) float64 { return 1 + 0.5*f.p.random.Float64() })
	}
	require.Zero(t, f.p.Stats().Overloaded)
}

func TestLatenessAloneRejectsNoRequest(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	for range 50 { // answers are late, but not because requests queue at servers
		f.now += 100 * time.Millisecond
		f.p.RequestDone(f.now, f.greeting(0), false, 0)
	}
	for i := range 100 {
		require.NoError(t, f.p.Admit(f.now, f.greeting(i)))
	}
}

// overloaded returns a fixture whose servers have answered 200 requests after a multiple of the predicted time.
func overloaded(t *testing.T, times float64) *fixture {
	t.Helper()
	f := newFixture(t, 0, westAndEast()[:6:6])
	for i := range 200 {
		f.serve(f.greeting(i), func(string) float64 { return times })
	}
	require.Less(t, f.p.ServiceSlack(modelService), admitAllSlack)
	return f
}

func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	f := overloaded(t, 12)
	admitted := func(request *Request) int {
		count := 0
		for range 50 {
			if f.p.Admit(f.now, request) == nil {
				count++
			}
		}
		return count
	}
	greetings, help := admitted(f.greeting(0)), admitted(f.request(routeHelp, PromptChunk{3, 568}, PromptChunk{4, 600}))
	require.Equal(t, 1, greetings, "only the trickle is admitted")
	require.Equal(t, 50, help)

	err := f.p.Admit(f.now, f.greeting(0))
	var overload *OverloadError
	require.ErrorAs(t, err, &overload)
	require.GreaterOrEqual(t, overload.RetryAfter, minOverloadRetry)
	require.LessOrEqual(t, overload.RetryAfter, maxOverloadRetry)
	again := f.greeting(0)
	again.IsRetry = true
	require.NoError(t, f.p.Admit(f.now, again), "a second rejection would lose the request")
	f.now += trickleInterval
	require.NoError(t, f.p.Admit(f.now, f.greeting(0)), "the trickle admits one request per interval")
}

func TestNoRouteIsStarvedInOverload(t *testing.T) {
	f := overloaded(t, 60)
	admitted := map[string]int{}
	for range 100 {
		f.now += 100 * time.Millisecond
		for name, request := range map[string]*Request{
			routeGreeting: f.greeting(0),
			routeHelp:     f.request(routeHelp, PromptChunk{3, 568}, PromptChunk{4, 1800}),
			routeSummary:  f.summary(1, 1),
		} {
			if f.p.Admit(f.now, request) == nil {
				admitted[name]++
			}
		}
	}
	for _, name := range []string{routeGreeting, routeHelp, routeSummary} {
		require.GreaterOrEqual(t, admitted[name], 19, name)
	}
}

func TestServersThatAnswerAgainEndTheRejections(t *testing.T) {
	f := overloaded(t, 12)
	for i := range 100 {
		f.serve(f.greeting(i), asPredicted)
	}
	for i := range 50 {
		require.NoError(t, f.p.Admit(f.now, f.greeting(i)))
	}
}
