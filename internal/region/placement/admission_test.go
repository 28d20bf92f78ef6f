package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// place asks for a server for a request of a client that waits for a time, and closes the attempt again.
func (f *fixture) place(request *Request, timeLeft time.Duration) error {
	request.Deadline = f.now + timeLeft
	placed, _, err := f.p.Place(f.now, request)
	if err == nil {
		f.p.Finished(f.now, placed.Decision.Attempt, NotSent)
	}
	return err
}

// slowedDown returns a fixture whose servers have answered 200 requests after a multiple of the predicted time, so that
// no answer was in time by its target.
func slowedDown(t *testing.T, times float64) *fixture {
	t.Helper()
	f := newFixture(t, 0, westAndEast()[:6:6])
	for i := range 200 {
		f.serve(f.greeting(i), func(string) float64 { return times })
	}
	require.Less(t, f.p.ServiceSlack(modelService), minLearnSlack)
	return f
}

// Late answers of others are no reason to refuse a request whose client still has time, of whichever rank and target.
func TestLatenessRefusesNoRequestThatStillHasTime(t *testing.T) {
	for _, times := range []float64{1, 12, 60} {
		f := slowedDownBy(t, times)
		for i := range 100 {
			for _, request := range []*Request{
				f.greeting(i),
				f.request(routeHelp, PromptChunk{3, 568}, PromptChunk{4, 1800}),
				f.summary(1, i),
			} {
				require.NoError(t, f.place(request, 5*time.Second))
			}
		}
		require.Zero(t, f.p.Stats().TooLate)
	}
}

func slowedDownBy(t *testing.T, times float64) *fixture {
	if times > 1 {
		return slowedDown(t, times)
	}
	f := newFixture(t, 0, westAndEast())
	f.warm()
	return f
}

// A request with too little time is refused however quiet its servers are, and no number of refusals changes that: one
// that gets in late takes the time of those that could be served.
func TestTooLittleTimeIsRefusedAtAnyLoad(t *testing.T) {
	for _, times := range []float64{1, 60} {
		f := slowedDownBy(t, times)
		for i := range 100 {
			f.now += 100 * time.Millisecond
			var late *TooLateError
			require.ErrorAs(t, f.place(f.greeting(i), baseLatency), &late)
		}
	}
}
