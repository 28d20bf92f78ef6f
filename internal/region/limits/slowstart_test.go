package limits

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
)

var slowStartConfig = SlowStartConfig{Excess: 1.5, Extra: 5}

func warmingServer(id string) WarmingServer { return WarmingServer{ID: id, Region: "r", WarmRate: 9.2} }

func serverLimit(config SlowStartConfig, server WarmingServer) float64 {
	return server.WarmRate*config.Excess + config.Extra
}

// Guards against a violation of the limit by sixteen proxies that started at the same time and each sent one request
// to a server that was warming up.
func TestAProxyThatDoesNotKnowItsShareSendsNothing(t *testing.T) {
	tests := map[string]struct {
		quotaMembers *pb.QuotaMembers
		learnsIn     time.Duration // 0: Wait returns false
	}{
		"none":                {nil, 0},
		"number unknown":      {quotaMembersOf(0, upTo(5), oneRegion), 0},
		"few of many members": {quotaMembersOf(20, upTo(5), oneRegion), 0},
		"just learnt":         {quotaMembersOf(5, upTo(5), oneRegion), 1},
	}
	for name, test := range tests {
		limiter := NewSlowStartLimiter(slowStartConfig, hostName(0))
		now := time.Minute
		limiter.SetQuotaMembers(now, test.quotaMembers)
		now += startupWait - 1
		require.False(t, limiter.Allows(now, warmingServer("a"), false), name)
		require.False(t, limiter.Allows(now, warmingServer("a"), true), name)
		wait, ok := limiter.Wait(now, warmingServer("a"))
		require.Equal(t, test.learnsIn > 0, ok, name)
		if ok {
			require.Equal(t, test.learnsIn, wait, name)
			require.True(t, limiter.Allows(now+wait, warmingServer("a"), true), name)
		}
	}
}

func TestAWarmingServerIsGivenToFewProxiesOfItsRegion(t *testing.T) {
	region := func(i int) string { return []string{"r", "q"}[i%2] }
	for _, spare := range []bool{false, true} {
		holders := 0
		for i := range 20 {
			limiter := NewSlowStartLimiter(slowStartConfig, hostName(i))
			limiter.SetQuotaMembers(0, quotaMembersOf(20, upTo(20), region))
			if limiter.Allows(time.Minute, warmingServer("a"), spare) {
				holders++
				require.Equal(t, "r", region(i))
			}
		}
		require.Equal(t, map[bool]int{false: 3, true: 6}[spare], holders)
	}
}

func TestAllProxiesShareAServerOfARegionWithoutAny(t *testing.T) {
	holders := 0
	for i := range 9 {
		limiter := NewSlowStartLimiter(slowStartConfig, hostName(i))
		limiter.SetQuotaMembers(0, quotaMembersOf(9, upTo(9), func(int) string { return "elsewhere" }))
		if limiter.Allows(time.Minute, warmingServer("a"), false) {
			holders++
		}
	}
	require.Equal(t, maxPositions, holders)
}

func TestABoundTooSmallToShareIsNotUsed(t *testing.T) {
	limiter := NewSlowStartLimiter(SlowStartConfig{Excess: 1, Extra: 0}, hostName(0))
	limiter.SetQuotaMembers(0, quotaMembersOf(1, upTo(1), oneRegion))
	server := WarmingServer{ID: "a", Region: "r", WarmRate: 2}
	require.False(t, limiter.Allows(time.Minute, server, true))
	_, ok := limiter.Wait(time.Minute, server)
	require.False(t, ok)
}

func TestSparePositionsWaitUntilTheMembersAreSettled(t *testing.T) {
	var spare *SlowStartLimiter
	for i := range 9 {
		limiter := NewSlowStartLimiter(slowStartConfig, hostName(i))
		limiter.SetQuotaMembers(time.Minute, quotaMembersOf(9, upTo(9), oneRegion))
		early := limiter.Allows(time.Minute+membershipStabilizationWindow-1, warmingServer("a"), true)
		if late := limiter.Allows(time.Minute+membershipStabilizationWindow, warmingServer("a"), true); late && !early {
			spare = limiter
		}
	}
	require.NotNil(t, spare)
	again := time.Minute + membershipStabilizationWindow
	spare.SetQuotaMembers(again, quotaMembersOf(9, upTo(9), oneRegion))
	require.True(t, spare.Allows(again, warmingServer("a"), true), "the same members are no change")
	spare.SetQuotaMembers(again, quotaMembersOf(10, upTo(10), oneRegion))
	require.False(t, spare.Allows(again, warmingServer("a"), true))
}

