package plan

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestVerifyRejectsInvalidStages(t *testing.T) {
	input := smallSite(true)
	made, err := Make(input)
	require.NoError(t, err)
	var inputError *InputError
	require.True(t, errors.As(Verify(input, made.Stages[1:]), &inputError))
	require.True(t, errors.As(Verify(input, append(made.Stages, made.Stages[0])), &inputError))
	require.True(t, errors.As(Verify(input, append([]Stage{{}}, made.Stages...)), &inputError))
	var infeasible *InfeasibleError
	require.True(t, errors.As(Verify(input, []Stage{{Replacements: input.Replacements}}), &infeasible))
	require.Equal(t, ConstraintBatchSize, infeasible.Violated)
}
