package selection

import (
	"cmp"
	"slices"
)

// Walk picks servers while the slack is low. It walks down a list of servers sorted by descending speed,
// stays at a server while that answers in time, and sorts the list again at its end. The zero value is ready
// for use.
type Walk[K comparable] struct {
	order    []K
	position int // index in order of the server to try next; at len(order) the next pick sorts again
}

// Pick returns the first candidate at or after the walk's position. If no server is a candidate, it returns
// the first of candidates, which must not be empty. At the end of the list, Pick sorts servers by their
// present speed; servers of equal speed keep their order. Skipping a server that is not a candidate does not
// move the walk past it, so it may be picked later.
func (w *Walk[K]) Pick(servers, candidates []K, speed func(K) float64) K {
	for range 2 { // the rest of the present list, then a new list
		if w.position >= len(w.order) {
			w.order, w.position = slices.Clone(servers), 0
			slices.SortStableFunc(w.order, func(x, y K) int { return cmp.Compare(speed(y), speed(x)) })
		}
		for _, server := range w.order[w.position:] {
			if slices.Contains(candidates, server) {
				return server
			}
		}
		w.position = len(w.order)
	}
	return candidates[0]
}

// MovePast moves the walk past a server that failed or did not answer in time, unless the walk is already
// past it.
func (w *Walk[K]) MovePast(server K) {
	if i := slices.Index(w.order, server); i >= w.position {
		w.position = i + 1
	}
}

// Reset makes the next pick sort again. Callers must call it when servers are added or removed.
func (w *Walk[K]) Reset() { *w = Walk[K]{} }
