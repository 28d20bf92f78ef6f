package execute

import (
	"time"

	"fieldrelay/internal/migration/room"
)

// round is one attempt to find the next state.
type transition struct {
	*Machine
	next    *State
	changed bool
}

// advance looks for what can be done next and asks for it to be stored.
func (m *Machine) advance() {
	m.blockers = nil
	if m.state.Outcome.Ended() {
		return
	}
	r := &transition{Machine: m, next: m.state.clone()}
	if m.directive == Abort && r.next.Outcome == Running {
		r.next.Outcome = Aborting
		r.changed = true
	}
	if m.observationIsFresh() {
		r.confirm()
		r.resolveShortages()
		for index := range r.next.Tasks {
			r.step(index)
		}
		r.finishStage()
	} else {
		m.block(wholeStage, BlockNoObservation, nil)
	}
	if r.changed {
		m.propose(r.next)
	}
}

// fresh reports whether the observation is young enough.
func (m *Machine) observationIsFresh() bool {
	return m.observation != nil && m.now-m.observation.Began <= m.config.MaxObservationAge
}

func (r *transition) enter(index int, phase Phase) {
	r.next.Tasks[index] = Task{Phase: phase}
	switch phase {
	case Cordoning, RollbackDraining:
		r.next.Tasks[index].Since = r.next.Revision + 1
		r.counters.Cordoned++
	case Draining:
		r.next.Tasks[index].Since = r.state.Tasks[index].Since
	}
	r.changed = true
}

// uncordon lets the withheld node of a task get work again.
func (r *transition) uncordon(index int) {
	r.counters.Uncordoned++
	if r.next.Tasks[index].Phase == RollbackDraining || r.replacement(index).Surge {
		r.enter(index, Warming)
		return
	}
	r.enter(index, Waiting)
}

func (r *transition) status(id string) (NodeStatus, bool) {
	status, present := r.observation.Nodes[id]
	return status, present
}

// step moves one task on by one phase, if it may.
func (r *transition) step(index int) {
	task := r.next.Tasks[index]
	if task != r.state.Tasks[index] {
		return // given back in this round
	}
	switch task.Phase {
	case Waiting:
		r.waiting(index)
	case Starting:
		r.starting(index)
	case Warming:
		r.warming(index)
	case Cordoning:
		r.cordoning(index)
	case Draining:
		r.draining(index)
	case Stopping:
		r.stopping(index)
	case RollbackDraining:
		r.rollbackDraining(index)
	case RollbackStopping:
		r.rollbackStopping(index)
	}
}

func (r *transition) aborting() bool { return r.next.Outcome == Aborting }

func (r *transition) waiting(index int) {
	if r.aborting() {
		r.enter(index, RolledBack)
		return
	}
	if !r.mayBegin() {
		return
	}
	if r.replacement(index).Surge {
		r.enter(index, Starting)
		return
	}
	if r.mayCordon(index) {
		r.enter(index, Cordoning)
	}
}

// mayBegin reports whether the stage's hour has come and nothing new is held up.
func (r *transition) mayBegin() bool {
	if r.directive == Pause {
		r.block(wholeStage, BlockPaused, nil)
		return false
	}
	if r.observation.Elapsed < r.config.Plan.Stages[r.state.Stage].Begin {
		r.block(wholeStage, BlockTooEarly, nil)
		return false
	}
	return true
}

func (r *transition) starting(index int) {
	replacement := r.replacement(index)
	if r.aborting() && replacement.Surge {
		r.enter(index, RollbackDraining)
		return
	}
	if _, present := r.status(replacement.New.ID); present {
		r.enter(index, Warming)
		return
	}
	r.blockIfLate(index, BlockNotStarted, replacement.Times.Start)
}

func (r *transition) warming(index int) {
	replacement := r.replacement(index)
	status, _ := r.status(replacement.New.ID)
	if !replacement.Surge {
		if status.Ready {
			r.enter(index, Finished)
			return
		}
		r.blockIfLate(index, BlockNotReady, replacement.Times.Warm)
		return
	}
	if r.aborting() {
		if !status.Ready || r.mayDrainNew(index) {
			r.enter(index, RollbackDraining)
		}
		return
	}
	if !status.Ready {
		r.blockIfLate(index, BlockNotReady, replacement.Times.Warm)
		return
	}
	if r.directive == Pause {
		r.block(index, BlockPaused, nil)
		return
	}
	if r.mayCordon(index) {
		r.enter(index, Cordoning)
	}
}

