package fleet

import (
	"sync"
	"time"

	"fieldrelay/internal/sidecar/verdict"
)

// observations records what this sidecar observes of execute nodes. It is safe for concurrent use and does not wait for the actor.
type observations struct {
	origin  time.Time
	enabled bool // whether verdicts are on; set before the first call

	mu     sync.Mutex
	tally  verdict.Tally
	listed []verdict.Node
}

// count records the outcome of an attempt, if verdicts are on.
func (o *observations) count(node string, failed bool, took time.Duration) {
	if !o.enabled {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tally.Count(time.Since(o.origin), node, failed, took)
}

// setNodes replaces the listed nodes.
func (o *observations) setNodes(nodes []verdict.Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listed = nodes
}

// Evidence returns the evidence on each node that is still recent enough at a time.
func (o *observations) Evidence(now time.Duration) []verdict.Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tally.Evidence(now)
}

// Listed returns the execute nodes that accept requests.
func (o *observations) Listed() []verdict.Node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listed
}

// Forget drops the recorded outcomes of a node.
func (o *observations) Forget(node string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tally.Forget(node)
}
