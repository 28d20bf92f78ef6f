package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestEachServerGetsARequestThatSeedsItsEstimateOneAtATime(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	seen := map[string]bool{}
	for i := range 6 {
		seen[f.serve(f.greeting(i), asPredicted)] = true
	}
	require.Len(t, seen, 6, "each server of the proxy's region")
	require.EqualValues(t, 6, f.p.Stats().Seeded)

	f.list = append(f.list, listed(modelService, 9, zoneA))
	f.relist()
	require.Equal(t, f.list[len(f.list)-1].GetId(), f.pick(f.greeting(7)).ServerID)
	f.pick(f.greeting(8))
	require.EqualValues(t, 7, f.p.Stats().Seeded, "no second seeding request before the first answer")
}

func TestSlowServersGetLess(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	slow := westAndEast()[0].GetId()
	counts := map[string]int{}
	for i := range 1000 {
		server := f.serve(f.greeting(i), func(server string) float64 {
			if server == slow {
				return 2
			}
			return 1
		})
		counts[server]++
	}
	require.Len(t, counts, 6)
	require.Less(t, counts[slow], 60)
	for server, count := range counts {
		if server != slow {
			require.Greater(t, count, 60, server)
		}
	}
}

func TestTheWalkStaysOnOneServerWhileItAnswersInTime(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	for range 40 {
		f.now += 100 * time.Millisecond
		f.p.RequestDone(f.now, f.greeting(0), false, 0)
	}
	require.Less(t, f.p.ServiceSlack(modelService), bands.Low)
	first := f.pick(f.greeting(1))
	f.p.Finished(f.now, first.Attempt, NotSent)
	for i := range 5 {
		again := f.pick(f.greeting(i))
		require.Equal(t, first.ServerID, again.ServerID)
		f.p.Finished(f.now, again.Attempt, NotSent)
	}
	late := f.pick(f.greeting(2))
	f.now += 3 * time.Second
	f.p.Started(f.now, late.Attempt)
	f.p.Finished(f.now, late.Attempt, Done)
	require.NotEqual(t, first.ServerID, f.pick(f.greeting(3)).ServerID)
	require.Positive(t, f.p.Stats().Walked)
}

func TestAServerThatFailsIsEjectedAndTriedAgain(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 0, zoneA), listed(plainService, 1, zoneA)})
	dead := f.list[0].GetId()
	outcome := func(server string) Outcome {
		if server == dead {
			return Reset
		}
		return Done
	}
	attempts := 0
	for range 600 { // over one minute
		decision := f.pick(f.request(routeBalance))
		f.now += 20 * time.Millisecond
		if decision.ServerID == dead {
			attempts++
		}
		f.p.Finished(f.now, decision.Attempt, outcome(decision.ServerID))
		f.now += 80 * time.Millisecond
	}
	require.Less(t, attempts, 16, "ejections of 1, 2, 4 and then 8 s")
	require.Greater(t, attempts, 5)

	// The server recovers, and is used again after its next trial.
	counts := map[string]int{}
	for range 300 {
		counts[f.serve(f.request(routeBalance), asPredicted)]++
		f.now += 100 * time.Millisecond
	}
	require.Greater(t, counts[dead], 50)
}

func TestAnUnreachableServerIsEjectedAtOnce(t *testing.T) {
	for name, report := range map[string]func(f *fixture, dead string){
		"by an attempt": func(f *fixture, dead string) {
			for {
				decision := f.pick(f.request(routeBalance))
				if decision.ServerID == dead {
					f.p.Finished(f.now, decision.Attempt, Unreachable)
					return
				}
				f.p.Finished(f.now, decision.Attempt, NotSent)
			}
		},
		"by an idle connection": func(f *fixture, dead string) { f.p.ServerUnreachable(f.now, dead) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, []*pb.Server{listed(plainService, 0, zoneA), listed(plainService, 1, zoneA)})
			dead := f.list[0].GetId()
			for range 6 {
				f.serve(f.request(routeBalance), asPredicted)
			}
			report(f, dead)
			require.EqualValues(t, 1, f.p.Stats().Ejections)
			for began := f.now; f.now < began+firstEjection; {
				require.NotEqual(t, dead, f.serve(f.request(routeBalance), asPredicted))
			}
			f.now += 2 * firstEjection
			require.Equal(t, dead, f.pick(f.request(routeBalance)).ServerID, "the trial after the ejection")
		})
	}
	f := newFixture(t, 0, nil)
	f.p.ServerUnreachable(f.now, "unknown")
}

func TestATrialIsForRequestsThatMayGoToAnotherServer(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 0, zoneA), listed(plainService, 1, zoneA)})
	dead := f.list[0].GetId()
	lastAttempt := func() *Request {
		request := f.request(routeBalance)
		once := *request.Route
		once.MaxAttempts = 1
		request.Route = &once
		return request
	}
	f.p.ServerUnreachable(f.now, dead)
	f.now += 2 * firstEjection
	for range 20 {
		require.NotEqual(t, dead, f.serve(lastAttempt(), func(string) float64 { return 0.1 }))
	}
	trial := f.pick(f.request(routeBalance))
	require.Equal(t, dead, trial.ServerID)
	f.p.Finished(f.now, trial.Attempt, NotSent)

	f.now += cautiousTrialPeriod
	require.Equal(t, dead, f.pick(lastAttempt()).ServerID, "without another request, the last attempt is the trial")
}

