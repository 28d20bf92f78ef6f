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

var coldConfig = SlowStartConfig{Excess: 1.5, Extra: 5}

func coldServer(id string) WarmingServer { return WarmingServer{ID: id, Region: "r", WarmRate: 9.2} }

func bound(config SlowStartConfig, server WarmingServer) float64 {
	return server.WarmRate*config.Excess + config.Extra
}

// Sixteen proxies that came back at once and each sent one request broke the bound of a server.
func TestAProxyThatDoesNotKnowItsShareSendsNothing(t *testing.T) {
	tests := map[string]struct {
		shares   *pb.Shares
		learnsIn time.Duration // 0: no time is known
	}{
		"none":                {nil, 0},
		"number unknown":      {sharesOf(0, upTo(5), oneRegion), 0},
		"few of many members": {sharesOf(20, upTo(5), oneRegion), 0},
		"just learnt":         {sharesOf(5, upTo(5), oneRegion), 1},
	}
	for name, test := range tests {
		gate := NewSlowStartLimiter(coldConfig, hostName(0))
		now := time.Minute
		gate.SetQuotaMembers(now, test.shares)
		now += learning - 1
		require.False(t, gate.Allows(now, coldServer("a"), false), name)
		require.False(t, gate.Allows(now, coldServer("a"), true), name)
		wait, ok := gate.Wait(now, coldServer("a"))
		require.Equal(t, test.learnsIn > 0, ok, name)
		if ok {
			require.Equal(t, test.learnsIn, wait, name)
			require.True(t, gate.Allows(now+wait, coldServer("a"), true), name)
		}
	}
}

func TestAColdServerIsGivenToFewProxiesOfItsRegion(t *testing.T) {
	region := func(i int) string { return []string{"r", "q"}[i%2] }
	for _, spare := range []bool{false, true} {
		holders := 0
		for i := range 20 {
			gate := NewSlowStartLimiter(coldConfig, hostName(i))
			gate.SetQuotaMembers(0, sharesOf(20, upTo(20), region))
			if gate.Allows(time.Minute, coldServer("a"), spare) {
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
		gate := NewSlowStartLimiter(coldConfig, hostName(i))
		gate.SetQuotaMembers(0, sharesOf(9, upTo(9), func(int) string { return "elsewhere" }))
		if gate.Allows(time.Minute, coldServer("a"), false) {
			holders++
		}
	}
	require.Equal(t, mostHolders, holders)
}

func TestABoundTooSmallToShareIsNotUsed(t *testing.T) {
	gate := NewSlowStartLimiter(SlowStartConfig{Excess: 1, Extra: 0}, hostName(0))
	gate.SetQuotaMembers(0, sharesOf(1, upTo(1), oneRegion))
	server := WarmingServer{ID: "a", Region: "r", WarmRate: 2}
	require.False(t, gate.Allows(time.Minute, server, true))
	_, ok := gate.Wait(time.Minute, server)
	require.False(t, ok)
}

func TestSparePlacesWaitUntilTheMembersAreSettled(t *testing.T) {
	var spare *SlowStartLimiter
	for i := range 9 {
		gate := NewSlowStartLimiter(coldConfig, hostName(i))
		gate.SetQuotaMembers(time.Minute, sharesOf(9, upTo(9), oneRegion))
		early := gate.Allows(time.Minute+settled-1, coldServer("a"), true)
		if late := gate.Allows(time.Minute+settled, coldServer("a"), true); late && !early {
			spare = gate
		}
	}
	require.NotNil(t, spare)
	again := time.Minute + settled
	spare.SetQuotaMembers(again, sharesOf(9, upTo(9), oneRegion))
	require.True(t, spare.Allows(again, coldServer("a"), true), "the same members are no change")
	spare.SetQuotaMembers(again, sharesOf(10, upTo(10), oneRegion))
	require.False(t, spare.Allows(again, coldServer("a"), true))
}

func TestAccountsAreBounded(t *testing.T) {
	gate := NewSlowStartLimiter(coldConfig, hostName(0))
	gate.SetQuotaMembers(0, sharesOf(1, upTo(1), oneRegion))
	for i := range mostBuckets {
		server := coldServer(hostName(i))
		require.True(t, gate.Allows(time.Minute, server, false))
		gate.Take(time.Minute, server)
	}
	require.False(t, gate.Allows(time.Minute, coldServer("more"), false))
	require.True(t, gate.Allows(time.Minute+forgetAfter, coldServer("more"), false))
	require.Empty(t, gate.buckets)
}

// TestTheSumToAColdServerStaysUnderTheBound lets proxies that hold one of two views, however different, send
// whenever their gates allow, and counts every second that begins with a request.
func TestTheSumToAColdServerStaysUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		config := SlowStartConfig{
			Excess: rapid.Float64Range(1, 3).Draw(t, "excess"),
			Extra:  rapid.Float64Range(0, 10).Draw(t, "extra"),
		}
		server := coldServer("a")
		server.WarmRate = rapid.Float64Range(0.5, 30).Draw(t, "warm rate")
		views := [2][]int{}
		for view := range views {
			for i := range proxies {
				if rapid.IntRange(0, 4).Draw(t, "missing") > 0 {
					views[view] = append(views[view], i)
				}
			}
		}
		holds := make([]int, proxies)
		for i := range holds {
			holds[i] = rapid.IntRange(0, 1).Draw(t, "view")
		}
		seed := rapid.Uint64().Draw(t, "seed")
		requireCold(t, config, server, proxies, seed, false, func(i int, _ time.Duration) []int { return views[holds[i]] })
	})
}

// TestTheSumOfLastResortsStaysUnderTheBound does the same where nothing but cold servers is left, with views
// that differ by one member, which all take in at some time.
func TestTheSumOfLastResortsStaysUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		server := coldServer("a")
		server.WarmRate = rapid.Float64Range(0.5, 30).Draw(t, "warm rate")
		gone := rapid.IntRange(0, proxies-1).Draw(t, "the member that leaves or joins")
		fewer := slices.DeleteFunc(upTo(proxies), func(i int) bool { return i == gone })
		joins := rapid.Bool().Draw(t, "joins")
		heard := make([]time.Duration, proxies)
		for i := range heard {
			heard[i] = time.Duration(rapid.IntRange(6, 12).Draw(t, "heard")) * time.Second
		}
		seed := rapid.Uint64().Draw(t, "seed")
		requireCold(t, coldConfig, server, proxies, seed, true, func(i int, now time.Duration) []int {
			if (now < heard[i]) == joins {
				return fewer
			}
			return upTo(proxies)
		})
	})
}

func requireCold(t *rapid.T, config SlowStartConfig, server WarmingServer, proxies int, seed uint64, last bool,
	view func(proxy int, now time.Duration) []int,
) {
	random := rand.New(rand.NewPCG(seed, 2))
	gates := make([]*SlowStartLimiter, proxies)
	for i := range gates {
		gates[i] = NewSlowStartLimiter(config, hostName(i))
	}
	var sent []time.Duration
	const tick = 20 * time.Millisecond
	for now := time.Duration(0); now < 15*time.Second; now += tick {
		for i, gate := range gates {
			if now%time.Second == 0 {
				gate.SetQuotaMembers(now, sharesOf(proxies, view(i, now), oneRegion))
			}
			for gate.known(now) && random.Float64() < 0.3 && gate.Allows(now, server, last) {
				gate.Take(now, server)
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
		require.LessOrEqual(t, float64(count), bound(config, server), "in the second from %v", from)
	}
}
