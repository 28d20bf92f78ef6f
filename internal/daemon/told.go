package daemon

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"fieldrelay/internal/relay"
	"fieldrelay/internal/verdict"
)

// told is what the fleet says of execute nodes, as this process goes by it. What was suspended by hand here stays apart:
// a node takes jobs again once neither of the two has it suspended.
type fleetSuspensions struct {
	relay  *relay.Relay
	stored *storedState
	log    zerolog.Logger

	mu      sync.Mutex
	byFleet []string        // by the fleet's word
	byHand  map[string]bool // here
}

func newFleetSuspensions(core *relay.Relay, kept *storedState, log zerolog.Logger) *fleetSuspensions {
	return &fleetSuspensions{relay: core, stored: kept, log: log, byHand: map[string]bool{}}
}

// read is what the process before this one kept; it takes effect.
func (t *fleetSuspensions) restore() []verdict.Word {
	var words []verdict.Word
	if err := t.stored.load(keyFleetStatements, &words); err != nil {
		t.log.Warn().Err(err).Msg("what the fleet said of execute nodes before not taken")
		return nil
	}
	if len(words) > 0 {
		t.apply(words)
	}
	return words
}

// changed takes over what the fleet says now, and keeps it.
func (t *fleetSuspensions) onChanged(all []verdict.Word) {
	t.apply(all)
	if err := t.stored.save(keyFleetStatements, all); err != nil {
		t.log.Error().Err(err).Msg("what the fleet says of execute nodes not kept for the next process")
	}
}

func (t *fleetSuspensions) apply(all []verdict.Word) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next []string
	for _, w := range all {
		if w.Suspended {
			next = append(next, w.Node)
		}
	}
	done := func(what, node string) func([]string, error) {
		return func(_ []string, err error) {
			t.log.Info().Str("node", node).AnErr("refused", err).Msg(what)
		}
	}
	for _, node := range next {
		if !slices.Contains(t.byFleet, node) {
			t.relay.Suspend(node, false, done("suspended for the fleet", node))
		}
	}
	for _, node := range t.byFleet {
		if !slices.Contains(next, node) && !t.byHand[node] {
			t.relay.Restore(node, done("restored for the fleet", node))
		}
	}
	t.byFleet = next
}

// drains passes on what is new of execute nodes that drain.
func (t *fleetSuspensions) reportDrains(news []verdict.Word) {
	for _, w := range news {
		t.relay.ReportDrain(w.Node, w.Since, w.Suspended)
	}
}

// hand takes in that a node was suspended here by hand, or that this ended. It tells whether the fleet has it suspended.
func (t *fleetSuspensions) setByHand(node string, suspended bool) (byFleet bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspended {
		t.byHand[node] = true
	} else {
		delete(t.byHand, node)
	}
	return slices.Contains(t.byFleet, node)
}

// here are the names that are suspended by hand, of those that the relay has suspended.
func (t *fleetSuspensions) byHandOnly(names []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(t.byFleet, n) && !t.byHand[n] })
}