// mustRollBack reports whether a node that is withheld but not yet let go has to serve again.
func (r *transition) mustRollBack(index int) bool {
	replacement := r.replacement(index)
	if _, present := r.status(replacement.Old.ID); !present {
		return false // it has failed meanwhile
	}
	if r.aborting() {
		return true
	}
	next, _ := r.status(replacement.New.ID)
	return replacement.Surge && !next.Ready
}

func (r *transition) cordoning(index int) {
	if r.mustRollBack(index) {
		r.uncordon(index)
		return
	}
	if r.confirmedAt[index] > 0 {
		r.enter(index, Draining)
		return
	}
	r.blockIfLate(index, BlockUnconfirmed, 0)
}

func (r *transition) draining(index int) {
	if r.mustRollBack(index) {
		r.uncordon(index)
		return
	}
	replacement := r.replacement(index)
	status, present := r.status(replacement.Old.ID)
	if present && !r.idle(index, status) {
		r.migrateIfLate(index, status)
		return
	}
	if r.directive == Pause {
		r.block(index, BlockPaused, nil)
		return
	}
	if replacement.Old.Kind == room.Core && !r.observation.CoreConverged {
		r.block(index, BlockCore, nil)
		return
	}
	r.enter(index, Stopping)
}

// idle reports whether nothing is on the withheld node of a task any more, nor on its way to it.
func (r *transition) idle(index int, status NodeStatus) bool {
	confirmed := r.confirmedAt[index]
	linger := r.replacement(index).Times.Linger
	return confirmed > 0 && r.observation.Began >= confirmed+linger && status.InFlight == 0
}

// migrateIfLate has resumable streams moved away from a node that takes longer than the longest reply.
func (r *transition) migrateIfLate(index int, status NodeStatus) {
	replacement := r.replacement(index)
	longest := replacement.Times.Drain + replacement.Times.Linger
	if r.now-r.enteredAt[index] <= longest {
		return
	}
	r.block(index, BlockInFlight, nil)
	if status.Migratable > 0 && !r.next.Tasks[index].Migrating && r.directive == Proceed {
		r.next.Tasks[index].Migrating = true
		r.counters.Migrated++
		r.changed = true
	}
}

func (r *transition) stopping(index int) {
	replacement := r.replacement(index)
	if _, present := r.status(replacement.Old.ID); present {
		r.blockIfLate(index, BlockNotStopped, replacement.Times.Stop)
		return
	}
	if replacement.Surge {
		r.enter(index, Finished)
		return
	}
	r.enter(index, Starting)
}

func (r *transition) rollbackDraining(index int) {
	status, present := r.status(r.replacement(index).New.ID)
	if !present || r.idle(index, status) {
		r.enter(index, RollbackStopping)
		return
	}
	r.blockIfLate(index, BlockInFlight, r.replacement(index).Times.Drain)
}

// removing ends when the new node is gone, and a start that was asked for before would have shown.
func (r *transition) rollbackStopping(index int) {
	_, present := r.status(r.replacement(index).New.ID)
	if !present && r.observation.Began >= r.enteredAt[index]+r.config.MaxStartDelay {
		r.enter(index, RolledBack)
		return
	}
	r.blockIfLate(index, BlockNotStopped, r.config.MaxStartDelay+r.replacement(index).Times.Stop)
}

// finishStage goes on to the next stage when all tasks of the present one have come to their end and that is
// acknowledged.
func (r *transition) finishStage() {
	if r.changed {
		return
	}
	for _, task := range r.next.Tasks {
		if task.Phase != Finished && task.Phase != RolledBack {
			return
		}
	}
	r.changed = true
	if r.aborting() {
		r.next.Outcome = Aborted
		return
	}
	r.next.enter(r.next.Stage+1, r.config.Plan)
}

// confirm notes which withholdings are in force everywhere.
func (r *transition) confirm() {
	for index, task := range r.state.Tasks {
		if r.confirmedAt[index] == 0 && r.isConfirmed(index, task) {
			r.confirmedAt[index] = max(r.now, time.Nanosecond)
		}
	}
}

func (r *transition) isConfirmed(index int, task Task) bool {
	switch task.Phase {
	case Cordoning, Draining, RollbackDraining:
	default:
		return false
	}
	replacement := r.replacement(index)
	if replacement.Old.Kind == room.Core {
		old, _ := r.status(replacement.Old.ID)
		next, _ := r.status(replacement.New.ID)
		if task.Phase == RollbackDraining {
			return old.Votes && !next.Votes
		}
		return !old.Votes && (next.Votes || !replacement.Surge)
	}
	return r.observation.ConfirmedRevision >= task.Since
}
