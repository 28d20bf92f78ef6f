package execute

import (
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// confirm records the time at which the cordon of each task was first observed in force.
func (t *transition) confirm() {
	for index, task := range t.state.Tasks {
		if t.confirmedAt[index] == 0 && t.isConfirmed(index, task) {
			t.confirmedAt[index] = max(t.now, time.Nanosecond)
		}
	}
}

// isConfirmed reports whether the cordon of a task is in force: at all proxies or, for core machines, by the exchange of
// their votes in the view in force.
func (t *transition) isConfirmed(index int, task Task) bool {
	switch task.Phase {
	case Cordoning, Draining, RollbackDraining:
	default:
		return false
	}
	replacement := t.replacement(index)
	if replacement.Old.Kind == capacity.Core {
		old, _ := t.status(replacement.Old.ID)
		next, _ := t.status(replacement.New.ID)
		if task.Phase == RollbackDraining {
			return old.Votes && !next.Votes
		}
		return !old.Votes && (next.Votes || !replacement.Surge)
	}
	return t.observation.ConfirmedRevision >= task.Since
}
