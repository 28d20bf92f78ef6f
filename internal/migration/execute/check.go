package execute

import (
	"fmt"
	"slices"

	"fieldrelay/internal/migration/plan"
)

// StepError tells that a state may not follow another one.
type StepError struct{ Reason string }

func (e *StepError) Error() string { return "migration: " + e.Reason }

func stepError(format string, arguments ...any) error {
	return &StepError{Reason: fmt.Sprintf(format, arguments...)}
}

// besideSteps and placeSteps are the phases that may follow a phase, where both nodes can run at once and where
// the new one needs the place of the old one.
var (
	besideSteps = map[Phase][]Phase{
		Waiting:     {Starting, Returned},
		Starting:    {Warming, Emptying},
		Warming:     {Withholding, Emptying},
		Withholding: {Draining, Warming},
		Draining:    {Stopping, Warming},
		Stopping:    {Finished},
		Emptying:    {Removing, Warming},
		Removing:    {Returned},
	}
	placeSteps = map[Phase][]Phase{
		Waiting:     {Withholding, Returned},
		Withholding: {Draining, Waiting},
		Draining:    {Stopping, Waiting},
		Stopping:    {Starting},
		Starting:    {Warming},
		Warming:     {Finished},
	}
)

// CheckStep returns a *StepError if a state may not be put in place of another one (nil: of none). It is for the
// head of the chain, which so refuses whoever was overtaken, and for tests.
func CheckStep(before, after *State, made *plan.Plan) error {
	if before == nil {
		before = &State{}
	}
	if after.Revision != before.Revision+1 {
		return stepError("revision %d does not follow %d", after.Revision, before.Revision)
	}
	if err := checkOwner(before, after); err != nil {
		return err
	}
	if err := checkShape(after, made); err != nil {
		return err
	}
	switch {
	case before.Plan != after.Plan:
		return checkBeginning(before, after)
	case before.Outcome.Ended():
		return stepError("the run has ended")
	case before.Outcome == Aborting && after.Outcome != Aborting && after.Outcome != Aborted:
		return stepError("an abort is not taken back")
	case before.Stage != after.Stage:
		return checkNextStage(before, after)
	}
	return checkTasks(before, after, made)
}

func checkOwner(before, after *State) error {
	claims := after.Epoch == before.Epoch+1
	goesOn := after.Epoch == before.Epoch && after.Owner == before.Owner
	if after.Owner == "" || !claims && !goesOn {
		return stepError("epoch %d of %q does not follow epoch %d of %q", after.Epoch, after.Owner, before.Epoch, before.Owner)
	}
	return nil
}

// checkShape checks a state by itself.
func checkShape(state *State, made *plan.Plan) error {
	if state.Stage < 0 || state.Stage > len(made.Stages) {
		return stepError("there is no stage %d", state.Stage)
	}
	tasks := 0
	if state.Stage < len(made.Stages) {
		tasks = len(made.Stages[state.Stage].Replacements)
	}
	if len(state.Tasks) != tasks || (tasks == 0) != (state.Outcome == Done) {
		return stepError("%d tasks in stage %d of a run that is %s", len(state.Tasks), state.Stage, state.Outcome)
	}
	derived := state.clone()
	derived.derive(made)
	same := slices.Equal(derived.Withheld, state.Withheld) && slices.Equal(derived.Moving, state.Moving) &&
		slices.Equal(derived.Start, state.Start) && slices.Equal(derived.Stop, state.Stop) &&
		slices.Equal(derived.Swaps, state.Swaps)
	if !same {
		return stepError("what is to be carried out does not follow from the tasks")
	}
	return nil
}

func checkBeginning(before, after *State) error {
	if before.Plan != "" && !before.Outcome.Ended() {
		return stepError("another plan is under way")
	}
	waiting := !slices.ContainsFunc(after.Tasks, func(task Task) bool { return task != Task{Phase: Waiting} })
	if after.Stage != 0 || !waiting {
		return stepError("a run does not begin with stage %d", after.Stage)
	}
	return nil
}

func checkNextStage(before, after *State) error {
	unfinished := slices.ContainsFunc(before.Tasks, func(task Task) bool { return task.Phase != Finished })
	if after.Stage != before.Stage+1 || unfinished || after.Outcome == Aborted {
		return stepError("stage %d does not follow stage %d as it stands", after.Stage, before.Stage)
	}
	if slices.ContainsFunc(after.Tasks, func(task Task) bool { return task != Task{Phase: Waiting} }) {
		return stepError("a stage does not begin in the middle")
	}
	return nil
}

func checkTasks(before, after *State, made *plan.Plan) error {
	for index, task := range after.Tasks {
		replacement := &made.Stages[after.Stage].Replacements[index]
		steps := placeSteps
		if replacement.Surge {
			steps = besideSteps
		}
		from := before.Tasks[index].Phase
		if task.Phase != from && !slices.Contains(steps[from], task.Phase) {
			return stepError("%s cannot go from %s to %s", replacement.Old.ID, from, task.Phase)
		}
		if after.Outcome == Aborted && task.Phase != Finished && task.Phase != Returned {
			return stepError("%s is %s at the end of an abort", replacement.Old.ID, task.Phase)
		}
	}
	return nil
}
