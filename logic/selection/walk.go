package selection

import (
	"cmp"
	"slices"
)

// Walk is the pick while slack is low: it goes down servers sorted by falling speed, stays on one while its
// answers come in time, and sorts anew at the list's end. Its zero value is ready for use.
type Walk[K comparable] struct {
	order    []K
	position int // into order; past its end: sort at the next pick
}

// Pick gives the server at the walk's place, or the next one down that is a candidate; where none of the
// servers is, the first candidate. Candidates must not be empty. At the list's end servers are sorted by
// their present speed, those of equal speed in the order given.
func (w *Walk[K]) Pick(servers, candidates []K, speed func(K) float64) K {
	for range 2 { // the rest of this list, then a whole one
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

// Leave moves on from a server that failed or did not answer in time, if the walk has not passed it.
func (w *Walk[K]) Leave(server K) {
	if i := slices.Index(w.order, server); i >= w.position {
		w.position = i + 1
	}
}

// Reset makes the next pick sort anew, as is due when servers come or go.
func (w *Walk[K]) Reset() { *w = Walk[K]{} }
