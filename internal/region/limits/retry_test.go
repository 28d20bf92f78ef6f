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

// quotaMembersOf returns quota members that list the given proxies out of a total.
func quotaMembersOf(proxies int, members []int, region func(int) string) *pb.QuotaMembers {
	quotaMembers := &pb.QuotaMembers{Proxies: uint32(proxies)}
	for _, i := range members {
		quotaMembers.Members = append(quotaMembers.Members, &pb.Neighbour{Host: hostName(i), Region: region(i)})
	}
	return quotaMembers
}

func oneRegion(int) string { return "r" }

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

var testRetryConfig = RetryConfig{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

// afterFirstWindow is the earliest time since its start at which a process may use its share of the extra retries.
const afterFirstWindow = 10*time.Second + bucketWidth

func TestWithoutSharesOnlyTheRatioPartIsAllowed(t *testing.T) {
	budget := NewRetryBudget(testRetryConfig, hostName(0))
	require.False(t, budget.Take(0, "s"))
	for i := range 100 {
		budget.Request(time.Duration(i)*100*time.Millisecond, "s")
	}
	now := 9900 * time.Millisecond
	allowed := 0
	for budget.Take(now, "s") {
		allowed++
	}
	require.InDelta(t, 9, allowed, 1) // 0.2 x 0.9 x 50: the mean of the three request counts is about 50
	require.Zero(t, budget.allowedRetries(now))
	budget.Refund(now, "s")
	require.Equal(t, 1, budget.allowedRetries(now))
}

func TestTheExtraIsSharedByTheProxies(t *testing.T) {
	for _, proxies := range []int{1, 7, 40, 67, 200} {
		total := 0
		for i := range proxies {
			budget := NewRetryBudget(testRetryConfig, hostName(i))
			budget.SetQuotaMembers(quotaMembersOf(proxies, upTo(proxies), oneRegion))
			for budget.Take(afterFirstWindow, "s") {
				total++
			}
		}
		require.LessOrEqual(t, total, 43, "%d proxies", proxies)
		require.GreaterOrEqual(t, total, 20, "%d proxies", proxies)
	}
}

func TestANewProcessHasNothingOfTheExtra(t *testing.T) {
	budget := NewRetryBudget(testRetryConfig, hostName(0))
	budget.SetQuotaMembers(quotaMembersOf(2, upTo(2), oneRegion))
	require.Zero(t, budget.allowedRetries(time.Second))
	require.Zero(t, budget.allowedRetries(testRetryConfig.Window))
	require.Equal(t, 21, budget.allowedRetries(afterFirstWindow))
}

func TestARefundLeavesTheRetriesThatWereSentCounted(t *testing.T) {
	budget := NewRetryBudget(testRetryConfig, hostName(0))
	budget.SetQuotaMembers(quotaMembersOf(1, upTo(1), oneRegion))
	const first, second = 20 * time.Second, 25 * time.Second
	require.True(t, budget.Take(first, "s"))
	require.True(t, budget.Take(second, "s"))
	budget.Refund(second, "s") // the first was not sent, the second was
	afterFirst := first + afterFirstWindow
	require.Equal(t, 42, budget.allowedRetries(afterFirst))
	require.Equal(t, 43, budget.allowedRetries(second+afterFirstWindow))
}

func TestTheBudgetFollowsTheWindow(t *testing.T) {
	budget := NewRetryBudget(testRetryConfig, hostName(0))
	budget.SetQuotaMembers(quotaMembersOf(7, upTo(7), oneRegion))
	for budget.Take(11*time.Second, "s") {
	}
	require.False(t, budget.Take(20900*time.Millisecond, "s"))
	require.True(t, budget.Take(21200*time.Millisecond, "s"))
	require.True(t, budget.Take(time.Hour, "s"))
}

func TestServicesAreBounded(t *testing.T) {
	budget := NewRetryBudget(testRetryConfig, hostName(0))
	budget.SetQuotaMembers(quotaMembersOf(1, upTo(1), oneRegion))
	for i := range 3 * maxServices {
		budget.Request(time.Second, fmt.Sprint("s", i))
	}
	require.Len(t, budget.services, maxServices)
	require.False(t, budget.Take(time.Second, "another"))
	require.True(t, budget.Take(time.Minute, "another"), "idle ones make room")
	require.Less(t, len(budget.services), maxServices)
}

// TestTheSumOfRetriesStaysUnderTheBound simulates proxies that know different members and retry as often as they are
// allowed, under bursty traffic, and checks the retry limit in every window.
func TestTheSumOfRetriesStaysUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 70).Draw(t, "proxies")
		load := retryLoad{
			proxies:          proxies,
			seed:             rapid.Uint64().Draw(t, "seed"),
			extra:            rapid.IntRange(10, 200).Draw(t, "extra"),
			burst:            rapid.IntRange(1, 100).Draw(t, "burst"),
			rate:             rapid.Float64Range(0, 3).Draw(t, "rate"),
			retryProbability: rapid.Float64Range(0.01, 1).Draw(t, "retry probability"),

			retryFrom: rapid.IntRange(0, loadTicks/2).Draw(t, "first tick of retries"),
		}
		load.offset = drawOffsets(t, load)
		for range rapid.IntRange(0, 4).Draw(t, "restarts") {
			load.restarts = append(load.restarts, drawRestart(t, proxies))
		}
		load.run(t)
	})
}

