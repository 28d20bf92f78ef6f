package execute

import (
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// appendSwap adds the exchange by which an old core machine loses its vote: to the new one beside it, or to
// none.
func appendSwap(swaps []Swap, replacement *plan.Replacement) []Swap {
	if replacement.Old.Kind != room.Core {
		return swaps
	}
	swap := Swap{Out: replacement.Old.ID}
	if replacement.Beside {
		swap.In = replacement.New.ID
	}
	return append(swaps, swap)
}

// appendVoteIn adds the vote of a new core machine that takes the place of one that is gone.
func appendVoteIn(swaps []Swap, task *Task, replacement *plan.Replacement) []Swap {
	if replacement.Old.Kind != room.Core || replacement.Beside || task.Phase != Warming {
		return swaps
	}
	return append(swaps, Swap{In: replacement.New.ID})
}
