package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
)

func hostName(i int) string { return fmt.Sprintf("edge-%d", i) }

// sharesOf returns shares that name some of the proxies.
func sharesOf(proxies int, members []int, region func(int) string) *pb.Shares {
	shares := &pb.Shares{Proxies: uint32(proxies)}
	for _, i := range members {
		shares.Members = append(shares.Members, &pb.Neighbour{Host: hostName(i), Region: region(i)})
	}
	return shares
}

func oneRegion(int) string { return "r" }

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

var pageConfig = RetryConfig{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

func TestWithoutSharesOnlyTheRatioPartIsAllowed(t *testing.T) {
	budget := NewRetryBudget(pageConfig, hostName(0))
	require.False(t, budget.Take(0, "s"))
	for i := range 100 {
		budget.Request(time.Duration(i)*100*time.Millisecond, "s")
	}
	now := 9900 * time.Millisecond
	allowed := 0
	for budget.Take(now, "s") {
		allowed++
	}
	require.InDelta(t, 13, allowed, 2) // 0.2 x 0.9 x 0.75 of 99
	require.Zero(t, budget.left(now))
	budget.Refund(now, "s")
	require.Equal(t, 1, budget.left(now))
}

func TestTheExtraIsSharedByTheProxies(t *testing.T) {
	for _, proxies := range []int{1, 7, 40, 67, 200} {
		total := 0
		for i := range proxies {
			budget := NewRetryBudget(pageConfig, hostName(i))
			budget.SetQuotaMembers(sharesOf(proxies, upTo(proxies), oneRegion))
			for budget.Take(pageConfig.Window, "s") {
				total++
			}
		}
		require.LessOrEqual(t, total, 43, "%d proxies", proxies)
		require.GreaterOrEqual(t, total, 20, "%d proxies", proxies)
	}
}

func TestANewProcessHasLittleOfTheExtra(t *testing.T) {
	budget := NewRetryBudget(pageConfig, hostName(0))
	budget.SetQuotaMembers(sharesOf(2, upTo(2), oneRegion))
	require.Equal(t, 5, budget.left(time.Second))
	require.Equal(t, 21, budget.left(pageConfig.Window))
}

func TestTheBudgetFollowsTheWindow(t *testing.T) {
	budget := NewRetryBudget(pageConfig, hostName(0))
	budget.SetQuotaMembers(sharesOf(7, upTo(7), oneRegion))
	for budget.Take(11*time.Second, "s") {
	}
	require.False(t, budget.Take(20900*time.Millisecond, "s"))
	require.True(t, budget.Take(21200*time.Millisecond, "s"))
	require.True(t, budget.Take(time.Hour, "s"))
}

func TestServicesAreBounded(t *testing.T) {
	budget := NewRetryBudget(pageConfig, hostName(0))
	budget.SetQuotaMembers(sharesOf(1, upTo(1), oneRegion))
	for i := range 3 * maxServices {
		budget.Request(time.Second, fmt.Sprint("s", i))
	}
	require.Len(t, budget.services, maxServices)
	require.False(t, budget.Take(time.Second, "another"))
	require.True(t, budget.Take(time.Minute, "another"), "idle ones make room")
	require.Less(t, len(budget.services), maxServices)
}

// TestTheSumOfRetriesStaysUnderTheBound lets many proxies, whose members differ, retry as often as they are
// allowed, under bursty traffic, and counts as the rule does.
func TestTheSumOfRetriesStaysUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 70).Draw(t, "proxies")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		config := RetryConfig{Ratio: 0.2, Extra: float64(rapid.IntRange(10, 200).Draw(t, "extra")), Window: 10 * time.Second}
		clump := rapid.IntRange(1, 100).Draw(t, "clump") // ticks of traffic, then as many without
		rate := rapid.Float64Range(0, 3).Draw(t, "rate")
		eager := rapid.Float64Range(0.01, 1).Draw(t, "eager")
		budgets := make([]*RetryBudget, proxies)
		shares := make([]*pb.Shares, proxies)
		for i := range budgets {
			budgets[i] = NewRetryBudget(config, hostName(i))
			members := []int{i}
			for j := range proxies {
				if j != i && random.Float64() < 0.9 {
					members = append(members, j)
				}
			}
			shares[i] = sharesOf(proxies, members, oneRegion)
			budgets[i].SetQuotaMembers(shares[i])
		}
		const tick = 50 * time.Millisecond
		const ticks = 1000
		restart := rapid.IntRange(0, ticks).Draw(t, "all processes start anew")
		requests, retries := make([]int, ticks), make([]int, ticks)
		for at := range ticks {
			now := time.Duration(at) * tick
			if at >= restart {
				now -= time.Duration(restart) * tick
			}
			for i, budget := range budgets {
				if at == restart {
					budget = NewRetryBudget(config, hostName(i))
					budget.SetQuotaMembers(shares[i])
					budgets[i] = budget
				}
				if (at/clump)%2 == 0 && random.Float64() < rate/2 {
					budget.Request(now, "s")
					requests[at]++
				}
				for random.Float64() < eager && budget.Take(now, "s") {
					retries[at]++
				}
			}
		}
		requireBudget(t, config, requests, retries, int(config.Window/tick))
	})
}

// requireBudget checks every window as the rule does: the requests of that window, of the one before it or of
// the one half a window before, whichever holds most.
func requireBudget(t *rapid.T, config RetryConfig, requests, retries []int, window int) {
	t.Helper()
	sum := func(counts []int, from, to int) int {
		total := 0
		for i := max(from, 0); i < min(to, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	for from := range requests {
		sent := sum(retries, from, from+window)
		most := max(sum(requests, from, from+window), sum(requests, from-window, from),
			sum(requests, from-window/2, from+window/2))
		require.LessOrEqual(t, float64(sent), config.Ratio*float64(most)+config.Extra, "window from tick %d", from)
	}
}

func TestTheLowerBoundIsNoMoreThanWhatTheWindowsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const buckets = 100
		window := buckets * bucketWidth
		c := newWindowCounts(window)
		history := make([]int, 3*buckets)
		for i := range history {
			c.advance(time.Duration(i) * bucketWidth)
			if rapid.IntRange(0, 9).Draw(t, "quiet") == 0 {
				history[i] = rapid.IntRange(0, 50).Draw(t, "count")
				c.requests[c.slot(0)] += uint32(history[i])
			}
		}
		sum := func(from, to int) (total float64) {
			for i := max(from, 0); i < min(to, len(history)); i++ {
				total += float64(history[i])
			}
			return total
		}
		end := len(history)
		require.Equal(t, sum(end-buckets, end), float64(c.requested()))
		for from := end - buckets; from <= end; from++ {
			most := max(sum(from, from+buckets), sum(from-buckets, from), sum(from-buckets/2, from+buckets/2))
			require.LessOrEqual(t, c.lowerBound(), most+1e-9, "window from %d", from)
		}
	})
}

// left is the number of retries of service "s" that Take would allow now.
func (b *RetryBudget) left(now time.Duration) int {
	c := b.windowCounts(now, "s")
	if c == nil {
		return 0
	}
	return max(int(b.allowance(now, c, "s"))-c.retried(), 0)
}