// drawOffsets draws a delay for the traffic of every second proxy, or no delays.
func drawOffsets(t *rapid.T, load retryLoad) []int {
	offsets := make([]int, load.proxies)
	if !rapid.Bool().Draw(t, "traffic that differs") {
		return offsets
	}
	other := rapid.IntRange(0, 2*load.burst).Draw(t, "offset of every second proxy")
	for i := range offsets {
		offsets[i] = i % 2 * other
	}
	return offsets
}

func drawRestart(t *rapid.T, proxies int) processRestart {
	first := rapid.IntRange(0, proxies-1).Draw(t, "first to restart")
	return processRestart{
		tick:  rapid.IntRange(0, loadTicks-1).Draw(t, "tick of the restart"),
		first: first,
		end:   rapid.IntRange(first+1, proxies).Draw(t, "end of those that restart"),
	}
}

// TestLoadsThatOnceBrokeTheBound replays loads that exceeded the limit under an earlier rule, by which each process
// on its own counted the requests that every window certainly contains, and had a fifth of its extra retries right
// after its start.
func TestLoadsThatOnceBrokeTheBound(t *testing.T) {
	for name, load := range map[string]retryLoad{
		"all restart between two bursts half a window apart": {
			proxies: 61, seed: 0x1ddea9b826b5d61, extra: 110, burst: 100, rate: 1.8495261305451483,
			retryProbability: 0.2383399329451928, restarts: []processRestart{{tick: 773, end: 61}},
		},
		"bursts of two halves of the proxies, a window apart": {
			proxies: 60, seed: 1, extra: 10, burst: 100, rate: 3, retryProbability: 1, offset: alternating(60, 200), period: 1000, retryFrom: 150,
		},
		"each restarts four times in a window": {
			proxies: 10, seed: 1, extra: 200, burst: 100, rate: 0, retryProbability: 1,
			restarts: []processRestart{
				{tick: 410, end: 10}, {tick: 440, end: 10}, {tick: 470, end: 10}, {tick: 500, end: 10},
			},
		},
	} {
		t.Run(name, func(t *testing.T) { load.run(t) })
	}
}

// alternating returns offsets in which every second proxy has the given one.
func alternating(proxies, offset int) []int {
	offsets := make([]int, proxies)
	for i := range offsets {
		offsets[i] = i % 2 * offset
	}
	return offsets
}

const (
	loadTick  = 50 * time.Millisecond
	loadTicks = 1000
)

// retryLoad is simulated traffic of proxies that retry as often as they are allowed.
type retryLoad struct {
	proxies          int
	seed             uint64
	extra            int
	burst            int     // length of a burst of traffic in ticks
	period           int     // ticks from the start of one burst to the next; 0 means twice the burst
	offset           []int   // delay of each proxy's traffic in ticks; nil means none
	rate             float64 // mean requests of a proxy in two ticks of a burst
	retryProbability float64 // probability of attempting one more retry
	// retryFrom is the tick of the first retry. The budget that is unused until then can be used at once.
	retryFrom int
	restarts  []processRestart
}

// processRestart restarts the processes of the proxies with first <= index < end.
type processRestart struct{ tick, first, end int }

// retryProxy is a proxy with the budget of its current process.
type retryProxy struct {
	budget       *RetryBudget
	quotaMembers *pb.QuotaMembers
	started      int // tick
}

