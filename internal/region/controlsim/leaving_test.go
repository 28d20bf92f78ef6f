package controlsim

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/quorum"
)

const (
	// maxGracefulGap bounds the time without an acknowledgement when one machine of a calm system is shut down gracefully.
	maxGracefulGap = 300 * time.Millisecond
	// maxReturnTime bounds the time from the start of a machine that was shut down gracefully until it serves in the chain again.
	maxReturnTime = 2 * time.Second
	// maxPromptReturnTime is that bound where all others are there.
	maxPromptReturnTime = 800 * time.Millisecond
	// minRolls is the smallest number of runs with rolls: each size of a system once.
	minRolls = 8
	// pendingAnswersTimeout is how long a process that was shut down gracefully waits for the answers to the orders that it took.
	pendingAnswersTimeout = time.Second
	// maxLeaveTime bounds the time from the signal to the end of the process.
	maxLeaveTime = control.LeaveTimeout + 2*control.TickInterval + pendingAnswersTimeout
)

// terminate shuts a machine down gracefully, as SIGTERM does; done is called when its process has ended.
func (h *host) terminate(done func(agreed bool)) {
	if h.machine == nil {
		done(false)
		return
	}
	h.onExit = done
	if h.world.plan.mutation.leaveSilently {
		h.exitAfterAnswers(control.Left{})
		return
	}
	h.deliver(control.Leave{})
}

// exitAfterAnswers ends the process of a machine that was shut down gracefully, once it has answered the orders that it has taken.
func (h *host) exitAfterAnswers(left control.Left) {
	incarnation := h.incarnation
	told := h.world.now
	h.world.every(time.Millisecond, func() bool {
		if h.incarnation != incarnation {
			return true
		}
		if h.pendingOrders > 0 && h.world.now-told < pendingAnswersTimeout {
			return false
		}
		h.world.tracef("%s has left, agreed: %v", h.name, left.Agreed)
		h.kill()
		return true
	})
}

// reportExit calls what waits for the end of a process that was shut down gracefully, however it has ended.
func (h *host) reportExit() {
	done := h.onExit
	h.onExit = nil
	if done != nil {
		h.world.after(0, func() { done(true) })
	}
}

// calmPlan has no faults but those that a test brings about.
func calmPlan(seed uint64) plan {
	plan := randomPlan(seed)
	plan.spuriousProposals = 0
	plan.calm = true
	return plan
}

// newCalmWorld is founded, and has one configuration acknowledged.
func newCalmWorld(t *testing.T, plan plan) *world {
	t.Helper()
	w := newWorld(plan)
	require.True(t, w.acknowledgeOne())
	w.run(2 * time.Second)
	return w
}

// acknowledgements sends one order after the other to a machine for a while and returns when each was
// acknowledged.
func (w *world) acknowledgements(at *host, span time.Duration) durations {
	end := w.now + span
	var times durations
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		kind := []pb.Order_Kind{pb.Order_KIND_EVACUATE_BEGIN, pb.Order_KIND_EVACUATE_FINISH}[len(times)%2]
		w.submit(at, &pb.Order{Kind: kind, Zone: staleZone}, func(result *pb.OrderResult) {
			if result.GetStatus() == http.StatusOK {
				times = append(times, w.now)
			}
			w.after(5*time.Millisecond, next)
		})
	}
	next()
	w.run(span)
	return times
}

// longestGap is the longest time between two of the times, or from the beginning to the first.
func longestGap(times durations, began time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, at := range times {
		longest = max(longest, at-began)
		began = at
	}
	return longest
}

// gapsAroundAnEnd measures the time without an acknowledgement around the end of one machine, at each place of the
// chain and outside of it, and the time from the signal to the end of the process.
func gapsAroundAnEnd(t *testing.T, planted mutation) (gaps, stays durations) {
	t.Helper()
	for seed := range uint64(envInt("CONTROLSIM_SEEDS", defaultSeeds)) {
		plan := calmPlan(seed)
		plan.mutation = planted
		w := newCalmWorld(t, plan)
		victim := w.hosts[seed/8%uint64(plan.machines)]
		began := w.now
		w.after(0, func() { victim.terminate(func(bool) { stays = append(stays, w.now-began) }) })
		gaps = append(gaps, longestGap(w.acknowledgements(w.hostOtherThan(victim), 3*time.Second), began))
		require.Nil(t, victim.machine, "seed %d", seed)
		require.Empty(t, w.checker.failures, "seed %d", seed)
	}
	t.Logf("without an acknowledgement: %v", gaps)
	t.Logf("from the signal to the end: %v", stays)
	return gaps, stays
}

func TestOrdersGoOnWhenAMachineIsToldToEnd(t *testing.T) {
	gaps, stays := gapsAroundAnEnd(t, mutation{})
	require.Less(t, gaps.worst(), maxGracefulGap)
	require.Less(t, stays.worst(), time.Second)
}

func TestASilentEndIsFoundByItsGap(t *testing.T) {
	gaps, _ := gapsAroundAnEnd(t, mutation{leaveSilently: true})
	require.Greater(t, gaps.worst(), control.FailureTimeout)
}

