package history

import (
	"cmp"
	"slices"
	"time"
)

// highest finds the highest value that calls had returned by a given time.
type highest struct {
	answered []*Call // calls with an answer, ordered by the time of the answer
	best     []*Call // for each index, the call with the highest value in answered up to that index
}

func newHighest(calls []*Call, returned func(*Call) uint64) *highest {
	found := &highest{}
	for _, call := range calls {
		if call.Outcome != Unclear {
			found.answered = append(found.answered, call)
		}
	}
	slices.SortStableFunc(found.answered, func(a, b *Call) int { return cmp.Compare(a.Answered, b.Answered) })
	var best *Call
	for _, call := range found.answered {
		if best == nil || returned(call) > returned(best) {
			best = call
		}
		found.best = append(found.best, best)
	}
	return found
}

// before returns the call with the highest value among those that were answered before the given call was sent; nil: no call
// was.
func (h *highest) before(call *Call) *Call {
	count, _ := slices.BinarySearchFunc(h.answered, call.Sent, func(answered *Call, sent time.Duration) int {
		return cmp.Compare(answered.Answered, sent)
	})
	if count == 0 {
		return nil
	}
	return h.best[count-1]
}
