package execute

import (
	"fmt"
	"io"
	"strings"

	"fieldrelay/internal/region/migration/plan"
)

// WriteProgress writes the progress of a run and its blockers as text for operators. state is nil if none has been stored
// yet. The error is that of the writer.
func WriteProgress(output io.Writer, migrationPlan *plan.Plan, state *State, blockers []Blocker) error {
	text := &strings.Builder{}
	if state == nil {
		text.WriteString("not started\n")
	} else {
		stages := len(migrationPlan.Stages)
		fmt.Fprintf(text, "%s: stage %d of %d\n", state.Outcome, min(state.Stage+1, stages), stages)
		for index, task := range state.Tasks {
			replacement := &migrationPlan.Stages[state.Stage].Replacements[index]
			fmt.Fprintf(text, "  %-12s %s -> %s\n", task.Phase, replacement.Old.ID, replacement.New.ID)
		}
	}
	for _, blocker := range blockers {
		fmt.Fprintf(text, "  blocked: %s\n", blocker)
	}
	_, err := io.WriteString(output, text.String())
	return err
}
