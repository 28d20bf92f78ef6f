package plan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGreedyOrdersAreSafe(t *testing.T) {
	missed, equal, made := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		if checkInput(&input) != nil {
			return
		}
		s := newSearcher(&input)
		last, complete := s.searchGreedily()
		best, possible := referenceEnd(&input)
		if !complete {
			if possible {
				missed++
			}
			return
		}
		require.True(t, possible)
		made++
		if last.end == best {
			equal++
		}
		require.GreaterOrEqual(t, last.end, best)
		requireSafe(t, &input, s.planOf(last))
	})
	t.Logf("greedy search: %d plans, of which %d are the shortest; none found for %d feasible inputs", made, equal, missed)
	require.Less(t, 10*missed, made+1)
}
