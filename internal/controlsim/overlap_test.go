package controlsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// overlapSeeds is the number of runs; the environment variable CONTROLSIM_OVERLAP sets another one, CONTROLSIM_FIRST
// the first seed.
const overlapSeeds = 60

// A disk is lost while other machines are down, without power, cut off, frozen or refused by their disks: more than
// the fault budget names, but no more disks. Service may rest meanwhile; what was acknowledged may not.
func TestADiskLostAmidOtherTroublesLosesNothingAcknowledged(t *testing.T) {
	first := number("CONTROLSIM_FIRST", 1)
	count := number("CONTROLSIM_OVERLAP", overlapSeeds)
	var total figures
	t.Cleanup(func() {
		t.Logf("%d runs: %d acknowledged, %d reads, %d views, %d failed", count,
			total.acknowledged.Load(), total.reads.Load(), total.views.Load(), total.failed.Load())
		require.Positive(t, total.acknowledged.Load())
	})
	total.each(t, first, count, func(seed uint64) *world {
		plan := planOf(seed)
		plan.overlapping = true
		w := play(plan)
		total.add(w)
		return w
	})
}
