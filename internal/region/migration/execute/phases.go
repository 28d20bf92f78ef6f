package execute

import (
	"fieldrelay/internal/region/migration/capacity"
)

// waiting begins the replacement: with surge by starting the new node, in place by cordoning the old
// one.
func (t *transition) waiting(index int) {
	if t.aborting() {
		t.enter(index, RolledBack)
		return
	}
	if !t.mayBegin() {
		return
	}
	if t.replacement(index).Surge {
		t.enter(index, Starting)
		return
	}
	if t.mayCordon(index) {
		t.enter(index, Cordoning)
	}
}

// mayBegin reports whether the begin of the stage has been reached and the run is not paused.
func (t *transition) mayBegin() bool {
	if t.directive == Pause {
		t.block(stageWide, BlockPaused, nil)
		return false
	}
	if t.observation.Elapsed < t.config.Plan.Stages[t.state.Stage].Begin {
		t.block(stageWide, BlockTooEarly, nil)
		return false
	}
	return true
}

// starting waits for the new node to run.
func (t *transition) starting(index int) {
	replacement := t.replacement(index)
	if t.aborting() && replacement.Surge {
		t.enter(index, RollbackDraining)
		return
	}
	if _, present := t.status(replacement.New.ID); present {
		t.enter(index, Warming)
		return
	}
	t.blockIfLate(index, BlockNotStarted, replacement.Times.Start)
}

// warming waits for the new node to be ready. With surge the old node is then cordoned, if it can be spared; in place, the
// replacement is then finished.
func (t *transition) warming(index int) {
	replacement := t.replacement(index)
	status, _ := t.status(replacement.New.ID)
	switch {
	case !replacement.Surge && status.Ready:
		t.enter(index, Finished)
	case replacement.Surge && t.aborting():
		if !status.Ready || t.mayDrainNew(index) {
			t.enter(index, RollbackDraining)
		}
	case !status.Ready:
		t.blockIfLate(index, BlockNotReady, replacement.Times.Warm)
	case t.directive == Pause:
		t.block(index, BlockPaused, nil)
	case t.mayCordon(index):
		t.enter(index, Cordoning)
	}
}

// mustRollBack reports whether the old node of a task, which is cordoned but not yet released, has to serve again: the run
// aborts, or the new node of a surge replacement is not ready. An old node that is absent cannot serve.
func (t *transition) mustRollBack(index int) bool {
	replacement := t.replacement(index)
	if _, present := t.status(replacement.Old.ID); !present {
		return false // the old node has failed
	}
	if t.aborting() {
		return true
	}
	next, _ := t.status(replacement.New.ID)
	return replacement.Surge && !next.Ready
}

// cordoning waits until all proxies have confirmed the cordon.
func (t *transition) cordoning(index int) {
	if t.mustRollBack(index) {
		t.uncordon(index)
		return
	}
	if t.confirmedAt[index] > 0 {
		t.enter(index, Draining)
		return
	}
	t.blockIfLate(index, BlockUnconfirmed, 0)
}

// draining waits until the old node is idle, and releases it. Draining is the last phase that can be rolled back.
func (t *transition) draining(index int) {
	if t.mustRollBack(index) {
		t.uncordon(index)
		return
	}
	replacement := t.replacement(index)
	status, present := t.status(replacement.Old.ID)
	if present && !t.idle(index, status) {
		t.migrateIfLate(index, status)
		return
	}
	if t.directive == Pause {
		t.block(index, BlockPaused, nil)
		return
	}
	if replacement.Old.Kind == capacity.Core && !t.observation.CoreConverged {
		t.block(index, BlockCore, nil)
		return
	}
	t.enter(index, Stopping)
}

// idle reports whether no request is in progress on the cordoned node of a task or in flight to it: all proxies have
// confirmed the cordon, requests sent before have had the time to arrive, and an observation begun after that counted no
// request.
func (t *transition) idle(index int, status NodeStatus) bool {
	confirmed := t.confirmedAt[index]
	linger := t.replacement(index).Times.Linger
	return confirmed > 0 && t.observation.Began >= confirmed+linger && status.InFlight == 0
}

// migrateIfLate orders resumable streams to be resumed elsewhere if a node drains longer than the longest response was
// expected to take.
func (t *transition) migrateIfLate(index int, status NodeStatus) {
	replacement := t.replacement(index)
	limit := replacement.Times.Drain + replacement.Times.Linger
	if t.now-t.enteredAt[index] <= limit {
		return
	}
	t.block(index, BlockInFlight, nil)
	if status.Migratable > 0 && !t.next.Tasks[index].Migrating && t.directive == Proceed {
		t.next.Tasks[index].Migrating = true
		t.counters.Migrated++
		t.changed = true
	}
}

// stopping waits until the old node has stopped.
func (t *transition) stopping(index int) {
	replacement := t.replacement(index)
	if _, present := t.status(replacement.Old.ID); present {
		t.blockIfLate(index, BlockNotStopped, replacement.Times.Stop)
		return
	}
	if replacement.Surge {
		t.enter(index, Finished)
		return
	}
	t.enter(index, Starting)
}

// rollbackDraining waits until the new node is idle or has stopped.
func (t *transition) rollbackDraining(index int) {
	status, present := t.status(t.replacement(index).New.ID)
	if !present || t.idle(index, status) {
		t.enter(index, RollbackStopping)
		return
	}
	t.blockIfLate(index, BlockInFlight, t.replacement(index).Times.Drain)
}

// rollbackStopping waits until the new node has stopped, and at least for MaxStartDelay: until then a start that was
// requested earlier may still bring the node up.
func (t *transition) rollbackStopping(index int) {
	_, present := t.status(t.replacement(index).New.ID)
	if !present && t.observation.Began >= t.enteredAt[index]+t.config.MaxStartDelay {
		t.enter(index, RolledBack)
		return
	}
	t.blockIfLate(index, BlockNotStopped, t.config.MaxStartDelay+t.replacement(index).Times.Stop)
}
