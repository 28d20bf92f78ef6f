package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// defaultStorms is the number of storms over hundreds of changes; AGENT_STORMS sets another one.
	defaultStorms = 12
	stormChanges  = 900
)

// storm brings one trouble after the other until a time.
func (m *model) storm(end time.Duration) {
	if m.now >= end {
		return
	}
	m.trouble()
	m.after(20*time.Millisecond+m.upTo(400*time.Millisecond), func() { m.storm(end) })
}

// trouble happens to one agent, its proxy or a control machine, and passes within two seconds.
func (m *model) trouble() {
	agent := m.agents[m.random.IntN(len(m.agents))]
	control := m.controls[m.random.IntN(len(m.controls))]
	span := 20*time.Millisecond + m.upTo(2*time.Second)
	switch m.random.IntN(7) {
	case 0:
		m.cut[agent.self.Address] = true
		m.after(span, func() { delete(m.cut, agent.self.Address) })
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
		control.stuck = true
		control.authoritative = m.random.IntN(2) == 0
		m.after(span, func() {
			control.stuck, control.authoritative = false, true
			control.follow()
		})
	case 6:
		agent.repeatPushes()
	}
}

// Through storms over hundreds of changes no copy and no proxy falls back or holds another state than its number
// stands for, and after them all proxies hold the newest state within the limit.
func TestAgentsThroughStorms(t *testing.T) {
	first, count := environment("AGENT_FIRST", 1), environment("AGENT_STORMS", defaultStorms)
	for seed := first; seed < first+count; seed++ {
		m := newModel(uint64(seed), 3, 6)
		require.True(t, m.let(before))
		m.storm(m.now + 15*time.Second)
		require.True(t, m.let(stormChanges))
		m.runUntil(20*time.Second, func() bool { return false })
		m.commit()
		require.True(t, m.runUntil(caughtUpWithin, m.converged), "seed %d", seed)
		require.Empty(t, m.failures, "seed %d", seed)
	}
}
