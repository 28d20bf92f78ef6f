package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// defaultStorms is the default number of seeded runs; AGENT_STORMS overrides it.
	defaultStorms  = 12
	changesInStorm = 900
)

// injectFaults injects random faults at random intervals until a time.
func (m *model) injectFaults(end time.Duration) {
	if m.now >= end {
		return
	}
	m.injectFault()
	m.after(20*time.Millisecond+m.jitter(400*time.Millisecond), func() { m.injectFaults(end) })
}

// injectFault injects a random fault of an agent, its proxy or a control machine, which lasts up to two seconds.
func (m *model) injectFault() {
	agent := m.agents[m.random.IntN(len(m.agents))]
	control := m.controls[m.random.IntN(len(m.controls))]
	span := 20*time.Millisecond + m.jitter(2*time.Second)
	switch m.random.IntN(7) {
	case 0:
		m.partitioned[agent.self.Address] = true
		m.after(span, func() { delete(m.partitioned, agent.self.Address) })
	case 1:
		m.setReach(agent, nil)
		m.after(span, func() { m.setReach(agent, m.controls) })
	case 2:
		m.onlyReaches(agent, control)
		m.after(span, func() { m.setReach(agent, m.controls) })
	case 3:
		if agent.core != nil {
			agent.kill()
			m.after(span, agent.start)
		}
	case 4:
		agent.proxy.dead = true
		m.after(span, agent.proxy.restart)
	case 5:
		control.stalled = true
		control.authoritative = m.random.IntN(2) == 0
		m.after(span, func() {
			control.stalled, control.authoritative = false, true
			control.applyCommitted()
		})
	case 6:
		agent.repeatPushes()
	}
}

// During random faults and hundreds of changes, no replica and no proxy may regress or have a state other than the
// committed state of its sequence. After the faults, all proxies must have the newest state within catchUpTimeout.
func TestAgentsThroughStorms(t *testing.T) {
	first, count := environment("AGENT_FIRST", 1), environment("AGENT_STORMS", defaultStorms)
	for seed := first; seed < first+count; seed++ {
		m := newModel(uint64(seed), 3, 6)
		require.True(t, m.commitAndWait(changesBeforeAbsence))
		m.injectFaults(m.now + 15*time.Second)
		require.True(t, m.commitAndWait(changesInStorm))
		m.runUntil(20*time.Second, func() bool { return false })
		m.commit()
		require.True(t, m.runUntil(catchUpTimeout, m.converged), "seed %d", seed)
		require.Empty(t, m.failures, "seed %d", seed)
	}
}
