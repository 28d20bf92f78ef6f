package execute

import (
	"fmt"
	"slices"

	"fieldrelay/internal/region/migration/plan"
)

// TransitionError reports that a state must not follow another one.
type TransitionError struct{ Reason string }

// Error returns the reason.
func (e *TransitionError) Error() string { return "migration: " + e.Reason }

func transitionErrorf(format string, arguments ...any) error {
	return &TransitionError{Reason: fmt.Sprintf(format, arguments...)}
}

// surgeTransitions and inPlaceTransitions are the phases that may follow a phase, by the kind of replacement.
var (
	surgeTransitions = map[Phase][]Phase{
		Waiting:          {Starting, RolledBack},
		Starting:         {Warming, RollbackDraining},
		Warming:          {Cordoning, RollbackDraining},
		Cordoning:        {Draining, Warming},
		Draining:         {Stopping, Warming},
		Stopping:         {Finished},
		RollbackDraining: {RollbackStopping, Warming},
		RollbackStopping: {RolledBack},
	}
	inPlaceTransitions = map[Phase][]Phase{
		Waiting:   {Cordoning, RolledBack},
		Cordoning: {Draining, Waiting},
		Draining:  {Stopping, Waiting},
		Stopping:  {Starting},
		Starting:  {Warming},
		Warming:   {Finished},
	}
)

// CheckTransition returns a *TransitionError if a state must not replace another one (nil: there is none yet). It is meant
// for the head of the chain, so that the states of a superseded Machine are rejected; at present only tests call it.
func CheckTransition(before, after *State, migrationPlan *plan.Plan) error {
	if before == nil {
		before = &State{}
	}
	if after.Revision != before.Revision+1 {
		return transitionErrorf("revision %d does not follow %d", after.Revision, before.Revision)
	}
	if err := checkOwner(before, after); err != nil {
		return err
	}
	if err := checkShape(after, migrationPlan); err != nil {
		return err
	}
	switch {
	case before.Plan != after.Plan:
		return checkFirstState(before, after)
	case before.Outcome.Ended():
		return transitionErrorf("the run has ended")
	case before.Outcome == Aborting && after.Outcome != Aborting && after.Outcome != Aborted:
		return transitionErrorf("an abort cannot be revoked")
	case before.Stage != after.Stage:
		return checkNextStage(before, after)
	}
	return checkTasks(before, after, migrationPlan)
}

// checkOwner checks that a state continues the epoch in force or begins the next one.
func checkOwner(before, after *State) error {
	claims := after.Epoch == before.Epoch+1
	continues := after.Epoch == before.Epoch && after.Owner == before.Owner
	if after.Owner == "" || !claims && !continues {
		return transitionErrorf("epoch %d of %q does not follow epoch %d of %q", after.Epoch, after.Owner, before.Epoch, before.Owner)
	}
	return nil
}

// checkShape checks that a state is consistent in itself.
func checkShape(state *State, migrationPlan *plan.Plan) error {
	if state.Stage < 0 || state.Stage > len(migrationPlan.Stages) {
		return transitionErrorf("there is no stage %d", state.Stage)
	}
	tasks := 0
	if state.Stage < len(migrationPlan.Stages) {
		tasks = len(migrationPlan.Stages[state.Stage].Replacements)
	}
	if len(state.Tasks) != tasks || (tasks == 0) != (state.Outcome == Done) {
		return transitionErrorf("%d tasks in stage %d of a run that is %s", len(state.Tasks), state.Stage, state.Outcome)
	}
	derived := state.clone()
	derived.derive(migrationPlan)
	consistent := slices.Equal(derived.Cordoned, state.Cordoned) && slices.Equal(derived.Migrating, state.Migrating) &&
		slices.Equal(derived.Start, state.Start) && slices.Equal(derived.Stop, state.Stop) &&
		slices.Equal(derived.Swaps, state.Swaps)
	if !consistent {
		return transitionErrorf("the derived fields of the state do not match the tasks")
	}
	return nil
}

// checkFirstState checks the first state of a run.
func checkFirstState(before, after *State) error {
	if before.Plan != "" && !before.Outcome.Ended() {
		return transitionErrorf("the run of another plan has not ended")
	}
	waiting := !slices.ContainsFunc(after.Tasks, func(task Task) bool { return task != Task{Phase: Waiting} })
	if after.Stage != 0 || !waiting {
		return transitionErrorf("the first state of a run has stage %d, or a task that is not waiting", after.Stage)
	}
	return nil
}

// checkNextStage checks the first state of a later stage.
func checkNextStage(before, after *State) error {
	unfinished := slices.ContainsFunc(before.Tasks, func(task Task) bool { return task.Phase != Finished })
	if after.Stage != before.Stage+1 || unfinished || after.Outcome == Aborted {
		return transitionErrorf("stage %d does not follow stage %d, or the tasks are unfinished, or the run is aborted", after.Stage, before.Stage)
	}
	if slices.ContainsFunc(after.Tasks, func(task Task) bool { return task != Task{Phase: Waiting} }) {
		return transitionErrorf("the first state of a stage has a task that is not waiting")
	}
	return nil
}

// checkTasks checks the phases of the tasks of a state in the same stage as before.
func checkTasks(before, after *State, migrationPlan *plan.Plan) error {
	for index, task := range after.Tasks {
		replacement := &migrationPlan.Stages[after.Stage].Replacements[index]
		transitions := inPlaceTransitions
		if replacement.Surge {
			transitions = surgeTransitions
		}
		from := before.Tasks[index].Phase
		if task.Phase != from && !slices.Contains(transitions[from], task.Phase) {
			return transitionErrorf("%s cannot go from %s to %s", replacement.Old.ID, from, task.Phase)
		}
		if after.Outcome == Aborted && task.Phase != Finished && task.Phase != RolledBack {
			return transitionErrorf("%s is %s at the end of an abort", replacement.Old.ID, task.Phase)
		}
	}
	return nil
}
