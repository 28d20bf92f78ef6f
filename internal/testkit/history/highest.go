package history

import (
	"cmp"
	"slices"
	"time"
)

// highest finds what was the highest that calls had returned by some time.
type highest struct {
	answered []*Call // by the time of the answer
	best     []*Call // of the calls up to each one
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

// before is the call that returned the highest of those that were answered before another one was sent; nil: none was.
func (h *highest) before(call *Call) *Call {
	count, _ := slices.BinarySearchFunc(h.answered, call.Sent, func(answered *Call, sent time.Duration) int {
		return cmp.Compare(answered.Answered, sent)
	})
	if count == 0 {
		return nil
	}
	return h.best[count-1]
}
