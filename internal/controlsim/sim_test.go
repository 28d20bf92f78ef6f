package controlsim

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
)

const (
	defaultSeeds = 120
	// shards is the number of runs at a time
	shards = 4
	// maxFailed is the number of failed runs after which no more are begun
	maxFailed = 20
	// trouble lasts this long in a run
	stormFor = 25 * time.Second
	// foundWithin is the limit for the first acknowledgement after the start
	foundWithin = 5 * time.Second
	// healWithin is the limit for an acknowledgement after the last trouble
	healWithin = 10 * time.Second
	// convergeWithin is the limit for all machines to hold the newest state after that
	convergeWithin = 5 * time.Second
)

func number(name string, otherwise int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return value
}

// usualRequirement is what a chain needs to take orders.
var usualRequirement = chain.Requirement{Replicas: 2, Zones: 2}

func planOf(seed uint64) plan {
	sizes := []int{3, 3, 3, 4, 5, 5, 6, 9}
	machines := sizes[seed%uint64(len(sizes))]
	restless := []float64{0, 0, 0, 0.02, 0.1}[seed%5]
	return plan{
		seed:     seed,
		restless: restless,
		machines: machines,
		zones:    3,
		required: usualRequirement,
	}
}

// threeCalm is a plan of three machines on a network without faults.
func threeCalm(seed uint64, planted mutation) plan {
	return plan{
		seed:     seed,
		machines: 3,
		zones:    3,
		required: usualRequirement,
		mutation: planted,
		calm:     true,
	}
}

// play runs a world through a storm and returns it with the checker's findings.
func play(plan plan) *world {
	w := newWorld(plan)
	operators := []*operator{w.addOperator(1), w.addOperator(2)}
	storm := w.addTrouble()
	w.run(stormFor)
	storm.heal()
	w.plan.restless = 0
	for _, operator := range operators {
		operator.ended = true
	}
	w.checkLiveness()
	w.checker.finish()
	return w
}

// checkLiveness: orders are acknowledged again, and all machines get the newest state.
func (w *world) checkLiveness() {
	last := &operator{world: w, name: 3, ended: true}
	began := w.now
	last.insist()
	if !w.runUntil(healWithin, func() bool { return last.tries < 0 }) {
		w.checker.fail("no acknowledgement within %v", healWithin)
		return
	}
	w.note("acknowledged %v after the last trouble", w.now-began)
	w.runUntil(convergeWithin, w.converged)
}

func (w *world) converged() bool {
	for _, host := range w.living() {
		if host.machine == nil || host.machine.Committed() == nil || host.machine.Committed().Sequence() != w.checker.last {
			return false
		}
	}
	return true
}

// insist reads and sends configurations until one is acknowledged; tries is negative then.
func (o *operator) insist() {
	o.tries++
	o.ask(&pb.Order{Kind: pb.Order_KIND_READ}, func(result *pb.OrderResult) {
		base := o.world.checker.newestAcked
		if result.GetStatus() == http.StatusOK {
			base = generationOf(result.GetBody())
		}
		order := &configuration{key: fmt.Sprintf("/%d-%d-%d/", o.name, o.count, o.tries), base: base, generation: base + 1}
		o.ask(order.order(), func(result *pb.OrderResult) {
			if result.GetStatus() == http.StatusOK {
				o.world.checker.acknowledge(order)
				o.tries = -1
				return
			}
			o.world.after(50*time.Millisecond, o.insist)
		})
	})
}

func generationOf(body []byte) uint64 {
	digits := strings.TrimPrefix(string(body), `{"gen":`)
	end := strings.IndexAny(digits, ",}")
	generation, err := strconv.ParseUint(digits[:max(end, 0)], 10, 64)
	if err != nil {
		return 0
	}
	return generation
}

// figures add up what happened in many runs.
type figures struct {
	acknowledged, refused, reads, views, failed atomic.Int64
	repeats, unclear, most, races               atomic.Int64
}

func (f *figures) add(w *world) {
	f.acknowledged.Add(int64(w.checker.acknowledged))
	f.refused.Add(int64(w.checker.refusals))
	f.reads.Add(int64(w.checker.reads))
	f.views.Add(int64(len(w.checker.views)))
}

func TestMachinesKeepTheirPromisesThroughStorms(t *testing.T) {
	first := number("CONTROLSIM_FIRST", 1)
	count := number("CONTROLSIM_SEEDS", defaultSeeds)
	var total figures
	t.Cleanup(func() {
		t.Logf("%d runs: %d acknowledged, %d refused, %d reads, %d views, %d failed", count,
			total.acknowledged.Load(), total.refused.Load(), total.reads.Load(), total.views.Load(), total.failed.Load())
		require.Positive(t, total.acknowledged.Load())
	})
	total.each(t, first, count, func(seed uint64) *world {
		w := play(planOf(seed))
		total.add(w)
		return w
	})
}

// each plays so many seeds from the first one on, some at a time, until too many have failed.
func (f *figures) each(t *testing.T, first, count int, play func(seed uint64) *world) {
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
func (f *figures) report(t *testing.T, seed uint64, w *world) {
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
		plan := planOf(seed)
		plan.calm = true
		w := newWorld(plan)
		first := &operator{world: w, name: 3, ended: true}
		w.after(300*time.Millisecond, first.insist)
		require.True(t, w.runUntil(1500*time.Millisecond, func() bool { return first.tries < 0 }), "seed %d", seed)
		require.Empty(t, w.checker.failures)
	}
}