func TestAServerWhoseAddressAnotherOneTookIsGone(t *testing.T) {
	old, other, next := listed(plainService, 0, zoneA), listed(plainService, 1, zoneA), listed(plainService, 2, zoneA)
	next.Address = old.GetAddress()
	f := newFixture(t, 0, []*pb.Server{old, other})
	f.list = []*pb.Server{next, old, other}
	for range 2 { // the list contains the replaced server for some seconds more
		f.relist()
		seen := map[string]bool{}
		for range 40 {
			seen[f.serve(f.request(routeBalance), asPredicted)] = true
		}
		require.Equal(t, map[string]bool{other.GetId(): true, next.GetId(): true}, seen)
	}
}

func TestEjectedServersAreUsedWhenNoOtherIsLeft(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 0, zoneA)})
	for range 5 {
		decision := f.pick(f.request(routeBalance))
		f.p.Finished(f.now, decision.Attempt, Reset)
	}
	require.Positive(t, f.p.Stats().Ejections)
	f.pick(f.request(routeBalance))
}

func TestARejectionCountsAsSpeedZeroAndIsNoFailure(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 0, zoneA), listed(plainService, 1, zoneA)})
	for range 4 {
		f.serve(f.request(routeBalance), asPredicted)
	}
	f.now += time.Second
	full := f.pick(f.request(routeBalance))
	before := f.p.servers[full.ServerID].estimate.Speed()
	f.now += 20 * time.Millisecond
	f.p.Started(f.now, full.Attempt) // the first byte of the rejection arrived
	f.p.Finished(f.now, full.Attempt, Rejected)
	after := f.p.servers[full.ServerID]
	require.Less(t, after.estimate.Speed(), before)
	require.Zero(t, after.failures)
	for range 5 {
		require.NotEqual(t, full.ServerID, f.pick(f.request(routeBalance)).ServerID)
	}
}

func TestAnAnswerThatIsOverdueCountsBeforeItsEnd(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	overdue := f.pick(f.greeting(0))
	f.now += time.Second
	for i := range 100 {
		server := f.serve(f.greeting(i), asPredicted)
		require.NotEqual(t, overdue.ServerID, server)
	}
	f.p.Finished(f.now, overdue.Attempt, Canceled)
	require.Less(t, f.p.servers[overdue.ServerID].estimate.Speed(), 0.6)
}

func TestAMisdirectedServerGetsNothingMore(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	gone := f.pick(f.summary(1, 1))
	f.p.Finished(f.now, gone.Attempt, Misdirected)
	for i := range 200 {
		f.relist() // an old list still contains the server
		require.NotEqual(t, gone.ServerID, f.serve(f.summary(i%5, i), asPredicted))
	}
}

func TestTheProxysConnectionsAreBounded(t *testing.T) {
	f := newFixture(t, 0, []*pb.Server{listed(plainService, 0, zoneA)})
	bound := f.pick(f.request(routeBalance)).MaxConnections
	require.Equal(t, 12, bound) // 0.9 of 100 connections, shared by 7 proxies
	for range bound - 1 {
		f.pick(f.request(routeBalance))
	}
	_, err := f.p.Pick(f.now, f.request(routeBalance))
	var none *NoServerError
	require.ErrorAs(t, err, &none)
	require.Equal(t, ReasonFull, none.Reason)
	require.Positive(t, none.RetryAfter)
}

func TestWhyThereIsNoServer(t *testing.T) {
	one := []*pb.Server{listed(modelService, 0, zoneA)}
	cases := map[string]struct {
		prepare func(f *fixture)
		request func(f *fixture) *Request
		want    Reason
	}{
		"unknown service": {nil, func(f *fixture) *Request {
			request := f.greeting(0)
			request.Service = "nobody"
			return request
		}, ReasonNoServer},
		"draining": {func(f *fixture) {
			drained := listed(modelService, 0, zoneA)
			drained.Draining = true
			f.list = []*pb.Server{drained}
			f.relist()
		}, nil, ReasonNoServer},
		"evacuated": {func(f *fixture) { f.p.SetEvacuated(f.now, []string{zoneA}) }, nil, ReasonEvacuated},
		"home":      {nil, func(f *fixture) *Request { return f.request(routeEast) }, ReasonHomeRegions},
		"tried": {nil, func(f *fixture) *Request {
			request := f.greeting(0)
			request.Excluded = []string{f.list[0].GetId()}
			return request
		}, ReasonExcluded},
		"gone": {func(f *fixture) {
			f.list = nil
			f.relist()
		}, nil, ReasonNoServer},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, one)
			if c.prepare != nil {
				c.prepare(f)
			}
			request := f.greeting(0)
			if c.request != nil {
				request = c.request(f)
			}
			_, err := f.p.Pick(f.now, request)
			var none *NoServerError
			require.ErrorAs(t, err, &none)
			require.Equal(t, c.want, none.Reason, none.Reason.String())
			require.Positive(t, none.RetryAfter)
		})
	}
}
