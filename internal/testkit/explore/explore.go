// Package explore goes through every order of events of a small system, up to
// a depth. States that were met with as many events left are not gone through
// again. Systems need not be copied: each path is played from the start.
package explore

import "fmt"

// System is what is explored. The same events from the start lead to the same state.
type System interface {
	// Events names the events that can happen now, in the same order for the same state.
	Events() []string
	// Do lets the event of an index of Events happen.
	Do(event int)
	// Hash is equal for states from which the same can follow.
	Hash() uint64
	// Check returns the invariant that is broken now, or nil.
	Check() error
}

// Result is how far an exploration came.
type Result struct {
	States int // different ones
	Paths  int // played
	Full   bool
}

// All plays every order of up to depth events, and at most so many paths. Its error names the events that led to what is
// broken.
func All(begin func() System, depth, maxPaths int) (Result, error) {
	e := &explorer{begin: begin, visited: map[uint64]int{}, pathsLeft: maxPaths}
	err := e.from(nil, depth)
	return Result{States: len(e.visited), Paths: maxPaths - e.pathsLeft, Full: e.pathsLeft > 0}, err
}

type explorer struct {
	begin     func() System
	visited   map[uint64]int // state to the events that were left there, the most
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
