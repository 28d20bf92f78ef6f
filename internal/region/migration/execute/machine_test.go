package execute

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunToTheEnd(t *testing.T) {
	h := newHarness(t)
	h.feed(Loaded{})
	h.runUntil(h.outcome(Done))
	h.advanceTime()
	require.Equal(t, []string{
		"new-1waiting>starting", "new-1starting>warming", "new-1warming>withholding", "new-1withholding>draining",
		"new-1draining>stopping", "new-1stopping>finished", "running>finished",
		"new-2waiting>withholding", "new-2withholding>draining", "new-2draining>stopping", "new-2stopping>starting",
		"new-2starting>warming", "new-2warming>finished", "running>done", "running>finished",
	}, h.changes)
	require.Greater(t, h.now, 20*time.Second, "the second stage begins at 20 s")
	require.Equal(t, map[string]bool{"new-1": true, "new-2": true, "kept": true}, h.nodes)
	require.Equal(t, []string{"old-1", "old-2"}, h.stored.Cordoned)
	require.Equal(t, uint64(2), h.machine.Counters().Cordoned)
	var text bytes.Buffer
	require.NoError(t, WriteProgress(&text, h.migrationPlan, h.stored, h.machine.Blockers()))
	require.Equal(t, "done: stage 2 of 2\n", text.String())
	text.Reset()
	require.NoError(t, WriteProgress(&text, h.migrationPlan, nil, []Blocker{{Old: "old-1", Reason: BlockInFlight}}))
	require.Equal(t, "not started\n  blocked: old-1: requests are still in flight\n", text.String())
}

func TestWaitsForConfirmationAndInFlightRequests(t *testing.T) {
	h := newHarness(t)
	h.inFlight["old-1"] = 2
	h.confirmedRevision = func() uint64 { return 0 }
	h.feed(Loaded{})
	h.runUntil(h.phase(Cordoning))
	h.runUntil(h.blockedBy(BlockUnconfirmed))
	require.Equal(t, []string{"old-1"}, h.stored.Cordoned)
	h.confirmedRevision = func() uint64 { return h.stored.Revision }
	h.runUntil(h.phase(Draining))
	h.runUntil(h.blockedBy(BlockInFlight))
	require.Empty(t, h.stored.Migrating)
	h.migratable["old-1"] = 1
	h.runUntil(func() bool { return len(h.stored.Migrating) == 1 })
	require.Equal(t, uint64(1), h.machine.Counters().Migrated)
	h.inFlight["old-1"] = 0
	h.runUntil(h.outcome(Done))
}

func TestUncordonsOnShortage(t *testing.T) {
	h := newHarness(t)
	h.inFlight["old-1"] = 1
	h.feed(Loaded{})
	h.runUntil(h.phase(Draining))
	h.slots = 25 // three servers remain, one of which may be lost
	h.runUntil(h.phase(Warming))
	require.Empty(t, h.stored.Cordoned)
	h.runUntil(h.blockedBy(BlockCapacity))
	h.slots = 10
	h.runUntil(h.blockedBy(BlockShortageBackoff))
	h.runUntil(h.phase(Draining))
	require.Equal(t, uint64(1), h.machine.Counters().Uncordoned)

	delete(h.nodes, "new-1") // the new node fails
	h.runUntil(h.phase(Warming))
	h.inFlight["old-1"] = 0
	h.runUntil(h.outcome(Done))
}

func TestPauseAndResume(t *testing.T) {
	h := newHarness(t)
	h.feed(Loaded{})
	h.runUntil(h.phase(Warming))
	h.feed(DirectiveSet{Directive: Pause})
	before := h.stored
	h.runUntil(h.blockedBy(BlockPaused))
	require.Equal(t, before, h.stored)
	h.feed(DirectiveSet{Directive: Proceed})
	h.runUntil(h.outcome(Done))
}

