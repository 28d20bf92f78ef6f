package execute

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

var lm = capacity.Group{Kind: capacity.Server, Service: "lm"}

func server(id string) capacity.Node {
	return capacity.Node{ID: id, Kind: capacity.Server, Service: "lm", Zone: "a", Region: "west", Capacity: capacity.Amount{capacity.Slots: 10}}
}

// twoStagePlan replaces one server with surge in the first stage, and one in place in the second.
func twoStagePlan() *plan.Plan {
	times := plan.Times{Start: time.Second, Warm: time.Second, Drain: 5 * time.Second, Linger: time.Second, Stop: time.Second}
	return &plan.Plan{Stages: []plan.Stage{
		{Replacements: []plan.Replacement{{Old: server("old-1"), New: server("new-1"), Surge: true, Times: times}}},
		{Begin: 20 * time.Second, Replacements: []plan.Replacement{{Old: server("old-2"), New: server("new-2"), Times: times}}},
	}}
}

// harness feeds a Machine with events. Its store accepts valid transitions, and its nodes start and stop as the stored
// state says.
type harness struct {
	t                    *testing.T
	migrationPlan        *plan.Plan
	machine              *Machine
	now                  time.Duration
	stored               *State
	inFlight             map[string]int
	migratable           map[string]int
	nodes                map[string]bool
	slots                float64 // demand in slots
	confirmedRevision    func() uint64
	changes              []string
	requested            []*State // states requested while storeUnanswered
	storeUnanswered      bool     // Store actions are neither carried out nor answered
	withholdObservations bool     // the Machine gets no observations
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		t: t, migrationPlan: twoStagePlan(), inFlight: map[string]int{}, migratable: map[string]int{}, slots: 10,
		nodes: map[string]bool{"old-1": true, "old-2": true, "kept": true},
	}
	h.confirmedRevision = func() uint64 { return h.stored.Revision }
	h.machine = h.newMachine("one")
	return h
}

func (h *harness) newMachine(owner string) *Machine {
	return NewMachine(Config{
		Plan: h.migrationPlan, Digest: "plan", Owner: owner, Headroom: capacity.Headroom{Margin: 0.1, Hosts: 1},
		MaxObservationAge: 2 * time.Second, ShortageBackoff: 3 * time.Second, StoreRetryInterval: time.Second, MaxStartDelay: time.Second,
	})
}

func (h *harness) feed(event Event) {
	for _, action := range h.machine.Step(h.now, event) {
		switch action := action.(type) {
		case Changed:
			h.changes = append(h.changes, fmt.Sprintf("%s%s>%s", action.New, action.From, action.To))
		case Store:
			if h.storeUnanswered {
				h.requested = append(h.requested, action.State)
				continue
			}
			require.NoError(h.t, CheckTransition(h.stored, action.State, h.migrationPlan))
			h.stored = action.State
		}
	}
}

// runUntil lets time pass until a condition holds, and fails the test after 1000 steps.
func (h *harness) runUntil(condition func() bool) {
	h.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		h.advanceTime()
	}
	var text bytes.Buffer
	require.NoError(h.t, WriteProgress(&text, h.migrationPlan, h.stored, h.machine.Blockers()))
	require.Fail(h.t, "condition not met within 1000 steps", "%s", text.String())
}

// advanceTime lets 200 ms pass: nodes start and stop, and the Machine gets its events.
func (h *harness) advanceTime() {
	h.now += 200 * time.Millisecond
	if h.stored != nil {
		for _, id := range h.stored.Start {
			h.nodes[id] = true
		}
		for _, id := range h.stored.Stop {
			require.Zero(h.t, h.inFlight[id])
			delete(h.nodes, id)
		}
	}
	if h.stored != nil {
		h.feed(Stored{Revision: h.stored.Revision})
	}
	if h.stored != nil && !h.withholdObservations {
		h.feed(Observed{Observation: h.observation()})
	}
	h.feed(Tick{})
}

func (h *harness) observation() *Observation {
	observation := &Observation{Began: h.now, Elapsed: h.now, Nodes: map[string]NodeStatus{}, ConfirmedRevision: h.confirmedRevision()}
	for id := range h.nodes {
		observation.Nodes[id] = NodeStatus{Ready: true, InFlight: h.inFlight[id], Migratable: h.migratable[id]}
		observation.Fleet = append(observation.Fleet, server(id))
	}
	observation.Loads = []capacity.Load{{Region: "west", Group: lm, Required: capacity.Amount{capacity.Slots: h.slots}}}
	return observation
}

func (h *harness) phase(phase Phase) func() bool {
	return func() bool { return len(h.stored.Tasks) > 0 && h.stored.Tasks[0].Phase == phase }
}

func (h *harness) outcome(outcome Outcome) func() bool {
	return func() bool { return h.stored.Outcome == outcome }
}

func (h *harness) blockedBy(reason BlockReason) func() bool {
	return func() bool {
		for _, blocker := range h.machine.Blockers() {
			if blocker.Reason == reason {
				return true
			}
		}
		return false
	}
}
