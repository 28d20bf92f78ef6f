package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/policy"
)

// learnFromAnswers updates an estimator with answers to prompts of random lengths, each queued for a random time.
func learnFromAnswers(e *prefillEstimator, perToken time.Duration, wait func(*rand.Rand) time.Duration, count int) {
	random := rand.New(rand.NewPCG(5, 6))
	for i := range count {
		tokens := random.IntN(6000)
		now := time.Duration(i) * 300 * time.Millisecond
		e.learn(now, tokens, baseLatency+time.Duration(tokens)*perToken+wait(random))
	}
}

func TestPrefillTimesAreLearnt(t *testing.T) {
	for name, perToken := range map[string]time.Duration{
		"three times faster": 9 * time.Microsecond,
		"initial value":      26 * time.Microsecond,
		"three times slower": 78 * time.Microsecond,
	} {
		t.Run(name, func(t *testing.T) {
			e := newPrefillEstimator()
			learnFromAnswers(&e, perToken, func(random *rand.Rand) time.Duration {
				return time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
			}, 200)
			require.InEpsilon(t, float64(perToken), float64(e.perToken), 0.25)
		})
	}
}

func TestQueueingMovesThePrefillTimeLittle(t *testing.T) {
	e := newPrefillEstimator()
	learnFromAnswers(&e, initialPerToken, func(random *rand.Rand) time.Duration {
		return 400*time.Millisecond + time.Duration(random.IntN(100))*time.Millisecond
	}, 200)
	require.InEpsilon(t, float64(initialPerToken), float64(e.perToken), 0.35)
}

func TestAnswersOfOneLengthTeachNothing(t *testing.T) {
	e := newPrefillEstimator()
	for i := range 100 {
		e.learn(time.Duration(i)*time.Second, 500, time.Second)
	}
	require.Equal(t, initialPerToken, e.perToken)
}

func TestOldAnswersAreNotComparedWithNewOnes(t *testing.T) {
	e := newPrefillEstimator()
	for range 20 {
		e.learn(0, 500, 50*time.Millisecond)
	}
	for range 20 {
		e.learn(maxComparisonGap+time.Second, 5000, 5*time.Second)
	}
	require.Equal(t, initialPerToken, e.perToken)
}

// serveAlternating serves long and short prompts in turn, with a given prefill time per token.
func serveAlternating(f *fixture, perToken time.Duration, count int) {
	for i := range count {
		request := f.greeting(i)
		if i%2 == 0 {
			request = f.summary(i%7, i)
		}
		decision := f.pick(request)
		f.now += baseLatency + time.Duration(decision.PrefillTokens)*perToken
		f.p.Started(f.now, decision.Attempt)
		f.p.Finished(f.now, decision.Attempt, Done)
		f.p.RequestDone(f.now, request, true, f.now-arrivalOf(request))
		f.now += 100 * time.Millisecond
	}
}

func TestAPlacerLearnsThePrefillTimeOfItsServers(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	serveAlternating(f, 60*time.Microsecond, 200)
	require.Greater(t, f.p.services[modelService].prefill.perToken, 40*time.Microsecond)
}

func TestPrefillTimesStayInitialWhenLearningIsSwitchedOff(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.config.Off = switchedOff(t, policy.PrefillRate)
	f.warm()
	serveAlternating(f, 60*time.Microsecond, 200)
	require.Equal(t, initialPerToken, f.p.services[modelService].prefill.perToken)
}
