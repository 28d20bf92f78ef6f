// Package explore is a bounded model checker: it executes every order of events of a small system up to a depth. A state
// that was visited before with at least as many remaining events is not expanded again. Systems need not be copied: each
// path is replayed from the initial state.
package explore

import "fmt"

// System is a system under exploration. It is deterministic: the same events from the start lead to the same state.
type System interface {
	// Events returns the names of the enabled events, in the same order for the same state.
	Events() []string
	// Do executes the event at the given index of Events.
	Do(event int)
	// Hash returns the same value for states with the same possible continuations.
	Hash() uint64
	// Check returns an error if the current state violates an invariant.
	Check() error
}

// Result is the extent of an exploration.
type Result struct {
	States int  // number of distinct states
	Paths  int  // number of paths executed
	Full   bool // whether maxPaths was not reached
}

// All executes every order of up to depth events, limited to maxPaths paths. Its error names the events that led to the
// violated invariant.
func All(begin func() System, depth, maxPaths int) (Result, error) {
	e := &explorer{begin: begin, visited: map[uint64]int{}, pathsLeft: maxPaths}
	err := e.from(nil, depth)
	return Result{States: len(e.visited), Paths: maxPaths - e.pathsLeft, Full: e.pathsLeft > 0}, err
}

type explorer struct {
	begin     func() System
	visited   map[uint64]int // greatest number of remaining events with which a state was visited, by its hash
	pathsLeft int
}

func (e *explorer) from(path []int, depth int) error {
	if e.pathsLeft == 0 {
		return nil
	}
	e.pathsLeft--
	s := e.begin()
	var names []string
	for _, i := range path {
		names = append(names, s.Events()[i])
		s.Do(i)
	}
	if err := s.Check(); err != nil {
		return fmt.Errorf("after %q: %w", names, err)
	}
	h := s.Hash()
	if remaining, ok := e.visited[h]; ok && remaining >= depth {
		return nil
	}
	e.visited[h] = depth
	if depth == 0 {
		return nil
	}
	for i := range s.Events() {
		if err := e.from(append(path[:len(path):len(path)], i), depth-1); err != nil {
			return err
		}
	}
	return nil
}
