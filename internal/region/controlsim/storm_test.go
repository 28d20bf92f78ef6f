package controlsim

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/chain"
)

const (
	defaultSeeds = 120
	// shards is the number of runs at a time
	shards = 4
	// maxFailed is the number of failed runs after which no more are begun
	maxFailed = 20
	// stormDuration is how long faults happen in a run
	stormDuration = 25 * time.Second
	// foundingLimit is the limit for the first acknowledgement after the start
	foundingLimit = 5 * time.Second
	// recoveryLimit is the limit for an acknowledgement after the last fault
	recoveryLimit = 10 * time.Second
	// convergenceLimit is the limit for all machines to hold the newest state after that
	convergenceLimit = 5 * time.Second
)

// envInt is the value of an environment variable, or otherwise if it is no number.
func envInt(name string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return value
}

// defaultRequirement is what a chain needs to take orders.
var defaultRequirement = chain.Requirement{Replicas: 2, Zones: 2}

// randomPlan draws the size of a system by the seed.
func randomPlan(seed uint64) plan {
	sizes := []int{3, 3, 3, 4, 5, 5, 6, 9}
	machines := sizes[seed%uint64(len(sizes))]
	spurious := []float64{0, 0, 0, 0.02, 0.1}[seed%5]
	return plan{
		seed:              seed,
		spuriousProposals: spurious,
		machines:          machines,
		zones:             3,
		requirement:       defaultRequirement,
	}
}

// threeMachines is a plan of three machines on a network without faults.
func threeMachines(seed uint64, planted mutation) plan {
	return plan{
		seed:        seed,
		machines:    3,
		zones:       3,
		requirement: defaultRequirement,
		mutation:    planted,
		calm:        true,
	}
}

// playStorm runs a world through a storm and returns it with the checker's findings.
func playStorm(plan plan) *world {
	w := newWorld(plan)
	w.playStorm()
	return w
}

// playStorm runs the world through a storm, and completes the checker's findings.
func (w *world) playStorm() {
	operators := []*operator{w.addOperator(1), w.addOperator(2)}
	storm := w.addRandomFaults()
	w.run(stormDuration)
	storm.heal()
	w.plan.spuriousProposals = 0
	for _, operator := range operators {
		operator.stopped = true
	}
	w.checkLiveness()
	w.checker.finish()
}

// checkLiveness: orders are acknowledged again, and all machines get the newest state.
func (w *world) checkLiveness() {
	w.probeCalls()
	last := &operator{world: w, name: 3, stopped: true}
	began := w.now
	last.submitUntilAcknowledged()
	if !w.runUntil(recoveryLimit, func() bool { return last.attempts < 0 }) {
		w.checker.fail("no acknowledgement within %v", recoveryLimit)
		return
	}
	w.tracef("acknowledged %v after the last trouble", w.now-began)
	w.runUntil(convergenceLimit, w.converged)
	w.checkCalls()
}

// converged reports whether all machines hold the newest state.
func (w *world) converged() bool {
	for _, host := range w.remaining() {
		if host.machine == nil || host.machine.Committed() == nil || host.machine.Committed().Sequence() != w.checker.newestCommitted {
			return false
		}
	}
	return true
}

// totals add up what happened in many runs.
type totals struct {
	acknowledged, refused, reads, views, failed atomic.Int64
	repeats, unclear, most, races               atomic.Int64
}

// requireAcknowledged logs what has happened in so many runs, and requires that some orders were acknowledged.
func (f *totals) requireAcknowledged(t *testing.T, count int) {
	t.Helper()
	t.Logf("%d runs: %d acknowledged, %d refused, %d reads, %d views, %d failed", count,
		f.acknowledged.Load(), f.refused.Load(), f.reads.Load(), f.views.Load(), f.failed.Load())
	require.Positive(t, f.acknowledged.Load())
}

func (f *totals) add(w *world) {
	f.acknowledged.Add(int64(w.checker.acknowledged))
	f.refused.Add(int64(w.checker.refusals))
	f.reads.Add(int64(w.checker.reads))
	f.views.Add(int64(len(w.checker.views)))
}

func TestMachinesKeepTheirPromisesThroughStorms(t *testing.T) {
	first := envInt("CONTROLSIM_FIRST", 1)
	count := envInt("CONTROLSIM_SEEDS", defaultSeeds)
	var total totals
	t.Cleanup(func() { total.requireAcknowledged(t, count) })
	total.each(t, first, count, func(seed uint64) *world {
		w := playStorm(randomPlan(seed))
		total.add(w)
		return w
	})
}

// each plays so many seeds from the first one on, some at a time, until too many have failed.
func (f *totals) each(t *testing.T, first, count int, play func(seed uint64) *world) {
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for seed := first + shard; seed < first+count && f.failed.Load() < maxFailed; seed += shards {
				f.report(t, uint64(seed), play(uint64(seed)))
			}
		})
	}
}

// report fails the test if the checker found something, and prints the trace of the first such run.
func (f *totals) report(t *testing.T, seed uint64, w *world) {
	if len(w.checker.failures) == 0 {
		return
	}
	t.Errorf("seed %d: %s", seed, strings.Join(w.checker.failures, "; "))
	if f.failed.Add(1) == 1 {
		t.Log(strings.Join(w.trace, "\n"))
	}
}

func TestFoundingIsQuick(t *testing.T) {
	for seed := range uint64(30) {
		plan := randomPlan(seed)
		plan.calm = true
		w := newWorld(plan)
		first := &operator{world: w, name: 3, stopped: true}
		w.after(300*time.Millisecond, first.submitUntilAcknowledged)
		require.True(t, w.runUntil(1500*time.Millisecond, func() bool { return first.attempts < 0 }), "seed %d", seed)
		require.Empty(t, w.checker.failures)
	}
}
