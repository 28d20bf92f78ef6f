package execute

// transition is one attempt to determine the next state.
type transition struct {
	*Machine
	next    *State
	changed bool // next differs from the acknowledged state
}

// advance determines the next state, if there is one, and requests it to be stored.
func (m *Machine) advance() {
	m.blockers = nil
	if m.state.Outcome.Ended() {
		return
	}
	t := &transition{Machine: m, next: m.state.clone()}
	if m.directive == Abort && t.next.Outcome == Running {
		t.next.Outcome = Aborting
		t.changed = true
	}
	if m.observationIsFresh() {
		t.confirm()
		t.resolveShortages()
		for index := range t.next.Tasks {
			t.step(index)
		}
		t.finishStage()
	} else {
		m.block(stageWide, BlockNoObservation, nil)
	}
	if t.changed {
		m.propose(t.next)
	}
}

// observationIsFresh reports whether the observation is recent enough to act on.
func (m *Machine) observationIsFresh() bool {
	return m.observation != nil && m.now-m.observation.Began <= m.config.MaxObservationAge
}

// enter puts a task into a phase.
func (t *transition) enter(index int, phase Phase) {
	t.next.Tasks[index] = Task{Phase: phase}
	switch phase {
	case Cordoning, RollbackDraining:
		t.next.Tasks[index].Since = t.next.Revision + 1
		t.counters.Cordoned++
	case Draining:
		t.next.Tasks[index].Since = t.state.Tasks[index].Since
	}
	t.changed = true
}

// uncordon returns a task to the phase in which its cordoned node gets new requests again.
func (t *transition) uncordon(index int) {
	t.counters.Uncordoned++
	if t.next.Tasks[index].Phase == RollbackDraining || t.replacement(index).Surge {
		t.enter(index, Warming)
		return
	}
	t.enter(index, Waiting)
}

// status returns the observed status of a node, and whether the node is present.
func (t *transition) status(id string) (NodeStatus, bool) {
	status, present := t.observation.Nodes[id]
	return status, present
}

// step moves a task to the next phase, if the conditions for that are met.
func (t *transition) step(index int) {
	task := t.next.Tasks[index]
	if task != t.state.Tasks[index] {
		return // resolveShortages has uncordoned the node in this transition
	}
	switch task.Phase {
	case Waiting:
		t.waiting(index)
	case Starting:
		t.starting(index)
	case Warming:
		t.warming(index)
	case Cordoning:
		t.cordoning(index)
	case Draining:
		t.draining(index)
	case Stopping:
		t.stopping(index)
	case RollbackDraining:
		t.rollbackDraining(index)
	case RollbackStopping:
		t.rollbackStopping(index)
	}
}

func (t *transition) aborting() bool { return t.next.Outcome == Aborting }

// finishStage continues with the next stage, or ends an abort, when the acknowledged state has only ended tasks.
func (t *transition) finishStage() {
	if t.changed {
		return
	}
	for _, task := range t.next.Tasks {
		if task.Phase != Finished && task.Phase != RolledBack {
			return
		}
	}
	t.changed = true
	if t.aborting() {
		t.next.Outcome = Aborted
		return
	}
	t.next.enter(t.next.Stage+1, t.config.Plan)
}
