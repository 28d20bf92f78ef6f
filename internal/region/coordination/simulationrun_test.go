package coordination

import (
	"os"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/history"
)

// Environment variables that select the seeds of the simulation.
const (
	seedsVariable = "COORDINATION_SEEDS" // number of seeds to run
	firstVariable = "COORDINATION_FIRST_SEED"
)

const defaultSeeds = 200

func intFromEnv(t *testing.T, variable string, fallback int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err)
	return number
}

// checkRun runs one simulation and checks its history.
func checkRun(seed uint64, fault plantedFault) history.Verdict {
	return history.Check(runSimulation(seed, fault), history.Options{Retention: retention})
}

// checkSeeds checks the runs of a range of seeds, several at a time, until take returns false.
func checkSeeds(first, count, workers int, fault plantedFault, take func(seed uint64, verdict history.Verdict) bool) {
	var mu sync.Mutex
	var group sync.WaitGroup
	next := first
	draw := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= first+count {
			return 0, false
		}
		next++
		return uint64(next - 1), true
	}
	give := func(seed uint64, verdict history.Verdict) {
		mu.Lock()
		defer mu.Unlock()
		if !take(seed, verdict) {
			next = first + count
		}
	}
	for range workers {
		group.Go(func() {
			for seed, more := draw(); more; seed, more = draw() {
				give(seed, checkRun(seed, fault))
			}
		})
	}
	group.Wait()
}

const simulationWorkers = 4

func TestCallsKeepTheirRulesUnderFaults(t *testing.T) {
	first := intFromEnv(t, firstVariable, 1)
	count := intFromEnv(t, seedsVariable, defaultSeeds)
	failures := 0
	checkSeeds(first, count, simulationWorkers, plantedFault{}, func(seed uint64, verdict history.Verdict) bool {
		if !assert.True(t, verdict.Passed(), "%s=%d %s=1: %v", firstVariable, seed, seedsVariable, verdict) {
			failures++
		}
		return failures < 10
	})
}

func TestSimulationRepeatsBySeed(t *testing.T) {
	for seed := range uint64(5) {
		require.Equal(t, runSimulation(seed, plantedFault{}), runSimulation(seed, plantedFault{}))
	}
}

func TestSimulatedCallsSucceedOften(t *testing.T) {
	outcomes := make(map[history.Kind]map[history.Outcome]int)
	for seed := range uint64(10) {
		for _, call := range runSimulation(seed, plantedFault{}) {
			if outcomes[call.Kind] == nil {
				outcomes[call.Kind] = make(map[history.Outcome]int)
			}
			outcomes[call.Kind][call.Outcome]++
		}
	}
	t.Log(outcomes)
	for kind, counts := range outcomes {
		assert.Greater(t, counts[history.OK], 100, kind)
	}
	assert.Positive(t, outcomes[history.Acquire][history.Held])
	assert.Positive(t, outcomes[history.Renew][history.Held])
	assert.Positive(t, outcomes[history.Put][history.Mismatch])
}