func TestBucketsAreBounded(t *testing.T) {
	limiter := NewSlowStartLimiter(slowStartConfig, hostName(0))
	limiter.SetQuotaMembers(0, quotaMembersOf(1, upTo(1), oneRegion))
	for i := range maxBuckets {
		server := warmingServer(hostName(i))
		require.True(t, limiter.Allows(time.Minute, server, false))
		limiter.Take(time.Minute, server)
	}
	require.False(t, limiter.Allows(time.Minute, warmingServer("more"), false))
	require.True(t, limiter.Allows(time.Minute+bucketIdleTimeout, warmingServer("more"), false))
	require.Empty(t, limiter.buckets)
}

// TestTheSumToAWarmingServerStaysUnderTheBound simulates proxies that each know one of two arbitrary sets of proxies
// and send whenever their limiters allow, and checks the limit in every second that begins with a request.
func TestTheSumToAWarmingServerStaysUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		config := SlowStartConfig{
			Excess: rapid.Float64Range(1, 3).Draw(t, "excess"),
			Extra:  rapid.Float64Range(0, 10).Draw(t, "extra"),
		}
		server := warmingServer("a")
		server.WarmRate = rapid.Float64Range(0.5, 30).Draw(t, "warm rate")
		views := [2][]int{}
		for view := range views {
			for i := range proxies {
				if rapid.IntRange(0, 4).Draw(t, "missing") > 0 {
					views[view] = append(views[view], i)
				}
			}
		}
		viewOf := make([]int, proxies)
		for i := range viewOf {
			viewOf[i] = rapid.IntRange(0, 1).Draw(t, "view")
		}
		seed := rapid.Uint64().Draw(t, "seed")
		requireSlowStart(t, config, server, proxies, seed, false, restartChance(t), func(i int, _ time.Duration) []int { return views[viewOf[i]] })
	})
}

// TestTheSumOfLastResortsStaysUnderTheBound checks the limit while only servers that are warming up are available.
// The sets that the proxies know differ by one member, and each proxy learns of the change at a different time.
func TestTheSumOfLastResortsStaysUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		server := warmingServer("a")
		server.WarmRate = rapid.Float64Range(0.5, 30).Draw(t, "warm rate")
		changedMember := rapid.IntRange(0, proxies-1).Draw(t, "the member that leaves or joins")
		fewer := slices.DeleteFunc(upTo(proxies), func(i int) bool { return i == changedMember })
		joins := rapid.Bool().Draw(t, "joins")
		received := make([]time.Duration, proxies)
		for i := range received {
			received[i] = time.Duration(rapid.IntRange(6, 12).Draw(t, "received")) * time.Second
		}
		seed := rapid.Uint64().Draw(t, "seed")
		requireSlowStart(t, slowStartConfig, server, proxies, seed, true, restartChance(t), func(i int, now time.Duration) []int {
			if (now < received[i]) == joins {
				return fewer
			}
			return upTo(proxies)
		})
	})
}

// restartChance draws the probability that a process restarts within a second.
func restartChance(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "probability of a restart in a second")
}

func requireSlowStart(t *rapid.T, config SlowStartConfig, server WarmingServer, proxies int, seed uint64, lastResort bool,
	restart float64, view func(proxy int, now time.Duration) []int,
) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	limiters := make([]*SlowStartLimiter, proxies)
	for i := range limiters {
		limiters[i] = NewSlowStartLimiter(config, hostName(i))
	}
	var sent []time.Duration
	const tick time.Duration = 20 * time.Millisecond
	for now := time.Duration(0); now < 15*time.Second; now += tick {
		for i, limiter := range limiters {
			if restart > 0 && random.Float64() < restart*tick.Seconds() {
				limiter = NewSlowStartLimiter(config, hostName(i))
				limiter.SetQuotaMembers(now, quotaMembersOf(proxies, view(i, now), oneRegion))
				limiters[i] = limiter
			}
			if now%time.Second == 0 {
				limiter.SetQuotaMembers(now, quotaMembersOf(proxies, view(i, now), oneRegion))
			}
			for limiter.ready(now) && random.Float64() < 0.3 && limiter.Allows(now, server, lastResort) {
				limiter.Take(now, server)
				sent = append(sent, now)
			}
		}
	}
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at-from >= time.Second {
				break
			}
			count++
		}
		require.LessOrEqual(t, float64(count), serverLimit(config, server), "in the second from %v", from)
	}
}
