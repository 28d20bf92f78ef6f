package plan

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMakeFindsTheShortestOfAllOrders(t *testing.T) {
	made, rejected, stages := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		want, possible := referenceEnd(&input)
		got, err := Make(input)
		if !possible {
			rejected++
			var infeasible *InfeasibleError
			require.True(t, errors.As(err, &infeasible), "%+v %v", got, err)
			require.NotEmpty(t, infeasible.Violated.String())
			return
		}
		made++
		require.NoError(t, err)
		require.True(t, got.Shortest)
		require.Equal(t, want, got.End)
		requireSafe(t, &input, got)
		stages += len(got.Stages)
		require.NoError(t, Verify(input, got.Stages))
		requireVerifyAgrees(t, &input)
	})
	t.Logf("%d plans with %d stages, %d infeasible", made, stages, rejected)
	require.Positive(t, made)
	require.Positive(t, rejected)
}

// requireSafe checks the stages of a plan against the constraints of the reference search.
func requireSafe(t testingT, input *Input, made *Plan) {
	t.Helper()
	r := &reference{input: input}
	done := make([]bool, len(input.Replacements))
	now := input.Begin
	for _, stage := range made.Stages {
		require.GreaterOrEqual(t, stage.Begin, now)
		chosen := make([]bool, len(done))
		for _, replacement := range stage.Replacements {
			for index := range input.Replacements {
				chosen[index] = chosen[index] || input.Replacements[index].Old.ID == replacement.Old.ID
			}
		}
		end, possible := r.stageEnd(done, chosen, stage.Begin)
		require.True(t, possible)
		require.Equal(t, stage.Begin+stage.Duration, end)
		now = end
		for index := range done {
			require.False(t, done[index] && chosen[index])
			done[index] = done[index] || chosen[index]
		}
	}
	require.NotContains(t, done, false)
	require.Equal(t, made.End, now)
}

// requireVerifyAgrees puts all replacements into one stage and requires that Verify accepts it exactly if the reference
// search does.
func requireVerifyAgrees(t testingT, input *Input) {
	t.Helper()
	all := make([]bool, len(input.Replacements))
	for index := range all {
		all[index] = true
	}
	end, possible := (&reference{input: input}).stageEnd(make([]bool, len(all)), all, input.Begin)
	duration := time.Duration(0)
	for _, replacement := range input.Replacements {
		duration = max(duration, replacement.Times.Total())
	}
	err := Verify(*input, []Stage{{Begin: input.Begin, Replacements: input.Replacements}})
	require.Equal(t, possible && end == input.Begin+duration, err == nil, "%v", err)
}

func TestSmallSite(t *testing.T) {
	for _, surge := range []bool{true, false} {
		input := smallSite(surge)
		made, err := Make(input)
		require.NoError(t, err)
		require.True(t, made.Shortest)
		requireSafe(t, &input, made)
		t.Logf("surge %v: %d stages, %s", surge, len(made.Stages), made.End)
	}
}
