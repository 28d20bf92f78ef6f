package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestProxiesOfARegionAgreeOnTheAffinityServer(t *testing.T) {
	const subjects = 37
	first, second := newFixture(t, 0, westAndEast()), newFixture(t, 1, westAndEast())
	first.warm()
	second.warm()
	same, byServer := 0, map[string]int{}
	for i := range 10 * subjects {
		at := first.serve(first.summary(i%subjects, i), asPredicted)
		if at == second.serve(second.summary(i%subjects, -i), asPredicted) {
			same++
		}
		byServer[at]++
	}
	require.Greater(t, same, 360, "of 370")
	require.Len(t, byServer, 6)
	for server, count := range byServer {
		require.Greater(t, count, 10, server)
	}
}

func TestALoadedAffinityServerIsLeft(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	seen := map[string]int{}
	for i := range 24 { // concurrently
		seen[f.pick(f.summary(1, i)).ServerID]++
	}
	require.Greater(t, len(seen), 1)
	most := 0
	for _, count := range seen {
		most = max(most, count)
	}
	require.Less(t, most, 18)
}

func TestTheOwnRegionComesFirst(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	for i := range 300 {
		require.Contains(t, f.serve(f.summary(i%7, i), asPredicted), "zone-", "any")
	}
	require.Zero(t, f.p.Stats().OtherRegion)
}

func TestRequestsSpillOverOnlyWhileTheOwnRegionIsFarSlower(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	slow := func(server string) float64 {
		if f.p.servers[server].region == west {
			return 8
		}
		return 1
	}
	for i := range 400 {
		f.serve(f.greeting(i), slow)
	}
	spilled := f.p.Stats().OtherRegion
	require.Greater(t, spilled, uint64(100))
	for i := range 200 { // the servers in the west recover
		f.serve(f.greeting(i), asPredicted)
	}
	spilled = f.p.Stats().OtherRegion
	for i := range 100 {
		f.serve(f.greeting(i), asPredicted)
	}
	require.LessOrEqual(t, f.p.Stats().OtherRegion-spilled, uint64(2))
}

func TestAnotherRegionServesWhenTheOwnHasNoServer(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.SetEvacuated(f.now, []string{zoneA, zoneB})
	require.Equal(t, east, f.pick(f.greeting(0)).Region)
}

func TestHomeRegionsAreKeptTo(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	for range 50 {
		require.Equal(t, east, f.pick(f.request(routeEast)).Region)
	}
}

func TestTheSameZoneIsPreferredLightly(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	counts := map[string]int{}
	for i := range 600 {
		server := f.serve(f.greeting(i), asPredicted)
		counts[f.p.servers[server].zone]++
	}
	require.Greater(t, counts[zoneA], counts[zoneB])
	require.Greater(t, counts[zoneB], 100)
}

func TestAnAttemptIsCheckedAgainBeforeItIsSent(t *testing.T) {
	cases := map[string]func(f *fixture, decision Decision){
		"draining": func(f *fixture, decision Decision) {
			i := slices.IndexFunc(f.list, func(s *pb.Server) bool { return s.GetId() == decision.ServerID })
			f.list[i].Draining = true
			f.relist()
		},
		"gone": func(f *fixture, decision Decision) {
			f.list = slices.DeleteFunc(f.list, func(s *pb.Server) bool { return s.GetId() == decision.ServerID })
			f.relist()
		},
		"expired": func(f *fixture, decision Decision) {
			i := slices.IndexFunc(f.list, func(s *pb.Server) bool { return s.GetId() == decision.ServerID })
			f.list[i].ExpiresMs = 1000
			f.p.SetServers(f.now, f.list, time.Second)
		},
		"evacuated": func(f *fixture, decision Decision) { f.p.SetEvacuated(f.now, []string{decision.Zone}) },
		"misdirected": func(f *fixture, decision Decision) {
			for {
				other := f.pick(f.summary(1, 1))
				if other.ServerID == decision.ServerID {
					f.p.Finished(f.now, other.Attempt, Misdirected)
					return
				}
			}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, westAndEast())
			decision := f.pick(f.summary(1, 1))
			require.True(t, f.p.StillAllowed(f.now, decision.Attempt))
			change(f, decision)
			require.False(t, f.p.StillAllowed(f.now, decision.Attempt))
			f.p.Finished(f.now, decision.Attempt, NotSent)
			require.False(t, f.p.StillAllowed(f.now, decision.Attempt), "the attempt is closed")
		})
	}
}

