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
	t.Logf("greedy: of %d made %d are shortest, %d stuck where there is an order", made, equal, missed)
	require.Less(t, 10*missed, made+1)
}
