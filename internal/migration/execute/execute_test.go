package execute

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

var lm = room.Group{Kind: room.Server, Service: "lm"}

func server(id string) room.Node {
	return room.Node{ID: id, Kind: room.Server, Service: "lm", Zone: "a", Region: "west", Capacity: room.Amount{room.Slots: 10}}
}

// twoStages replaces one server beside, then one in place.
func twoStages() *plan.Plan {
	times := plan.Times{Start: time.Second, Warm: time.Second, Drain: 5 * time.Second, Linger: time.Second, Stop: time.Second}
	return &plan.Plan{Stages: []plan.Stage{
		{Replacements: []plan.Replacement{{Old: server("old-1"), New: server("new-1"), Surge: true, Times: times}}},
		{Begin: 20 * time.Second, Replacements: []plan.Replacement{{Old: server("old-2"), New: server("new-2"), Times: times}}},
	}}
}

// rig feeds a machine; its store takes what may follow, its nodes do what the state says.
type harness struct {
	t       *testing.T
	made    *plan.Plan
	machine *Machine
	now     time.Duration
	stored  *State
	open    map[string]int
	movable map[string]int
	nodes   map[string]bool
	slots   float64 // demand
	inForce func() uint64
	changes []string
	asked   []*State // while mute
	mute    bool     // stores go unanswered and are not carried out
	blind   bool     // nothing is observed
}

func newHarness(t *testing.T) *harness {
	b := &harness{
		t: t, made: twoStages(), open: map[string]int{}, movable: map[string]int{}, slots: 10,
		nodes: map[string]bool{"old-1": true, "old-2": true, "kept": true},
	}
	b.inForce = func() uint64 { return b.stored.Revision }
	b.machine = b.newMachine("one")
	return b
}

func (b *harness) newMachine(owner string) *Machine {
	return NewMachine(Config{
		Plan: b.made, Digest: "plan", Owner: owner, Headroom: room.Headroom{Margin: 0.1, Hosts: 1},
		MaxObservationAge: 2 * time.Second, ShortageBackoff: 3 * time.Second, StoreRetryInterval: time.Second, MaxStartDelay: time.Second,
	})
}

func (b *harness) feed(event Event) {
	for _, action := range b.machine.Step(b.now, event) {
		switch action := action.(type) {
		case Changed:
			b.changes = append(b.changes, fmt.Sprintf("%s%s>%s", action.New, action.From, action.To))
		case Store:
			if b.mute {
				b.asked = append(b.asked, action.State)
				continue
			}
			require.NoError(b.t, CheckTransition(b.stored, action.State, b.made))
			b.stored = action.State
		}
	}
}

// run lets time pass until a state is reached, or fails.
func (b *harness) run(until func() bool) {
	b.t.Helper()
	for range 1000 {
		if until() {
			return
		}
		b.pass()
	}
	var text bytes.Buffer
	require.NoError(b.t, WriteProgress(&text, b.made, b.stored, b.machine.Blockers()))
	require.Fail(b.t, "not reached", "%s", text.String())
}

func (b *harness) pass() {
	b.now += 200 * time.Millisecond
	if b.stored != nil {
		for _, id := range b.stored.Start {
			b.nodes[id] = true
		}
		for _, id := range b.stored.Stop {
			require.Zero(b.t, b.open[id])
			delete(b.nodes, id)
		}
	}
	if b.stored != nil {
		b.feed(Stored{Revision: b.stored.Revision})
	}
	if b.stored != nil && !b.blind {
		b.feed(Observed{Observation: b.observation()})
	}
	b.feed(Tick{})
}

func (b *harness) observation() *Observation {
	seen := &Observation{Began: b.now, Elapsed: b.now, Nodes: map[string]NodeStatus{}, ConfirmedRevision: b.inForce()}
	for id := range b.nodes {
		seen.Nodes[id] = NodeStatus{Ready: true, InFlight: b.open[id], Migratable: b.movable[id]}
		seen.Fleet = append(seen.Fleet, server(id))
	}
	seen.Loads = []room.Load{{Region: "west", Group: lm, Required: room.Amount{room.Slots: b.slots}}}
	return seen
}

func (b *harness) phase(phase Phase) func() bool {
	return func() bool { return len(b.stored.Tasks) > 0 && b.stored.Tasks[0].Phase == phase }
}

func (b *harness) outcome(outcome Outcome) func() bool {
	return func() bool { return b.stored.Outcome == outcome }
}

func (b *harness) blockedBy(reason BlockReason) func() bool {
	return func() bool {
		for _, hold := range b.machine.Blockers() {
			if hold.Reason == reason {
				return true
			}
		}
		return false
	}
}

