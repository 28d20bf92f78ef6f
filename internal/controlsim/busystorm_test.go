package controlsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// defaultBusySeeds is the number of storms over hundreds of changes; CONTROLSIM_BUSY sets another one.
	defaultBusySeeds = 24
	// busyStormFor is so long that some hundred changes are committed in a storm.
	busyStormFor = 100 * time.Second
)

// playBusyStorm plays a storm in which changes follow upon each other as quickly as they are acknowledged, at times
// of large configurations.
func playBusyStorm(plan plan) *world {
	routes := 0
	if plan.seed%4 == 0 {
		routes = bigRoutes / 4
	}
	w := &farWorld{world: newWorld(plan)}
	w.writer = w.addWriter(routes)
	w.addReader()
	other := w.addOperator(1)
	storm := w.addTrouble()
	w.run(busyStormFor)
	storm.heal()
	w.plan.restless = 0
	w.writer.ended = true
	other.ended = true
	w.run(operatorPatience)
	w.checkLiveness()
	w.checker.finish()
	return w.world
}

func TestHundredsOfChangesThroughStorms(t *testing.T) {
	first := number("CONTROLSIM_FIRST", 1)
	count := number("CONTROLSIM_BUSY", defaultBusySeeds)
	var total figures
	t.Cleanup(func() {
		t.Logf("%d runs: %d acknowledged, %d refused, %d reads, %d views, %d failed", count,
			total.acknowledged.Load(), total.refused.Load(), total.reads.Load(), total.views.Load(), total.failed.Load())
		require.Positive(t, total.acknowledged.Load())
	})
	total.each(t, first, count, func(seed uint64) *world {
		w := playBusyStorm(planOf(seed))
		total.add(w)
		return w
	})
}
