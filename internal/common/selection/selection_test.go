package selection

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestASampleWeighsByTheGapSinceTheLast(t *testing.T) {
	for _, c := range []struct {
		gap   time.Duration
		alpha float64
	}{
		{0, 0},
		{300 * time.Millisecond, 1 - math.Exp(-0.1)},
		{3 * time.Second, 1 - math.Exp(-1)},
		{30 * time.Second, 1 - math.Exp(-10)},
	} {
		require.InDelta(t, c.alpha, Alpha(c.gap), 1e-15, "gap %v", c.gap)
	}
}

func TestAFirstSampleSeedsTheEstimate(t *testing.T) {
	var e Estimate
	require.False(t, e.Seeded())
	require.Zero(t, e.Speed())
	e.Observe(time.Millisecond, 12) // alpha would be 0.0003
	require.True(t, e.Seeded())
	require.Equal(t, 12.0, e.Speed())
	require.Equal(t, time.Millisecond, e.SampledAt())
}

func TestAFailureSeedsAnEstimateOfZero(t *testing.T) {
	var e Estimate
	e.Observe(time.Second, 0)
	require.True(t, e.Seeded())
	require.Zero(t, e.Speed())
}

func TestAnEstimateMovesByTheAgedShare(t *testing.T) {
	for _, c := range []struct {
		gap            time.Duration
		sample, expect float64
	}{
		{0, 20, 10}, // at the time of the last sample: no weight
		{300 * time.Millisecond, 20, 10 + 10*(1-math.Exp(-0.1))},
		{3 * time.Second, 20, 10 + 10*(1-math.Exp(-1))}, // above the estimate: unbounded weight
		{time.Minute, 20, 10 + 10*(1-math.Exp(-20))},
		{300 * time.Millisecond, 0, 10 - 10*(1-math.Exp(-0.1))},
		{2 * time.Second, 0, 10 - 10*(1-math.Exp(-2.0/3))}, // weight 0.487, below the bound
		{3 * time.Second, 0, 5},                            // weight bounded at one half
		{time.Hour, 4, 7},
	} {
		var e Estimate
		e.Observe(time.Second, 10)
		e.Observe(time.Second+c.gap, c.sample)
		require.InDelta(t, c.expect, e.Speed(), 1e-12, "gap %v sample %v", c.gap, c.sample)
		require.Equal(t, time.Second+c.gap, e.SampledAt())
	}
}

func TestAnEstimateStaysAmongItsSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimate
		now, low, high := time.Duration(0), math.Inf(1), 0.0
		for range rapid.IntRange(1, 50).Draw(t, "samples") {
			now += time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "gap"))
			sample := rapid.Float64Range(0, 1000).Draw(t, "sample")
			low, high = min(low, sample), max(high, sample)
			before, seeded := e.Speed(), e.Seeded()
			e.Observe(now, sample)
			if e.Speed() < low-1e-9 || e.Speed() > high+1e-9 {
				t.Fatalf("speed %v, want a value within the samples, %v to %v", e.Speed(), low, high)
			}
			if seeded && sample < before && e.Speed() < before-maxAlphaDown*(before-sample)-1e-9 {
				t.Fatalf("one sample of %v lowered the speed from %v to %v, more than half way",
					sample, before, e.Speed())
			}
		}
	})
}

// paperWeights are the probabilities of the softmax as the paper defines them.
func paperWeights(speeds []float64, tau float64) []float64 {
	best, total := slices.Max(speeds), 0.0
	fractions := make([]float64, len(speeds))
	for i, speed := range speeds {
		fractions[i] = math.Exp(speed / best / tau)
		total += fractions[i]
	}
	for i := range fractions {
		fractions[i] /= total
	}
	return fractions
}

// sweep returns the fraction of each index in the picks of evenly spread draws.
func sweep(speeds []float64, tau float64, draws int) []float64 {
	fractions := make([]float64, len(speeds))
	for i := range draws {
		fractions[Softmax(slices.Clone(speeds), tau, (float64(i)+0.5)/float64(draws))] += 1 / float64(draws)
	}
	return fractions
}

func TestSoftmaxPicksByTheSpeedOverTheBest(t *testing.T) {
	for _, tau := range []float64{DefaultBands.TauTarget, DefaultBands.TauFull} {
		for _, speeds := range [][]float64{{1}, {10, 10, 10}, {10, 5, 1, 0}, {0, 0, 3}, {400, 399}} {
			expect := paperWeights(speeds, tau)
			got := sweep(speeds, tau, 20_000)
			for i := range speeds {
				require.InDelta(t, expect[i], got[i], 2e-4, "tau %v speeds %v", tau, speeds)
			}
		}
	}
}