// Orders that are in flight when the machine that took them, or the head, is shut down gracefully, are answered.
func TestOrdersUnderWayAreAnsweredWhenTheirMachineIsToldToEnd(t *testing.T) {
	for seed := range uint64(30) {
		w := newCalmWorld(t, calmPlan(seed))
		head := w.chainHost(0)
		origin := w.hosts[int(seed)%len(w.hosts)]
		answers := make(map[uint32]int)
		for order := range 6 {
			w.after(w.durationUpTo(30*time.Millisecond), func() {
				zone := fmt.Sprintf("zone-%d", order)
				w.submit(origin, &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: zone}, func(result *pb.OrderResult) {
					answers[result.GetStatus()]++
				})
			})
		}
		w.run(31 * time.Millisecond)
		head.terminate(func(bool) {})
		w.run(control.LeaveTimeout)
		require.Equal(t, map[uint32]int{http.StatusOK: 6}, answers, "seed %d", seed)
	}
}

// rollMeasurements are what a roll of all machines was measured to take.
type rollMeasurements struct {
	stays, returns durations
}

// roll shuts all machines down gracefully in turn, waiting for a while between one and the next, and starts each again.
func (w *world) roll(pause time.Duration, measurements *rollMeasurements) {
	for index, host := range w.hosts {
		w.after(time.Duration(index)*pause, func() {
			told := w.now
			host.terminate(func(bool) {
				measurements.stays = append(measurements.stays, w.now-told)
				w.after(w.durationBetween(200*time.Millisecond, 600*time.Millisecond), func() {
					host.start()
					w.awaitReturn(host, measurements)
				})
			})
		})
	}
}

// awaitReturn measures how long a machine that was started takes until it votes, or stands by where its vote would make
// an odd number even, and holds the state as a member of the chain, or outside of one that is full.
func (w *world) awaitReturn(host *host, measurements *rollMeasurements) {
	began := w.now
	incarnation := host.incarnation
	w.every(20*time.Millisecond, func() bool {
		if host.incarnation != incarnation {
			return true
		}
		view := host.machine.View()
		inChain := quorum.IndexOf(view.GetChain(), host.machine.Self().GetIdentity()) != quorum.NotFound
		isFull := len(view.GetChain()) == min(len(view.GetVoters()), chain.MaxLength)
		isPlaced := inChain || isFull
		if !isPlaced || (inChain && !host.machine.Authoritative()) {
			return false
		}
		measurements.returns = append(measurements.returns, w.now-began)
		return true
	})
}

// rollWithOrders rolls all machines while operators send orders, and completes the checker's findings.
func (w *world) rollWithOrders(pause time.Duration, measurements *rollMeasurements) *world {
	operators := []*operator{w.addOperator(1), w.addOperator(2)}
	w.roll(pause, measurements)
	w.run(pause*time.Duration(len(w.hosts)) + 4*time.Second)
	for _, operator := range operators {
		operator.stopped = true
	}
	w.checkLiveness()
	w.checker.finish()
	return w
}

// rollAll shuts the machines of many systems down gracefully in turn, while operators send orders.
func rollAll(t *testing.T, pause time.Duration, planted mutation) rollMeasurements {
	t.Helper()
	var measurements rollMeasurements
	for seed := range uint64(max(minRolls, envInt("CONTROLSIM_SEEDS", defaultSeeds)/3)) {
		plan := calmPlan(seed)
		plan.mutation = planted
		w := newCalmWorld(t, plan)
		w.rollWithOrders(pause, &measurements)
		require.Empty(t, w.checker.failures, "pause %v seed %d", pause, seed)
	}
	t.Logf("pause %v: from the signal to the end: %v", pause, measurements.stays)
	t.Logf("pause %v: from the start to the chain: %v", pause, measurements.returns)
	return measurements
}

func TestMachinesAreToldToEndInTurn(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		measurements := rollAll(t, pause, mutation{})
		require.LessOrEqual(t, measurements.stays.worst(), maxLeaveTime)
		require.Less(t, measurements.returns.worst(), maxReturnTime)
	}
}

// A machine that is shut down gracefully while the others are all there serves in the chain soon after its start; not if the
// others take its end for a loss, which the planted fault makes them do.
func TestAMachineThatWasToldToEndReturnsSoon(t *testing.T) {
	const pause = 3 * time.Second
	require.Less(t, rollAll(t, pause, mutation{}).returns.worst(), maxPromptReturnTime)
	require.Greater(t, rollAll(t, pause, mutation{message: hideLeaving}).returns.worst(), maxPromptReturnTime)
}

func hideLeaving(message *pb.Message) *pb.Message {
	if !message.GetHeartbeat().GetLeaving() {
		return message
	}
	changed := proto.CloneOf(message)
	changed.GetHeartbeat().Leaving = false
	return changed
}

func TestAllMachinesAreToldToEndAtOnce(t *testing.T) {
	for _, spread := range []time.Duration{time.Millisecond, 300 * time.Millisecond} {
		var stays durations
		for seed := range uint64(60) {
			w := newCalmWorld(t, calmPlan(seed))
			for _, host := range w.hosts {
				w.after(w.durationUpTo(spread), func() {
					told := w.now
					host.terminate(func(bool) { stays = append(stays, w.now-told) })
				})
			}
			w.run(maxLeaveTime + spread)
			for _, host := range w.hosts {
				require.Nil(t, host.machine, "seed %d", seed)
				host.start()
			}
			w.checkLiveness()
			w.checker.finish()
			require.Empty(t, w.checker.failures, "seed %d", seed)
		}
		t.Logf("within %v: from the signal to the end: %v", spread, stays)
		require.LessOrEqual(t, stays.worst(), maxLeaveTime)
	}
}