// warmingUpServers returns a list of model servers in zoneA, each of which is warming up for a remaining time.
func warmingUpServers(count int, left time.Duration) []*pb.Server {
	var servers []*pb.Server
	for i := range count {
		made := listed(modelService, i, zoneA)
		made.WarmLeftMs = uint32(left.Milliseconds())
		servers = append(servers, made)
	}
	return servers
}

func TestServersWarmingUpGetFewRequests(t *testing.T) {
	servers := append(warmingUpServers(1, 3*time.Second), listed(modelService, 8, zoneA), listed(modelService, 9, zoneA))
	total := 0
	for host := range members {
		f := newFixture(t, host, servers)
		first := f.now
		for i := 0; f.now < first+2*time.Second; i++ {
			if f.serve(f.greeting(i), asPredicted) == servers[0].GetId() {
				total++
			}
		}
		f.now = first + 3*time.Second
		seen := map[string]bool{}
		for i := range 100 {
			seen[f.serve(f.greeting(i), asPredicted)] = true
		}
		require.Contains(t, seen, servers[0].GetId(), "the server is warmed up now")
	}
	require.LessOrEqual(t, total, 19)
	require.Positive(t, total)
}

func TestServersAllWarmingUpAreUsedWithinTheLimit(t *testing.T) {
	perServer := map[string]int{}
	rejected := 0
	for host := range members {
		f := newFixture(t, host, warmingUpServers(6, time.Minute))
		f.now += 10 * time.Second // the quota members have been unchanged for long enough
		first := f.now
		for i := 0; f.now < first+time.Second; i++ {
			request := f.greeting(i)
			decision, err := f.p.Pick(f.now, request)
			if err != nil {
				var none *NoServerError
				require.ErrorAs(t, err, &none)
				require.Equal(t, ReasonWarmingUp, none.Reason)
				require.Positive(t, none.RetryAfter)
				rejected++
			} else {
				require.True(t, f.p.StillAllowed(f.now, decision.Attempt))
				perServer[decision.ServerID]++
				f.p.Finished(f.now, decision.Attempt, Done)
			}
			f.now += 20 * time.Millisecond
		}
	}
	require.Positive(t, rejected)
	require.Len(t, perServer, 6)
	for server, count := range perServer {
		require.LessOrEqual(t, count, 18, server)
	}
}

func TestServersOfAZoneWhoseEvacuationEndsMayBeWarmingUp(t *testing.T) {
	requestsFrom := func(host int) int {
		f := newFixture(t, host, westAndEast())
		f.warm()
		f.p.SetEvacuated(f.now, []string{zoneB})
		f.now += 5 * time.Second
		f.p.SetEvacuated(f.now, nil)
		count := 0
		for i := range 100 {
			if f.p.servers[f.pick(f.greeting(i)).ServerID].zone == zoneB {
				count++
			}
		}
		f.now += suspectedWarmingPeriod
		require.False(t, f.p.servers[f.list[1].GetId()].warmingUp(f.now))
		return count
	}
	total := 0
	for host := range members {
		total += requestsFrom(host)
	}
	require.LessOrEqual(t, total, 3*maxFirstRequests)
}

// maxFirstRequests is the maximum number of first requests, one from each proxy with a share, to a server that is
// warming up.
const maxFirstRequests = 3

func TestAServersOwnWarmupReportCounts(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	for _, s := range f.list[:6] {
		f.p.ServerWarmingUp(f.now, s.GetId(), time.Second)
	}
	require.True(t, f.p.servers[f.list[0].GetId()].warmingUp(f.now+time.Second-1))
	require.False(t, f.p.servers[f.list[0].GetId()].warmingUp(f.now+time.Second))
	f.now += 500 * time.Millisecond
	f.relist() // the list may be older than the server's report
	require.True(t, f.p.servers[f.list[0].GetId()].warmingUp(f.now))
	f.p.ServerWarmingUp(f.now, f.list[0].GetId(), time.Minute)
	f.now += 2 * suspectedWarmingPeriod
	f.relist()
	require.False(t, f.p.servers[f.list[0].GetId()].warmingUp(f.now), "a list newer than the report takes precedence")
}

func TestAServerThatSeemsToDrainIsAvoided(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	draining := f.list[0].GetId()
	f.p.ServerDraining(f.now, draining)
	for i := range 100 {
		require.NotEqual(t, draining, f.pick(f.greeting(i)).ServerID)
	}
}

func TestServersOfAServiceWithoutAWarmRateHaveNoSlowStart(t *testing.T) {
	started := listed(plainService, 0, zoneA)
	started.WarmLeftMs = 3000
	f := newFixture(t, 0, []*pb.Server{started})
	for range 8 {
		f.pick(f.request(routeBalance))
	}
	require.Zero(t, f.p.Stats().WarmingUp)
}
