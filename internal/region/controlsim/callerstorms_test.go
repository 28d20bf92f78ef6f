package controlsim

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/history"
)

const (
	// callSeeds is the number of runs of each kind; the environment variable CONTROLSIM_CALLS sets another one,
	// CONTROLSIM_FIRST the first seed.
	callSeeds = 12
	// callAdversaryDuration is how long an adversary takes machines from callers.
	callAdversaryDuration = 30 * time.Second
	// callPartitionDuration is how long machines are partitioned from callers.
	callPartitionDuration = 30 * time.Second
)

// callTotals add up what callers met in many runs.
type callTotals struct {
	totals
	mu         sync.Mutex
	outcomes   map[history.Outcome]int
	recoveries durationsByKind
}

func (f *callTotals) addCalls(w *world) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outcomes == nil {
		f.outcomes = make(map[history.Outcome]int)
	}
	for _, call := range w.callers.applications.History() {
		f.outcomes[call.Outcome]++
	}
	for kind, took := range w.callers.recoveries {
		f.recoveries.add(string(kind), took)
	}
}

// eachWithCallers plays runs with callers.
func eachWithCallers(t *testing.T, play func(plan plan) *world) {
	t.Helper()
	first := envInt("CONTROLSIM_FIRST", 1)
	count := envInt("CONTROLSIM_CALLS", callSeeds)
	var total callTotals
	t.Cleanup(func() {
		t.Logf("%d runs: %v; until calls were served: %s", count, total.outcomes, strings.Join(total.recoveries.lines(), "; "))
		require.Positive(t, total.outcomes[history.OK])
	})
	total.each(t, first, count, func(seed uint64) *world {
		plan := randomPlan(seed)
		plan.callers = true
		w := play(plan)
		total.addCalls(w)
		return w
	})
}

func TestCallsKeepTheirRulesThroughStorms(t *testing.T) {
	eachWithCallers(t, playStorm)
}

func TestCallsKeepTheirRulesWhenADiskIsLostAmidOtherFaults(t *testing.T) {
	eachWithCallers(t, func(plan plan) *world {
		plan.overlappingLosses = true
		return playStorm(plan)
	})
}

func TestCallsKeepTheirRulesThroughPartitions(t *testing.T) {
	eachWithCallers(t, func(plan plan) *world {
		return playPartitions(partitionPlan{plan: plan, lasts: callPartitionDuration}).world
	})
}

func TestCallsKeepTheirRulesAgainstAnAdversary(t *testing.T) {
	eachWithCallers(t, func(drawn plan) *world {
		deployment := deployments[drawn.seed%uint64(len(deployments))]
		plan := deployment.plan(drawn.seed, mutation{})
		plan.callers = true
		w, _ := attackWorld(deployment, plan, callAdversaryDuration)
		return w
	})
}

func TestCallsKeepTheirRulesWhileMachinesLeaveInTurn(t *testing.T) {
	pauses := []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second}
	eachWithCallers(t, func(drawn plan) *world {
		plan := calmPlan(drawn.seed)
		plan.callers = true
		w := newWorld(plan)
		w.run(2 * time.Second)
		return w.rollWithOrders(pauses[plan.seed%uint64(len(pauses))], &rollMeasurements{})
	})
}

func TestRunsWithCallersRepeatBySeed(t *testing.T) {
	plan := randomPlan(2)
	plan.callers = true
	require.Equal(t, playStorm(plan).callers.applications.History(), playStorm(plan).callers.applications.History())
}

// Seed 3024: a voter that lost its disk stays among five, so that the loss of a zone takes the majority.
func TestVoterWithoutItsDiskIsRemovedWhileCallersCall(t *testing.T) {
	plan := deployments[0].plan(3024, mutation{})
	plan.callers = true
	w, _ := attackWorld(deployments[0], plan, callAdversaryDuration)
	require.Empty(t, w.checker.failures)
}