func (p *retryProxy) start(config RetryConfig, host string, tick int) {
	p.budget = NewRetryBudget(config, host)
	p.budget.SetQuotaMembers(p.quotaMembers)
	p.started = tick
}

// run simulates the load, and checks the limit in every window.
func (l retryLoad) run(t require.TestingT) {
	config := RetryConfig{Ratio: 0.2, Extra: float64(l.extra), Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(l.seed, 1))
	proxies := l.start(config, random)
	requests, retries := make([]int, loadTicks), make([]int, loadTicks)
	for tick := range loadTicks {
		l.restart(config, proxies, tick)
		for i, proxy := range proxies {
			now := time.Duration(tick-proxy.started) * loadTick
			if l.busy(i, tick) && random.Float64() < l.rate/2 {
				proxy.budget.Request(now, "s")
				requests[tick]++
			}
			for tick >= l.retryFrom && random.Float64() < l.retryProbability && proxy.budget.Take(now, "s") {
				retries[tick]++
			}
		}
	}
	requireBudget(t, config, requests, retries, int(config.Window/loadTick))
}

// start creates the proxies. Each of them knows about nine in ten of the others.
func (l retryLoad) start(config RetryConfig, random *rand.Rand) []*retryProxy {
	proxies := make([]*retryProxy, l.proxies)
	for i := range proxies {
		members := []int{i}
		for j := range proxies {
			if j != i && random.Float64() < 0.9 {
				members = append(members, j)
			}
		}
		proxies[i] = &retryProxy{quotaMembers: quotaMembersOf(l.proxies, members, oneRegion)}
		proxies[i].start(config, hostName(i), 0)
	}
	return proxies
}

func (l retryLoad) restart(config RetryConfig, proxies []*retryProxy, tick int) {
	for _, restart := range l.restarts {
		if restart.tick != tick {
			continue
		}
		for i := restart.first; i < restart.end; i++ {
			proxies[i].start(config, hostName(i), tick)
		}
	}
}

// busy reports whether a proxy has traffic in a tick.
func (l retryLoad) busy(proxy, tick int) bool {
	if l.offset != nil {
		tick -= l.offset[proxy]
	}
	period := l.period
	if period == 0 {
		period = 2 * l.burst
	}
	return tick >= 0 && tick%period < l.burst
}

// requireBudget checks the limit in every window: the retries are compared with the largest of the requests in that
// window, in the window before it, and in the window half a window earlier.
func requireBudget(t require.TestingT, config RetryConfig, requests, retries []int, window int) {
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

// TestTheCountIsNoMoreThanWhatTheWindowsHold compares meanRequests for each window that ends now with the exact mean
// over that window, the one before it and the one half a window earlier. Windows begin anywhere in a bucket.
func TestTheCountIsNoMoreThanWhatTheWindowsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perBucket = 4 // instants in a bucket at which requests are counted
		window := 100*bucketWidth + time.Duration(rapid.IntRange(0, 3).Draw(t, "quarters"))*bucketWidth/perBucket
		instant := bucketWidth / perBucket
		length := int(window / instant)
		c := newWindowCounts(window)
		history := make([]int, 3*length)
		for i := range history {
			c.advance(time.Duration(i) * instant)
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
		c.accumulate()
		last := len(history) - 1
		for from := last - length + 1; from <= last; from++ {
			found := sum(from, from+length) + sum(from-length, from) + sum(from-length/2, from+length/2)
			age := last/perBucket - from/perBucket
			require.LessOrEqual(t, c.meanRequests(age), found/3+1e-9, "window from %d", from)
			require.GreaterOrEqual(t, c.meanRequests(age), (found-float64(boundaryRequests(history, from, length, perBucket)))/3-1e-9)
		}
	})
}

// boundaryRequests returns the number of requests near the boundaries of the three windows, which a count by buckets
// may miss.
func boundaryRequests(history []int, from, length, perBucket int) int {
	total := 0
	for _, end := range []int{from, from, from, from - length, from - length/2, from + length/2} {
		for i := max(end-2*perBucket, 0); i < min(end+2*perBucket, len(history)); i++ {
			total += history[i]
		}
	}
	return total
}

// allowedRetries returns the number of retries to service "s" that Take would allow now.
func (b *RetryBudget) allowedRetries(now time.Duration) int {
	c := b.windowCounts(now, "s")
	if c == nil {
		return 0
	}
	return max(int(b.remainingRetries(now, c, "s")), 0)
}
