package execute

import (
	"time"

	"fieldrelay/internal/migration/room"
)

// round is one attempt to find the next state.
type round struct {
	*Machine
	next    *State
	changed bool
}

// advance looks for what can be done next and asks for it to be stored.
func (m *Machine) advance() {
	m.holds = nil
	if m.state.Outcome.Ended() {
		return
	}
	r := &round{Machine: m, next: m.state.clone()}
	if m.wish == Abort && r.next.Outcome == Running {
		r.next.Outcome = Aborting
		r.changed = true
	}
	if m.fresh() {
		r.confirm()
		r.relieve()
		for index := range r.next.Tasks {
			r.step(index)
		}
		r.finishStage()
	} else {
		m.hold(noTask, HoldBlind, nil)
	}
	if r.changed {
		m.propose(r.next)
	}
}

// fresh reports whether the observation is young enough.
func (m *Machine) fresh() bool {
	return m.observation != nil && m.now-m.observation.Began <= m.config.Fresh
}

func (r *round) enter(index int, phase Phase) {
	r.next.Tasks[index] = Task{Phase: phase}
	switch phase {
	case Withholding, Emptying:
		r.next.Tasks[index].Since = r.next.Revision + 1
		r.counters.Withheld++
	case Draining:
		r.next.Tasks[index].Since = r.state.Tasks[index].Since
	}
	r.changed = true
}

// giveBack lets the withheld node of a task get work again.
func (r *round) giveBack(index int) {
	r.counters.GivenBack++
	if r.next.Tasks[index].Phase == Emptying || r.replacement(index).Surge {
		r.enter(index, Warming)
		return
	}
	r.enter(index, Waiting)
}

func (r *round) status(id string) (NodeStatus, bool) {
	status, present := r.observation.Nodes[id]
	return status, present
}

// step moves one task on by one phase, if it may.
func (r *round) step(index int) {
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
	case Withholding:
		r.withholding(index)
	case Draining:
		r.draining(index)
	case Stopping:
		r.stopping(index)
	case Emptying:
		r.emptying(index)
	case Removing:
		r.removing(index)
	}
}

func (r *round) aborting() bool { return r.next.Outcome == Aborting }

func (r *round) waiting(index int) {
	if r.aborting() {
		r.enter(index, Returned)
		return
	}
	if !r.mayBegin() {
		return
	}
	if r.replacement(index).Surge {
		r.enter(index, Starting)
		return
	}
	if r.mayWithhold(index) {
		r.enter(index, Withholding)
	}
}

// mayBegin reports whether the stage's hour has come and nothing new is held up.
func (r *round) mayBegin() bool {
	if r.wish == Pause {
		r.hold(noTask, HoldPaused, nil)
		return false
	}
	if r.observation.Elapsed < r.config.Plan.Stages[r.state.Stage].Begin {
		r.hold(noTask, HoldEarly, nil)
		return false
	}
	return true
}

func (r *round) starting(index int) {
	replacement := r.replacement(index)
	if r.aborting() && replacement.Surge {
		r.enter(index, Emptying)
		return
	}
	if _, present := r.status(replacement.New.ID); present {
		r.enter(index, Warming)
		return
	}
	r.holdIfLate(index, HoldNotStarted, replacement.Times.Start)
}

func (r *round) warming(index int) {
	replacement := r.replacement(index)
	status, _ := r.status(replacement.New.ID)
	if !replacement.Surge {
		if status.Ready {
			r.enter(index, Finished)
			return
		}
		r.holdIfLate(index, HoldNotReady, replacement.Times.Warm)
		return
	}
	if r.aborting() {
		if !status.Ready || r.mayEmpty(index) {
			r.enter(index, Emptying)
		}
		return
	}
	if !status.Ready {
		r.holdIfLate(index, HoldNotReady, replacement.Times.Warm)
		return
	}
	if r.wish == Pause {
		r.hold(index, HoldPaused, nil)
		return
	}
	if r.mayWithhold(index) {
		r.enter(index, Withholding)
	}
}

