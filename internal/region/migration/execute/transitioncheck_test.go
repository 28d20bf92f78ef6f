package execute

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestCheckTransition(t *testing.T) {
	migrationPlan := twoStagePlan()
	base := &State{Plan: "plan", Epoch: 1, Owner: "one", Revision: 5, Outcome: Running, Tasks: []Task{{Phase: Warming}}}
	base.derive(migrationPlan)
	cases := map[string]struct {
		change func(*State)
		reason string
	}{
		"cordons":                     {func(s *State) { s.Tasks[0] = Task{Phase: Cordoning, Since: 6} }, ""},
		"begins an epoch":             {func(s *State) { s.Epoch, s.Owner = 2, "two" }, ""},
		"aborts":                      {func(s *State) { s.Outcome = Aborting }, ""},
		"stale revision":              {func(s *State) { s.Revision = 5 }, "revision 5 does not follow 5"},
		"new owner in the same epoch": {func(s *State) { s.Owner = "two" }, `epoch 1 of "two" does not follow`},
		"skips phases":                {func(s *State) { s.Tasks[0].Phase = Stopping }, "old-1 cannot go from warming to stopping"},
		"returns to an earlier phase": {func(s *State) { s.Tasks[0].Phase = Waiting }, "old-1 cannot go from warming to waiting"},
		"skips a stage":               {func(s *State) { s.Stage = 1; s.Tasks[0].Phase = Waiting }, "stage 1 does not follow stage 0"},
		"no tasks":                    {func(s *State) { s.Tasks = nil }, "0 tasks in stage 0"},
		"stage out of range":          {func(s *State) { s.Stage = 3 }, "no stage 3"},
		"ends an abort early":         {func(s *State) { s.Outcome = Aborted }, "old-1 is warming at the end of an abort"},
		"other plan":                  {func(s *State) { s.Plan = "other" }, "the run of another plan has not ended"},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			next := base.clone()
			next.Revision++
			testCase.change(next)
			if next.Stage < len(migrationPlan.Stages) {
				next.derive(migrationPlan)
			}
			err := CheckTransition(base, next, migrationPlan)
			if testCase.reason == "" {
				require.NoError(t, err)
				return
			}
			var transitionError *TransitionError
			require.True(t, errors.As(err, &transitionError), "%v", err)
			require.Contains(t, err.Error(), testCase.reason)
		})
	}
	tampered := base.clone()
	tampered.Revision++
	tampered.Stop = []string{"kept"}
	require.ErrorContains(t, CheckTransition(base, tampered, migrationPlan), "do not match the tasks")
	ended := base.clone()
	ended.Outcome = Aborted
	require.ErrorContains(t, CheckTransition(ended, tampered, migrationPlan), "do not match the tasks")
}
