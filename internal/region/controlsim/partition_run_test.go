package controlsim

import (
	"cmp"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// defaultPartitionSeeds is the number of runs; the environment variable CUTSIM_SEEDS sets another, CUTSIM_FIRST the
	// first seed.
	defaultPartitionSeeds = 100
	// aimedAtTarget is the part of an aimed operator's orders that go to the machine that was partitioned last.
	aimedAtTarget = 0.6
)

// partitionPlan is a plan with what is planted in a partition storm.
type partitionPlan struct {
	plan
	passes       func(*pb.Message) bool // messages that no partition stops; nil: none
	trustsCopies bool                   // evacuations are handed over at any age
	lasts        time.Duration          // 0: partitionStormDuration
}

// partitionRun is a world after a partition storm.
type partitionRun struct {
	*world
	storm      *partitionStorm
	authority  *authorityWatch
	evacuators []*evacuator
}

// playPartitions runs a world through a partition storm.
func playPartitions(plan partitionPlan) *partitionRun {
	var storm *partitionStorm
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
	w.network.exempt = plan.passes
	storm = w.addPartitionStorm()
	w.onSubmit = storm.delayCopy
	run := &partitionRun{world: w, storm: storm, authority: w.watchAuthority()}
	for name := range 2 {
		evacuator := w.addEvacuator(storm, name)
		evacuator.trustsCopies = plan.trustsCopies
		run.evacuators = append(run.evacuators, evacuator)
	}
	operators := []*operator{w.addOperator(1), w.addOperator(2), w.addOperator(5)}
	for _, operator := range operators[1:] {
		storm.aim(operator)
	}
	w.run(cmp.Or(plan.lasts, partitionStormDuration))
	storm.heal()
	w.plan.spuriousProposals = 0
	for _, operator := range operators {
		operator.stopped = true
	}
	for _, evacuator := range run.evacuators {
		evacuator.ended = true
	}
	w.checkLiveness()
	w.checker.finish()
	return run
}

// aim has an operator use, every now and then, only the machine that was partitioned last.
func (s *partitionStorm) aim(operator *operator) {
	operator.target = nil
	if s.target != nil && !s.ended && s.world.chance(aimedAtTarget) {
		operator.target = s.target
	}
	s.world.after(s.world.durationBetween(100*time.Millisecond, time.Second), func() { s.aim(operator) })
}

// partitionTotals add up what happened in many runs.
type partitionTotals struct {
	totals
	cuts, joinedInElection, cutAgain, restarts, freezes, learners, cutAtJoin atomic.Int64
	claims, longestStale                                                     atomic.Int64
	evacuations, held, keptBack, withdrawn, heldCopies                       atomic.Int64
}

func (f *partitionTotals) addRun(run *partitionRun) {
	f.add(run.world)
	f.cuts.Add(int64(run.storm.partitions))
	f.joinedInElection.Add(int64(run.storm.healedInElection))
	f.cutAgain.Add(int64(run.storm.repartitioned))
	f.restarts.Add(int64(run.storm.restarts))
	f.freezes.Add(int64(run.storm.freezes))
	f.cutAtJoin.Add(int64(run.storm.partitionedAtJoin))
	f.learners.Add(int64(run.storm.roles["learner"]))
	f.heldCopies.Add(int64(run.storm.delayedCopies))
	f.claims.Add(int64(run.authority.claims))
	for _, evacuator := range run.evacuators {
		f.evacuations.Add(int64(evacuator.acknowledged))
		f.held.Add(int64(evacuator.delayed))
		f.keptBack.Add(int64(evacuator.rejected))
		f.withdrawn.Add(int64(evacuator.canceled))
	}
	for {
		longest := f.longestStale.Load()
		stale := int64(run.authority.longest)
		if stale <= longest || f.longestStale.CompareAndSwap(longest, stale) {
			return
		}
	}
}

func (f *partitionTotals) log(t *testing.T, count int) {
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
	first := envInt("CUTSIM_FIRST", 1)
	count := envInt("CUTSIM_SEEDS", defaultPartitionSeeds)
	var total partitionTotals
	t.Cleanup(func() {
		total.log(t, count)
		require.Positive(t, total.acknowledged.Load())
		require.Positive(t, total.claims.Load())
		require.Positive(t, total.keptBack.Load())
	})
	total.each(t, first, count, func(seed uint64) *world {
		run := playPartitions(partitionPlan{plan: randomPlan(seed)})
		total.addRun(run)
		return run.world
	})
}
