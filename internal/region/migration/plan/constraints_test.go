package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
)

// Two pools lack surge capacity for a different number of nodes. The violation has the larger number, whatever the
// iteration order of the map.
func TestSurgeViolationIsThatOfThePoolThatLacksMost(t *testing.T) {
	input := smallSite(true) // five servers of zone c, three of zone b
	input.SurgeCapacity = map[SurgePool]int{{"c", capacity.Server}: 1, {"b", capacity.Server}: 1}
	s := newSearcher(&input)
	for range 50 {
		found := s.checkSurge(make(counts, len(s.goal)), s.goal)
		require.Equal(t, &violation{constraint: ConstraintSurge, missing: 4}, found)
	}
}