func TestSoftmaxDependsOnRatiosOnly(t *testing.T) {
	require.Equal(t, sweep([]float64{1, 2, 4}, 0.2, 1000), sweep([]float64{1024, 2048, 4096}, 0.2, 1000))
}

func TestTheNarrowTemperaturePicksTheBestMoreOften(t *testing.T) {
	speeds := []float64{10, 8, 6}
	narrow, wide := sweep(speeds, DefaultBands.TauTarget, 1000), sweep(speeds, DefaultBands.TauFull, 1000)
	require.Greater(t, narrow[0], wide[0])
	require.Less(t, narrow[2], wide[2])
}

func TestSoftmaxIsUniformWhenNoSpeedIsAboveZero(t *testing.T) {
	for _, fraction := range sweep([]float64{0, 0, 0, 0}, 0.2, 1000) {
		require.InDelta(t, 0.25, fraction, 1e-9)
	}
	speeds := []float64{0, 0}
	require.False(t, Weigh(speeds, 0.2))
	require.Equal(t, []float64{0, 0}, speeds)
}

func TestAnyDrawPicksAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speeds := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 30).Draw(t, "speeds")
		draw := rapid.Float64Range(0, math.Nextafter(1, 0)).Draw(t, "draw")
		count := len(speeds)
		if picked := Softmax(speeds, 0.2, draw); picked < 0 || picked >= count {
			t.Fatalf("picked index %d of %d speeds", picked, count)
		}
	})
	require.Equal(t, 1, Draw([]float64{1, 1}, 1), "a draw of 1 picks the last index")
}

func TestScaledWeightsShiftTheDraw(t *testing.T) {
	weights := []float64{10, 10}
	require.True(t, Weigh(weights, 0.2))
	weights[1] *= 3
	picks := make([]int, 2)
	for i := range 1000 {
		picks[Draw(weights, (float64(i)+0.5)/1000)]++
	}
	require.Equal(t, []int{250, 750}, picks)
}

func TestSlackStartsAtItsInitialValue(t *testing.T) {
	slack := NewSlack(DefaultBands)
	require.Equal(t, 0.8, slack.Fraction)
	tau, walk := slack.Temperature()
	require.False(t, walk)
	require.Equal(t, 0.2, tau)
}

func TestSlackSelectsTheTemperatureOrTheWalk(t *testing.T) {
	own := Bands{Low: 0.4, High: 0.6, TauTarget: 0.1, TauFull: 0.5}
	for _, c := range []struct {
		bands    Bands
		fraction float64
		tau      float64
		walk     bool
	}{
		{DefaultBands, 0, 0, true},
		{DefaultBands, 0.299, 0, true},
		{DefaultBands, 0.3, 0.2, false},
		{DefaultBands, 0.5, 0.2, false},
		{DefaultBands, 0.8, 0.2, false},
		{DefaultBands, 0.801, 0.333, false},
		{DefaultBands, 1, 0.333, false},
		{own, 0.39, 0, true},
		{own, 0.4, 0.1, false},
		{own, 0.6, 0.1, false},
		{own, 0.61, 0.5, false},
	} {
		slack := NewSlack(c.bands)
		slack.Fraction = c.fraction
		tau, walk := slack.Temperature()
		require.Equal(t, c.walk, walk, "%+v", c)
		if !walk {
			require.Equal(t, c.tau, tau, "%+v", c)
		}
	}
}

func TestSlackIsTheAgedShareInTime(t *testing.T) {
	slack := NewSlack(DefaultBands)
	require.True(t, slack.Begin(time.Minute))
	require.False(t, slack.Begin(2*time.Minute), "the aging has started already")
	alpha := 1 - math.Exp(-0.1)
	slack.Observe(time.Minute+300*time.Millisecond, false)
	require.InDelta(t, 0.8*(1-alpha), slack.Fraction, 1e-12)
	slack.Observe(time.Minute+600*time.Millisecond, true)
	require.InDelta(t, 0.8*(1-alpha)*(1-alpha)+alpha, slack.Fraction, 1e-12)
}

func TestOneRequestMovesTheSlackHalfWayAtMost(t *testing.T) {
	slack := NewSlack(DefaultBands)
	slack.Observe(time.Hour, false)
	require.InDelta(t, 0.4, slack.Fraction, 1e-12)
	slack.Observe(2*time.Hour, true)
	require.InDelta(t, 0.7, slack.Fraction, 1e-12)
}

func TestSlackStaysAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack, now := NewSlack(DefaultBands), time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "requests") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "gap"))
			slack.Observe(now, rapid.Bool().Draw(t, "in time"))
			if slack.Fraction < 0 || slack.Fraction > 1 {
				t.Fatalf("slack %v, want a value from 0 to 1", slack.Fraction)
			}
		}
	})
}

// serverSpeeds are the speeds of servers by name, which a test may change.
type serverSpeeds map[string]float64

func (s serverSpeeds) speed(name string) float64 { return s[name] }

func TestAWalkStaysOnTheFastestUntilItIsLeft(t *testing.T) {
	speeds, names := serverSpeeds{"a": 1, "b": 9, "c": 5}, []string{"a", "b", "c"}
	var walk Walk[string]
	for range 3 {
		require.Equal(t, "b", walk.Pick(names, names, speeds.speed))
	}
	speeds["b"] = 0 // the walk stays at b until it is left, whatever its speed
	require.Equal(t, "b", walk.Pick(names, names, speeds.speed))
	walk.MovePast("b")
	require.Equal(t, "c", walk.Pick(names, names, speeds.speed))
	walk.MovePast("b") // the walk is already past b
	require.Equal(t, "c", walk.Pick(names, names, speeds.speed))
	walk.MovePast("c")
	require.Equal(t, "a", walk.Pick(names, names, speeds.speed))
}

func TestAWalkSortsAnewAtItsEnd(t *testing.T) {
	speeds, names := serverSpeeds{"a": 2, "b": 1}, []string{"a", "b"}
	var walk Walk[string]
	require.Equal(t, "a", walk.Pick(names, names, speeds.speed))
	walk.MovePast("a")
	require.Equal(t, "b", walk.Pick(names, names, speeds.speed))
	speeds["a"], speeds["b"] = 3, 4
	walk.MovePast("b")
	require.Equal(t, "b", walk.Pick(names, names, speeds.speed), "sorted by the present speeds")
}

func TestAWalkSkipsServersThatAreNoCandidates(t *testing.T) {
	speeds, names := serverSpeeds{"a": 3, "b": 2, "c": 1}, []string{"a", "b", "c"}
	var walk Walk[string]
	require.Equal(t, "b", walk.Pick(names, []string{"c", "b"}, speeds.speed))
	require.Equal(t, "a", walk.Pick(names, names, speeds.speed), "skipping a server does not leave it")
	walk.MovePast("c") // c is the last of the list, so the walk moves past the servers before it too
	require.Equal(t, "a", walk.Pick(names, names, speeds.speed), "the list is sorted again at its end")
}

func TestAWalkWithoutAListedCandidateTakesTheFirst(t *testing.T) {
	var walk Walk[string]
	require.Equal(t, "x", walk.Pick([]string{"a"}, []string{"x", "y"}, serverSpeeds{}.speed))
	require.Equal(t, "x", walk.Pick(nil, []string{"x", "y"}, serverSpeeds{}.speed))
}

func TestEqualSpeedsKeepTheirOrder(t *testing.T) {
	names := []string{"q", "d", "z", "k"}
	var walk Walk[string]
	for _, name := range names {
		require.Equal(t, name, walk.Pick(names, names, serverSpeeds{}.speed))
		walk.MovePast(name)
	}
}

func TestAResetWalkSortsAnew(t *testing.T) {
	speeds, names := serverSpeeds{"a": 2, "b": 1}, []string{"a", "b"}
	var walk Walk[string]
	walk.Pick(names, names, speeds.speed)
	walk.MovePast("a")
	walk.Reset()
	require.Equal(t, "a", walk.Pick(names, names, speeds.speed))
	walk.Reset()
	walk.MovePast("a") // the list is empty after the reset
	require.Equal(t, "a", walk.Pick(names, names, speeds.speed))
}

func TestAWalkAlwaysGivesACandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var walk Walk[int]
		servers := random.Perm(1 + random.IntN(10))
		speed := func(int) float64 { return random.Float64() }
		for range 50 {
			candidates := servers[random.IntN(len(servers)):]
			picked := walk.Pick(servers, candidates, speed)
			if !slices.Contains(candidates, picked) {
				t.Fatalf("picked %d, not one of %v", picked, candidates)
			}
			switch random.IntN(4) {
			case 0:
				walk.MovePast(picked)
			case 1:
				walk.MovePast(servers[random.IntN(len(servers))])
			case 2:
				walk.Reset()
			}
		}
	})
}