func TestAbort(t *testing.T) {
	cases := map[string]struct {
		at        Phase
		stage     int
		end       Phase
		remaining map[string]bool
	}{
		"new node not started":        {Starting, 0, RolledBack, map[string]bool{"old-1": true, "old-2": true, "kept": true}},
		"warming":                     {Warming, 0, RolledBack, map[string]bool{"old-1": true, "old-2": true, "kept": true}},
		"draining":                    {Draining, 0, RolledBack, map[string]bool{"old-1": true, "old-2": true, "kept": true}},
		"old node released":           {Stopping, 0, Finished, map[string]bool{"new-1": true, "old-2": true, "kept": true}},
		"in place":                    {Draining, 1, RolledBack, map[string]bool{"new-1": true, "old-2": true, "kept": true}},
		"in place, old node released": {Starting, 1, Finished, map[string]bool{"new-1": true, "new-2": true, "kept": true}},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.feed(Loaded{})
			h.runUntil(func() bool { return h.stored.Stage == testCase.stage && h.phase(testCase.at)() })
			h.feed(DirectiveSet{Directive: Abort})
			h.runUntil(h.outcome(Aborted))
			require.Equal(t, testCase.end, h.stored.Tasks[0].Phase)
			require.Equal(t, testCase.remaining, h.nodes)
			require.Equal(t, testCase.stage, h.stored.Stage)
		})
	}
}

func TestAnotherMachineTakesOver(t *testing.T) {
	h := newHarness(t)
	h.feed(Loaded{})
	h.runUntil(h.phase(Warming))
	first := h.machine
	h.machine = h.newMachine("two")
	before := h.stored
	h.feed(Loaded{State: h.stored})
	require.Equal(t, before.Epoch+1, h.stored.Epoch)
	require.Equal(t, "two", h.stored.Owner)
	require.Equal(t, before.Tasks, h.stored.Tasks)

	h.storeUnanswered = true
	second := h.machine
	h.machine = first
	h.runUntil(func() bool { return len(h.requested) > 0 })
	require.Error(t, CheckTransition(h.stored, h.requested[0], h.migrationPlan), "the first machine was superseded")
	h.feed(Rejected{Current: h.stored})
	require.True(t, first.Fenced())
	require.Empty(t, first.Step(h.now+time.Minute, Tick{}))

	h.machine, h.storeUnanswered = second, false
	h.runUntil(h.outcome(Done))
}

func TestClaimsAgainAfterPredecessorsLastWrite(t *testing.T) {
	h := newHarness(t)
	h.feed(Loaded{})
	h.runUntil(h.phase(Warming))
	old := h.stored
	h.runUntil(h.phase(Draining))
	h.machine, h.storeUnanswered = h.newMachine("two"), true
	h.feed(Loaded{State: old})
	require.Len(t, h.requested, 1)
	h.storeUnanswered = false
	h.feed(Rejected{Current: h.stored})
	require.Equal(t, "two", h.stored.Owner)
	require.Equal(t, Draining, h.stored.Tasks[0].Phase)
}

func TestRetriesStoresAndWaitsForObservations(t *testing.T) {
	h := newHarness(t)
	h.storeUnanswered = true
	h.feed(Loaded{})
	h.now += 2 * time.Second
	h.feed(Tick{})
	require.Len(t, h.requested, 2)
	require.Equal(t, h.requested[0], h.requested[1])
	h.feed(Stored{Revision: 7})
	require.Nil(t, h.machine.State(), "an acknowledgement of another revision is ignored")

	h = newHarness(t)
	h.feed(Loaded{})
	h.withholdObservations = true
	h.runUntil(h.blockedBy(BlockNoObservation))
	require.Equal(t, uint64(1), h.stored.Revision)
}

func TestAnotherPlan(t *testing.T) {
	h := newHarness(t)
	h.feed(Loaded{State: &State{Plan: "other", Revision: 3, Outcome: Running}})
	require.True(t, h.machine.Fenced())

	h = newHarness(t)
	h.stored = &State{Plan: "other", Epoch: 4, Revision: 9, Outcome: Aborted}
	h.feed(Loaded{State: h.stored})
	require.Equal(t, uint64(10), h.stored.Revision)
	require.Equal(t, uint64(5), h.stored.Epoch)
	h.runUntil(h.outcome(Done))

	h.machine = h.newMachine("later")
	before := h.stored
	h.feed(Loaded{State: h.stored})
	h.advanceTime()
	require.Equal(t, before, h.stored, "an ended run is not changed")
}
