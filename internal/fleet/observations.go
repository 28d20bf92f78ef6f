package fleet

import (
	"sync"
	"time"

	"fieldrelay/internal/verdict"
)

// observations is what this sidecar knows of execute nodes. Who reports it never waits for the actor.
type observations struct {
	origin  time.Time
	enabled bool // set before anybody calls

	mu     sync.Mutex
	tally  verdict.Tally
	listed []verdict.Node
}

func (s *observations) count(node string, failed bool, took time.Duration) {
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Count(time.Since(s.origin), node, failed, took)
}

func (s *observations) setNodes(nodes []verdict.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = nodes
}

// Evidence is what counts at a time.
func (s *observations) Evidence(now time.Duration) []verdict.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally.Evidence(now)
}

// Listed are the execute nodes that take claims.
func (s *observations) Listed() []verdict.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// Forget drops what was counted of a node.
func (s *observations) Forget(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Forget(node)
}
