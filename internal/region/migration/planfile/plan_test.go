package planfile

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/plan"
)

func TestPlanIsWrittenReadAndVerified(t *testing.T) {
	file, input, migrationPlan := planExampleFile(t)

	planned := file.WithPlan(migrationPlan)
	content, err := planned.Write(migrationPlan)
	require.NoError(t, err)
	t.Logf("%s", content)
	again, err := Parse(content)
	require.NoError(t, err, "%s", content)
	require.Equal(t, planned, again)
	first, err := planned.Digest()
	require.NoError(t, err)
	second, err := again.Digest()
	require.NoError(t, err)
	require.Equal(t, first, second)

	checked, err := again.Plan(input)
	require.NoError(t, err)
	require.Len(t, checked.Stages, len(migrationPlan.Stages))
	for index, stage := range checked.Stages {
		require.Equal(t, migrationPlan.Stages[index].Replacements, stage.Replacements)
		require.InDelta(t, migrationPlan.Stages[index].Begin, stage.Begin, float64(time.Second))
	}

	// The stage that replaces i-2 in place becomes the first one, in the period of high demand, which must be rejected.
	for index := range again.Stages {
		if again.Stages[index].Replace[0] == "i-2" {
			again.Stages[0], again.Stages[index] = again.Stages[index], again.Stages[0]
		}
	}
	again.Stages[0].Begin = "21:30"
	_, err = again.Plan(input)
	var infeasible *plan.InfeasibleError
	require.True(t, errors.As(err, &infeasible), "%v", err)
	require.Equal(t, plan.ConstraintCapacity, infeasible.Violated)
	require.Equal(t, "i-2", infeasible.Node)
}
