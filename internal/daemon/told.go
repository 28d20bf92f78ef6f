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
type told struct {
	core *relay.Relay
	kept *kept
	log  zerolog.Logger

	mu        sync.Mutex
	suspended []string        // by the fleet's word
	byHand    map[string]bool // here
}

func newTold(core *relay.Relay, kept *kept, log zerolog.Logger) *told {
	return &told{core: core, kept: kept, log: log, byHand: map[string]bool{}}
}

// read is what the process before this one kept; it takes effect.
func (t *told) read() []verdict.Statement {
	var words []verdict.Statement
	if err := t.kept.read(keyWords, &words); err != nil {
		t.log.Warn().Err(err).Msg("what the fleet said of execute nodes before not taken")
		return nil
	}
	if len(words) > 0 {
		t.apply(words)
	}
	return words
}

// changed takes over what the fleet says now, and keeps it.
func (t *told) changed(all []verdict.Statement) {
	t.apply(all)
	if err := t.kept.write(keyWords, all); err != nil {
		t.log.Error().Err(err).Msg("what the fleet says of execute nodes not kept for the next process")
	}
}

func (t *told) apply(all []verdict.Statement) {
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
		if !slices.Contains(t.suspended, node) {
			t.core.Suspend(node, false, done("suspended for the fleet", node))
		}
	}
	for _, node := range t.suspended {
		if !slices.Contains(next, node) && !t.byHand[node] {
			t.core.Restore(node, done("restored for the fleet", node))
		}
	}
	t.suspended = next
}

// drains passes on what is new of execute nodes that drain.
func (t *told) drains(news []verdict.Statement) {
	for _, w := range news {
		t.core.Drains(w.Node, w.Since, w.Suspended)
	}
}

// hand takes in that a node was suspended here by hand, or that this ended. It tells whether the fleet has it suspended.
func (t *told) hand(node string, suspended bool) (byFleet bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspended {
		t.byHand[node] = true
	} else {
		delete(t.byHand, node)
	}
	return slices.Contains(t.suspended, node)
}

// here are the names that are suspended by hand, of those that the relay has suspended.
func (t *told) here(names []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(t.suspended, n) && !t.byHand[n] })
}
