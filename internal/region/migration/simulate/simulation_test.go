package simulate

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/execute"
)

// Times of a run: new faults occur until faultsUntil, and the run must end within longestRun.
const (
	faultsUntil = 60 * time.Second
	longestRun  = 400 * time.Second
)

// environmentInt reads an integer from an environment variable.
func environmentInt(name string, defaultValue int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return defaultValue
}

// simulateRun simulates a run to its end.
func simulateRun(drawn *scenario, seed uint64, adjust func(*faults)) *deployment {
	d := prepareRun(drawn, seed, faultNone, adjust)
	d.run()
	return d
}

// prepareRun sets up a run. The same scenario, seed, planted fault and adjustment result in the same run.
func prepareRun(drawn *scenario, seed uint64, planted plantedFault, adjust func(*faults)) *deployment {
	random := rand.New(rand.NewPCG(seed, 2))
	d := newDeployment(random, drawn.input, drawn.plan, drawn.copyClients(), planted)
	d.faults = defaultFaults()
	if random.IntN(6) == 0 {
		d.faults.abortAt = d.durationBetween(5*time.Second, faultsUntil)
	}
	if adjust != nil {
		adjust(&d.faults)
	}
	return d
}

// run advances the deployment until the run has ended and no further faults occur, or until the first violation, and then
// for another 20 s.
func (d *deployment) run() {
	for d.now < longestRun && len(d.checker.violations) == 0 {
		d.step()
		committed := d.store.committed
		if committed != nil && committed.Outcome.Ended() && d.now > d.faults.until {
			break
		}
	}
	for range int(20 * time.Second / tick) {
		d.step()
	}
	d.checker.end()
}

// withoutFaults removes all faults.
func withoutFaults(f *faults) { *f = faults{propagation: f.propagation, maxSendDelay: f.maxSendDelay} }

// requireNoViolations fails the test with every violation of a run.
func requireNoViolations(t *testing.T, seed uint64, d *deployment) {
	t.Helper()
	for _, violation := range d.checker.violations {
		t.Errorf("seed %d at %s: %s: %s", seed, violation.at, violation.rule, violation.text)
	}
	require.Empty(t, d.checker.violations)
}

func TestRunsUnderFaults(t *testing.T) {
	first, runs := environmentInt("MIGRATION_FIRST", 1), environmentInt("MIGRATION_RUNS", 6)
	var total counts
	seen := map[execute.Phase]int{}
	outcomes := map[execute.Outcome]int{}
	for seed := uint64(first); seed < uint64(first+runs); seed++ {
		d := simulateRun(drawScenario(seed), seed, nil)
		requireNoViolations(t, seed, d)
		total.add(&d.counts)
		outcomes[d.store.committed.Outcome]++
		for phase, count := range d.checker.phases {
			seen[phase] += count
		}
	}
	t.Logf("%d runs: %+v, outcomes %v, phases %v", runs, total, outcomes, seen)
}

func TestNothingIsRejectedWithoutFaults(t *testing.T) {
	var total counts
	for seed := uint64(1); seed <= 3; seed++ {
		d := simulateRun(drawScenario(seed), seed, withoutFaults)
		requireNoViolations(t, seed, d)
		require.Equal(t, execute.Done, d.store.committed.Outcome)
		total.add(&d.counts)
	}
	t.Logf("%+v", total)
	require.Zero(t, total.noEdge)
	require.Less(t, float64(total.rejected), 0.001*float64(total.requests))
}

// The executor is killed at each store of a run in turn, before or after the store was sent, and its successor must
// complete the run without a violation.
func TestKillAtEveryStep(t *testing.T) {
	kills := 0
	for seed := uint64(1); seed <= uint64(environmentInt("MIGRATION_KILL_SEEDS", 1)); seed++ {
		drawn := drawScenario(seed)
		for at := 1; ; at++ {
			d := simulateRun(drawn, seed, func(f *faults) {
				withoutFaults(f)
				f.killAt = at
			})
			requireNoViolations(t, seed, d)
			if d.counts.kills == 0 {
				break
			}
			kills++
		}
	}
	t.Logf("%d kills", kills)
	require.Positive(t, kills)
}

func (c *counts) add(other *counts) {
	c.requests += other.requests
	c.served += other.served
	c.rejected += other.rejected
	c.noEdge += other.noEdge
	c.crashed += other.crashed
	c.migrated += other.migrated
	c.crashes += other.crashes
	c.bursts += other.bursts
	c.partitions += other.partitions
	c.kills += other.kills
	c.states += other.states
	c.uncordoned += other.uncordoned
}
