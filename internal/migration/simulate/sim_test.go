package simulate

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/migration/execute"
)

// Times of a run: faults stop, and the run ends within what is left.
const (
	faultsUntil = 60 * time.Second
	longestRun  = 400 * time.Second
)

// numberOf reads a number from the environment.
func numberOf(name string, usual int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return usual
}

// simulated plays one run to its end.
func simulated(drawn *scenario, seed uint64, adjust func(*faults)) *world {
	w := prepared(drawn, seed, noFlaw, adjust)
	w.play()
	return w
}

func prepared(drawn *scenario, seed uint64, planted flaw, adjust func(*faults)) *world {
	random := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(random, drawn.input, drawn.plan, drawn.freshClients(), planted)
	w.faults = usualFaults()
	if random.IntN(6) == 0 {
		w.faults.abortAt = w.between(5*time.Second, faultsUntil)
	}
	if adjust != nil {
		adjust(&w.faults)
	}
	return w
}

// play lets the run come to its end, or to the first broken rule.
func (w *world) play() {
	for w.now < longestRun && len(w.checker.violations) == 0 {
		w.step()
		committed := w.store.committed
		if committed != nil && committed.Outcome.Ended() && w.now > w.faults.until {
			break
		}
	}
	for range int(20 * time.Second / tick) {
		w.step()
	}
	w.checker.end()
}

// calm lets nothing go wrong.
func calm(f *faults) { *f = faults{spread: f.spread, send: f.send} }

func requireNone(t *testing.T, seed uint64, w *world) {
	t.Helper()
	for _, one := range w.checker.violations {
		t.Errorf("seed %d at %s: %s: %s", seed, one.at, one.rule, one.text)
	}
	require.Empty(t, w.checker.violations)
}

func TestRunsUnderFaults(t *testing.T) {
	first, runs := numberOf("MIGRATION_FIRST", 1), numberOf("MIGRATION_RUNS", 6)
	var total counts
	seen := map[execute.Phase]int{}
	outcomes := map[execute.Outcome]int{}
	for seed := uint64(first); seed < uint64(first+runs); seed++ {
		w := simulated(drawScenario(seed), seed, nil)
		requireNone(t, seed, w)
		total.add(&w.counts)
		outcomes[w.store.committed.Outcome]++
		for phase, count := range w.checker.seen {
			seen[phase] += count
		}
	}
	t.Logf("%d runs: %+v, outcomes %v, phases %v", runs, total, outcomes, seen)
}

func TestNothingIsTurnedAwayWithoutFaults(t *testing.T) {
	var total counts
	for seed := uint64(1); seed <= 3; seed++ {
		w := simulated(drawScenario(seed), seed, calm)
		requireNone(t, seed, w)
		require.Equal(t, execute.Done, w.store.committed.Outcome)
		total.add(&w.counts)
	}
	t.Logf("%+v", total)
	require.Zero(t, total.noEdge)
	require.Less(t, float64(total.turnedAway), 0.001*float64(total.asked))
}

// The executor is killed at every store of a run in turn, before or after it is sent.
func TestKillAtEveryStep(t *testing.T) {
	kills := 0
	for seed := uint64(1); seed <= uint64(numberOf("MIGRATION_KILL_SEEDS", 1)); seed++ {
		drawn := drawScenario(seed)
		for at := 1; ; at++ {
			w := simulated(drawn, seed, func(f *faults) {
				calm(f)
				f.killAt = at
			})
			requireNone(t, seed, w)
			if w.counts.kills == 0 {
				break
			}
			kills++
		}
	}
	t.Logf("%d kills", kills)
	require.Positive(t, kills)
}

func (c *counts) add(other *counts) {
	c.asked += other.asked
	c.served += other.served
	c.turnedAway += other.turnedAway
	c.noEdge += other.noEdge
	c.crashed += other.crashed
	c.moved += other.moved
	c.crashes += other.crashes
	c.bursts += other.bursts
	c.cuts += other.cuts
	c.kills += other.kills
	c.states += other.states
	c.givenBack += other.givenBack
}
