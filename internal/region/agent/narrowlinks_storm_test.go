package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// defaultNarrowStorms is the default number of seeded runs; AGENT_NARROW_STORMS overrides it.
	defaultNarrowStorms  = 2
	narrowRoutes         = 200
	narrowCommitInterval = time.Second
	narrowStormDuration  = 12 * time.Second
)

// Large changes over links of low bandwidth, during faults of agents, proxies and control machines, must reach all
// proxies once the faults are over.
func TestAgentsThroughStormsOverNarrowLinks(t *testing.T) {
	first, count := environment("AGENT_FIRST", 1), environment("AGENT_NARROW_STORMS", defaultNarrowStorms)
	worst := time.Duration(0)
	for seed := first; seed < first+count; seed++ {
		m := newModel(uint64(seed), 3, 6)
		m.limitBandwidth()
		for machine := range m.links.capacity {
			m.links.capacity[machine] /= 20
		}
		m.commitRoutes(narrowRoutes)
		require.True(t, m.runUntil(time.Minute, m.converged), "seed %d: the initial state did not reach all proxies", seed)
		end := m.now + narrowStormDuration
		m.injectFaults(end)
		for m.now < end {
			m.commitRoutes(1 + m.random.IntN(narrowRoutes))
			m.runUntil(narrowCommitInterval, func() bool { return false })
		}
		m.runUntil(20*time.Second, func() bool { return false })
		m.commitRoutes(narrowRoutes)
		began := m.now
		require.True(t, m.runUntil(time.Minute, m.converged), "seed %d", seed)
		worst = max(worst, m.now-began)
		require.Empty(t, m.failures, "seed %d", seed)
	}
	t.Logf("longest propagation after the faults: %v", worst)
}