func TestRunToTheEnd(t *testing.T) {
	b := newHarness(t)
	b.feed(Loaded{})
	b.run(b.outcome(Done))
	b.pass()
	require.Equal(t, []string{
		"new-1waiting>starting", "new-1starting>warming", "new-1warming>withholding", "new-1withholding>draining",
		"new-1draining>stopping", "new-1stopping>finished", "running>finished",
		"new-2waiting>withholding", "new-2withholding>draining", "new-2draining>stopping", "new-2stopping>starting",
		"new-2starting>warming", "new-2warming>finished", "running>done", "running>finished",
	}, b.changes)
	require.Greater(t, b.now, 20*time.Second, "the second stage has its hour")
	require.Equal(t, map[string]bool{"new-1": true, "new-2": true, "kept": true}, b.nodes)
	require.Equal(t, []string{"old-1", "old-2"}, b.stored.Cordoned)
	require.Equal(t, uint64(2), b.machine.Counters().Cordoned)
	var text bytes.Buffer
	require.NoError(t, WriteProgress(&text, b.made, b.stored, b.machine.Blockers()))
	require.Equal(t, "done: stage 2 of 2\n", text.String())
	text.Reset()
	require.NoError(t, WriteProgress(&text, b.made, nil, []Blocker{{Old: "old-1", Reason: BlockInFlight}}))
	require.Equal(t, "not begun\n  waits: old-1: replies are still in generation\n", text.String())
}

func TestWaitsForProxiesAndReplies(t *testing.T) {
	b := newHarness(t)
	b.open["old-1"] = 2
	b.inForce = func() uint64 { return 0 }
	b.feed(Loaded{})
	b.run(b.phase(Cordoning))
	b.run(b.blockedBy(BlockUnconfirmed))
	require.Equal(t, []string{"old-1"}, b.stored.Cordoned)
	b.inForce = func() uint64 { return b.stored.Revision }
	b.run(b.phase(Draining))
	b.run(b.blockedBy(BlockInFlight))
	require.Empty(t, b.stored.Migrating)
	b.movable["old-1"] = 1
	b.run(func() bool { return len(b.stored.Migrating) == 1 })
	require.Equal(t, uint64(1), b.machine.Counters().Migrated)
	b.open["old-1"] = 0
	b.run(b.outcome(Done))
}

func TestGivesBackWhenRoomFalls(t *testing.T) {
	b := newHarness(t)
	b.open["old-1"] = 1
	b.feed(Loaded{})
	b.run(b.phase(Draining))
	b.slots = 25 // three servers remain, one of which may be lost
	b.run(b.phase(Warming))
	require.Empty(t, b.stored.Cordoned)
	b.run(b.blockedBy(BlockCapacity))
	b.slots = 10
	b.run(b.blockedBy(BlockShortageBackoff))
	b.run(b.phase(Draining))
	require.Equal(t, uint64(1), b.machine.Counters().Uncordoned)

	delete(b.nodes, "new-1") // the replacement fails
	b.run(b.phase(Warming))
	b.open["old-1"] = 0
	b.run(b.outcome(Done))
}

func TestPauseAndResume(t *testing.T) {
	b := newHarness(t)
	b.feed(Loaded{})
	b.run(b.phase(Warming))
	b.feed(DirectiveSet{Directive: Pause})
	before := b.stored
	b.run(b.blockedBy(BlockPaused))
	require.Equal(t, before, b.stored)
	b.feed(DirectiveSet{Directive: Proceed})
	b.run(b.outcome(Done))
}

func TestAbort(t *testing.T) {
	cases := map[string]struct {
		at    Phase
		stage int
		end   Phase
		left  map[string]bool
	}{
		"not begun":        {Starting, 0, RolledBack, map[string]bool{"old-1": true, "old-2": true, "kept": true}},
		"warming":          {Warming, 0, RolledBack, map[string]bool{"old-1": true, "old-2": true, "kept": true}},
		"draining":         {Draining, 0, RolledBack, map[string]bool{"old-1": true, "old-2": true, "kept": true}},
		"released":         {Stopping, 0, Finished, map[string]bool{"new-1": true, "old-2": true, "kept": true}},
		"in place":         {Draining, 1, RolledBack, map[string]bool{"new-1": true, "old-2": true, "kept": true}},
		"in place, no way": {Starting, 1, Finished, map[string]bool{"new-1": true, "new-2": true, "kept": true}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.feed(Loaded{})
			b.run(func() bool { return b.stored.Stage == one.stage && b.phase(one.at)() })
			b.feed(DirectiveSet{Directive: Abort})
			b.run(b.outcome(Aborted))
			require.Equal(t, one.end, b.stored.Tasks[0].Phase)
			require.Equal(t, one.left, b.nodes)
			require.Equal(t, one.stage, b.stored.Stage)
		})
	}
}

