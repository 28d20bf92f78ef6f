package controlsim

import (
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// defaultCutSeeds is the number of runs; the environment variable CUTSIM_SEEDS sets another, CUTSIM_FIRST the
	// first seed.
	defaultCutSeeds = 60
	// aimedAtTarget is the part of an aimed operator's orders that go to the machine that was cut off last.
	aimedAtTarget = 0.6
)

// playCutsPassing runs a world through a storm of cuts that some messages pass.
func playCutsPassing(plan plan, passes func(*pb.Message) bool) *world {
	w, _, _ := playCuts(plan, passes)
	return w
}

// playCuts runs a world through a storm of cuts; passes tells what goes through all the same, nil: nothing.
func playCuts(plan plan, passes func(*pb.Message) bool) (*world, *cutStorm, *authorityWatch) {
	var storm *cutStorm
	planted := plan.mutation.message
	plan.mutation.message = func(message *pb.Message) *pb.Message {
		if storm != nil {
			storm.watch(message)
		}
		if planted == nil {
			return message
		}
		return planted(message)
	}
	w := newWorld(plan)
	w.network.passes = passes
	storm = w.addCuts()
	authority := w.watchAuthority()
	operators := []*operator{w.addOperator(1), w.addOperator(2), w.addOperator(5)}
	for _, operator := range operators[1:] {
		storm.aim(operator)
	}
	w.run(cutsFor)
	storm.heal()
	w.plan.restless = 0
	for _, operator := range operators {
		operator.ended = true
	}
	w.checkLiveness()
	w.checker.finish()
	return w, storm, authority
}

// aim has an operator ask, every now and then, only the machine that was cut off last.
func (s *cutStorm) aim(operator *operator) {
	operator.only = nil
	if s.target != nil && !s.ended && s.world.chance(aimedAtTarget) {
		operator.only = s.target
	}
	s.world.after(s.world.between(100*time.Millisecond, time.Second), func() { s.aim(operator) })
}

// cutFigures add up what happened in many runs.
type cutFigures struct {
	figures
	cuts, joinedInElection, cutAgain, restarts, freezes, learners atomic.Int64
	claims, longestStale                                          atomic.Int64
}

func (f *cutFigures) addCuts(w *world, storm *cutStorm, authority *authorityWatch) {
	f.add(w)
	f.cuts.Add(int64(storm.cuts))
	f.joinedInElection.Add(int64(storm.joinedInElection))
	f.cutAgain.Add(int64(storm.cutAgain))
	f.restarts.Add(int64(storm.restarts))
	f.freezes.Add(int64(storm.freezes))
	f.learners.Add(int64(storm.roles["learner"]))
	f.claims.Add(int64(authority.claims))
	for {
		longest := f.longestStale.Load()
		if int64(authority.longest) <= longest || f.longestStale.CompareAndSwap(longest, int64(authority.longest)) {
			return
		}
	}
}

func TestCutOffMachinesTellNothingWrong(t *testing.T) {
	first := number("CUTSIM_FIRST", 1)
	count := number("CUTSIM_SEEDS", defaultCutSeeds)
	var total cutFigures
	t.Cleanup(func() {
		t.Logf("%d runs: %d cuts (%d of learners), %d ended by an election, %d straight after a join, %d restarts and %d standstills behind a cut",
			count, total.cuts.Load(), total.learners.Load(), total.joinedInElection.Load(), total.cutAgain.Load(),
			total.restarts.Load(), total.freezes.Load())
		t.Logf("%d acknowledged, %d refused, %d reads, %d views, %d failed; %d claims of authority, the oldest state %v behind",
			total.acknowledged.Load(), total.refused.Load(), total.reads.Load(), total.views.Load(), total.failed.Load(),
			total.claims.Load(), time.Duration(total.longestStale.Load()))
		require.Positive(t, total.acknowledged.Load())
		require.Positive(t, total.claims.Load())
	})
	for shard := range shards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for seed := first + shard; seed < first+count && total.failed.Load() < maxFailed; seed += shards {
				playCutsAndReport(t, uint64(seed), &total)
			}
		})
	}
}

func playCutsAndReport(t *testing.T, seed uint64, total *cutFigures) {
	w, storm, authority := playCuts(planOf(seed), nil)
	total.addCuts(w, storm, authority)
	if len(w.checker.failures) == 0 {
		return
	}
	t.Errorf("seed %d: %s", seed, strings.Join(w.checker.failures, "; "))
	if total.failed.Add(1) == 1 {
		t.Log(strings.Join(w.trace, "\n"))
	}
}
