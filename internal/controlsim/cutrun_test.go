package controlsim

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// defaultCutSeeds is the number of runs; the environment variable CUTSIM_SEEDS sets another, CUTSIM_FIRST the
	// first seed.
	defaultCutSeeds = 100
	// aimedAtTarget is the part of an aimed operator's orders that go to the machine that was cut off last.
	aimedAtTarget = 0.6
)

// cutPlan is a plan with what is planted in a storm of cuts.
type cutPlan struct {
	plan
	passes       func(*pb.Message) bool // messages that no cut holds up; nil: none
	trustsCopies bool                   // evacuations are handed over at any age
}

// cutRun is a world after a storm of cuts.
type cutRun struct {
	*world
	storm      *cutStorm
	authority  *authorityWatch
	evacuators []*evacuator
}

// playCuts runs a world through a storm of cuts.
func playCuts(plan cutPlan) *cutRun {
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
	w := newWorld(plan.plan)
	w.network.passes = plan.passes
	storm = w.addCuts()
	w.onSubmit = storm.holdCopy
	run := &cutRun{world: w, storm: storm, authority: w.watchAuthority()}
	for name := range 2 {
		evacuator := w.addEvacuator(storm, name)
		evacuator.trusts = plan.trustsCopies
		run.evacuators = append(run.evacuators, evacuator)
	}
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
	for _, evacuator := range run.evacuators {
		evacuator.ended = true
	}
	w.checkLiveness()
	w.checker.finish()
	return run
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
	cuts, joinedInElection, cutAgain, restarts, freezes, learners, cutAtJoin atomic.Int64
	claims, longestStale                                                     atomic.Int64
	evacuations, held, keptBack, withdrawn, heldCopies                       atomic.Int64
}

func (f *cutFigures) addRun(run *cutRun) {
	f.add(run.world)
	f.cuts.Add(int64(run.storm.cuts))
	f.joinedInElection.Add(int64(run.storm.joinedInElection))
	f.cutAgain.Add(int64(run.storm.cutAgain))
	f.restarts.Add(int64(run.storm.restarts))
	f.freezes.Add(int64(run.storm.freezes))
	f.cutAtJoin.Add(int64(run.storm.cutAtJoin))
	f.learners.Add(int64(run.storm.roles["learner"]))
	f.heldCopies.Add(int64(run.storm.heldCopies))
	f.claims.Add(int64(run.authority.claims))
	for _, evacuator := range run.evacuators {
		f.evacuations.Add(int64(evacuator.acknowledged))
		f.held.Add(int64(evacuator.held))
		f.keptBack.Add(int64(evacuator.keptBack))
		f.withdrawn.Add(int64(evacuator.withdrawn))
	}
	for {
		longest := f.longestStale.Load()
		stale := int64(run.authority.longest)
		if stale <= longest || f.longestStale.CompareAndSwap(longest, stale) {
			return
		}
	}
}

func (f *cutFigures) log(t *testing.T, count int) {
	t.Logf("%d runs, %d failed: %d cuts (%d of learners), %d ended by an election, %d straight after a join, %d of machines just voted in, %d restarts and %d standstills behind a cut",
		count, f.failed.Load(), f.cuts.Load(), f.learners.Load(), f.joinedInElection.Load(), f.cutAgain.Load(),
		f.cutAtJoin.Load(), f.restarts.Load(), f.freezes.Load())
	t.Logf("%d acknowledged, %d refused, %d reads, %d views; %d claims of authority, the oldest state %v behind",
		f.acknowledged.Load(), f.refused.Load(), f.reads.Load(), f.views.Load(), f.claims.Load(),
		time.Duration(f.longestStale.Load()))
	t.Logf("%d evacuations acknowledged, %d copies held up, %d kept back, %d withdrawn; %d copies of configurations late",
		f.evacuations.Load(), f.held.Load(), f.keptBack.Load(), f.withdrawn.Load(), f.heldCopies.Load())
}

func TestCutOffMachinesTellNothingWrong(t *testing.T) {
	first := number("CUTSIM_FIRST", 1)
	count := number("CUTSIM_SEEDS", defaultCutSeeds)
	var total cutFigures
	t.Cleanup(func() {
		total.log(t, count)
		require.Positive(t, total.acknowledged.Load())
		require.Positive(t, total.claims.Load())
		require.Positive(t, total.keptBack.Load())
	})
	total.each(t, first, count, func(seed uint64) *world {
		run := playCuts(cutPlan{plan: planOf(seed)})
		total.addRun(run)
		return run.world
	})
}