// mustGoBack reports whether a node that is withheld but not yet let go has to serve again.
func (r *round) mustGoBack(index int) bool {
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

func (r *round) withholding(index int) {
	if r.mustGoBack(index) {
		r.giveBack(index)
		return
	}
	if r.confirmed[index] > 0 {
		r.enter(index, Draining)
		return
	}
	r.holdIfLate(index, HoldUnconfirmed, 0)
}

func (r *round) draining(index int) {
	if r.mustGoBack(index) {
		r.giveBack(index)
		return
	}
	replacement := r.replacement(index)
	status, present := r.status(replacement.Old.ID)
	if present && !r.idle(index, status) {
		r.moveIfLate(index, status)
		return
	}
	if r.wish == Pause {
		r.hold(index, HoldPaused, nil)
		return
	}
	if replacement.Old.Kind == room.Core && !r.observation.CoreSettled {
		r.hold(index, HoldCore, nil)
		return
	}
	r.enter(index, Stopping)
}

// idle reports whether nothing is on the withheld node of a task any more, nor on its way to it.
func (r *round) idle(index int, status NodeStatus) bool {
	confirmed := r.confirmed[index]
	linger := r.replacement(index).Times.Linger
	return confirmed > 0 && r.observation.Began >= confirmed+linger && status.Open == 0
}

// moveIfLate has resumable streams moved away from a node that takes longer than the longest reply.
func (r *round) moveIfLate(index int, status NodeStatus) {
	replacement := r.replacement(index)
	longest := replacement.Times.Drain + replacement.Times.Linger
	if r.now-r.entered[index] <= longest {
		return
	}
	r.hold(index, HoldBusy, nil)
	if status.Movable > 0 && !r.next.Tasks[index].Moving && r.wish == Proceed {
		r.next.Tasks[index].Moving = true
		r.counters.Moves++
		r.changed = true
	}
}

func (r *round) stopping(index int) {
	replacement := r.replacement(index)
	if _, present := r.status(replacement.Old.ID); present {
		r.holdIfLate(index, HoldNotStopped, replacement.Times.Stop)
		return
	}
	if replacement.Surge {
		r.enter(index, Finished)
		return
	}
	r.enter(index, Starting)
}

func (r *round) emptying(index int) {
	status, present := r.status(r.replacement(index).New.ID)
	if !present || r.idle(index, status) {
		r.enter(index, Removing)
		return
	}
	r.holdIfLate(index, HoldBusy, r.replacement(index).Times.Drain)
}

// removing ends when the new node is gone, and a start that was asked for before would have shown.
func (r *round) removing(index int) {
	_, present := r.status(r.replacement(index).New.ID)
	if !present && r.observation.Began >= r.entered[index]+r.config.Settle {
		r.enter(index, Returned)
		return
	}
	r.holdIfLate(index, HoldNotStopped, r.config.Settle+r.replacement(index).Times.Stop)
}

// finishStage goes on to the next stage when all tasks of the present one have come to their end and that is
// acknowledged.
func (r *round) finishStage() {
	if r.changed {
		return
	}
	for _, task := range r.next.Tasks {
		if task.Phase != Finished && task.Phase != Returned {
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
func (r *round) confirm() {
	for index, task := range r.state.Tasks {
		if r.confirmed[index] == 0 && r.inForce(index, task) {
			r.confirmed[index] = max(r.now, time.Nanosecond)
		}
	}
}

func (r *round) inForce(index int, task Task) bool {
	switch task.Phase {
	case Withholding, Draining, Emptying:
	default:
		return false
	}
	replacement := r.replacement(index)
	if replacement.Old.Kind == room.Core {
		old, _ := r.status(replacement.Old.ID)
		next, _ := r.status(replacement.New.ID)
		if task.Phase == Emptying {
			return old.Votes && !next.Votes
		}
		return !old.Votes && (next.Votes || !replacement.Surge)
	}
	return r.observation.InForce >= task.Since
}