func TestAnotherMachineTakesOver(t *testing.T) {
	b := newHarness(t)
	b.feed(Loaded{})
	b.run(b.phase(Warming))
	first := b.machine
	b.machine = b.newMachine("two")
	before := b.stored
	b.feed(Loaded{State: b.stored})
	require.Equal(t, before.Epoch+1, b.stored.Epoch)
	require.Equal(t, "two", b.stored.Owner)
	require.Equal(t, before.Tasks, b.stored.Tasks)

	b.mute = true
	second := b.machine
	b.machine = first
	b.run(func() bool { return len(b.asked) > 0 })
	require.Error(t, CheckTransition(b.stored, b.asked[0], b.made), "it was overtaken")
	b.feed(Rejected{Current: b.stored})
	require.True(t, first.Fenced())
	require.Empty(t, first.Step(b.now+time.Minute, Tick{}))

	b.machine, b.mute = second, false
	b.run(b.outcome(Done))
}

func TestClaimsAgainAfterALastWriteOfTheOneBefore(t *testing.T) {
	b := newHarness(t)
	b.feed(Loaded{})
	b.run(b.phase(Warming))
	old := b.stored
	b.run(b.phase(Draining))
	b.machine, b.mute = b.newMachine("two"), true
	b.feed(Loaded{State: old})
	require.Len(t, b.asked, 1)
	b.mute = false
	b.feed(Rejected{Current: b.stored})
	require.Equal(t, "two", b.stored.Owner)
	require.Equal(t, Draining, b.stored.Tasks[0].Phase)
}

func TestAsksAgainAndSeesNothingWithoutObservations(t *testing.T) {
	b := newHarness(t)
	b.mute = true
	b.feed(Loaded{})
	b.now += 2 * time.Second
	b.feed(Tick{})
	require.Len(t, b.asked, 2)
	require.Equal(t, b.asked[0], b.asked[1])
	b.feed(Stored{Revision: 7})
	require.Nil(t, b.machine.State(), "that was another one")

	b = newHarness(t)
	b.feed(Loaded{})
	b.blind = true
	b.run(b.blockedBy(BlockNoObservation))
	require.Equal(t, uint64(1), b.stored.Revision)
}

func TestAnotherPlan(t *testing.T) {
	b := newHarness(t)
	b.feed(Loaded{State: &State{Plan: "other", Revision: 3, Outcome: Running}})
	require.True(t, b.machine.Fenced())

	b = newHarness(t)
	b.stored = &State{Plan: "other", Epoch: 4, Revision: 9, Outcome: Aborted}
	b.feed(Loaded{State: b.stored})
	require.Equal(t, uint64(10), b.stored.Revision)
	require.Equal(t, uint64(5), b.stored.Epoch)
	b.run(b.outcome(Done))

	b.machine = b.newMachine("later")
	before := b.stored
	b.feed(Loaded{State: b.stored})
	b.pass()
	require.Equal(t, before, b.stored, "an ended run is left alone")
}

func TestCheckStep(t *testing.T) {
	made := twoStages()
	base := &State{Plan: "plan", Epoch: 1, Owner: "one", Revision: 5, Outcome: Running, Tasks: []Task{{Phase: Warming}}}
	base.derive(made)
	cases := map[string]struct {
		change func(*State)
		reason string
	}{
		"withholds":        {func(s *State) { s.Tasks[0] = Task{Phase: Cordoning, Since: 6} }, ""},
		"claims":           {func(s *State) { s.Epoch, s.Owner = 2, "two" }, ""},
		"aborts":           {func(s *State) { s.Outcome = Aborting }, ""},
		"of long ago":      {func(s *State) { s.Revision = 5 }, "revision 5 does not follow 5"},
		"without an epoch": {func(s *State) { s.Owner = "two" }, `epoch 1 of "two" does not follow`},
		"leaps":            {func(s *State) { s.Tasks[0].Phase = Stopping }, "old-1 cannot go from warming to stopping"},
		"goes back":        {func(s *State) { s.Tasks[0].Phase = Waiting }, "old-1 cannot go from warming to waiting"},
		"skips a stage":    {func(s *State) { s.Stage = 1; s.Tasks[0].Phase = Waiting }, "stage 1 does not follow stage 0"},
		"has no tasks":     {func(s *State) { s.Tasks = nil }, "0 tasks in stage 0"},
		"is out of range":  {func(s *State) { s.Stage = 3 }, "no stage 3"},
		"ends early":       {func(s *State) { s.Outcome = Aborted }, "old-1 is warming at the end of an abort"},
		"is of another":    {func(s *State) { s.Plan = "other" }, "another plan is under way"},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			next := base.clone()
			next.Revision++
			one.change(next)
			if next.Stage < len(made.Stages) {
				next.derive(made)
			}
			err := CheckTransition(base, next, made)
			if one.reason == "" {
				require.NoError(t, err)
				return
			}
			var refused *TransitionError
			require.True(t, errors.As(err, &refused), "%v", err)
			require.Contains(t, err.Error(), one.reason)
		})
	}
	tampered := base.clone()
	tampered.Revision++
	tampered.Stop = []string{"kept"}
	require.ErrorContains(t, CheckTransition(base, tampered, made), "does not follow from the tasks")
	ended := base.clone()
	ended.Outcome = Aborted
	require.ErrorContains(t, CheckTransition(ended, tampered, made), "does not follow")
}
