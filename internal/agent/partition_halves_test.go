package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of a core that is cut into halves, the whole chain in the smaller one.
const (
	// halfAgents is the number of edge machines of the largest deployment with a core of five.
	halfAgents = 61
	// halfSeeds is the number of runs of each kind; AGENT_HALVES sets another one.
	halfSeeds = 30
	// authorityLasts is how long after the cut machines call their state agreed; the chain acknowledges as long.
	authorityLasts = 1200 * time.Millisecond
	// inTouchAfter is how long after the cut machines count as in touch again (the operators' contact-ms): more than
	// half of the core runs and is connected.
	inTouchAfter = 4 * time.Second
)

// halves is a run with two control machines that hold the chain and three that hear of nothing new.
type halves struct {
	*model
	chain, rest []*modelControl
	cutAt       time.Duration
}

// newHalves lets the agents settle, on any control machine or on those of the majority only.
func newHalves(t *testing.T, seed uint64, onRestOnly bool) *halves {
	h := &halves{model: newModel(seed, 5, halfAgents)}
	h.chain, h.rest = h.controls[:2], h.controls[2:]
	if onRestOnly {
		for _, agent := range h.agents {
			h.setReach(agent, h.rest)
		}
	}
	require.True(t, h.let(20))
	for _, agent := range h.agents {
		h.setReach(agent, h.controls)
	}
	h.cutAt = h.now
	for _, control := range h.rest {
		control.stuck = true
	}
	return h
}

// loseAuthority lets every control machine say that it no longer holds the agreed state.
func (h *halves) loseAuthority() {
	for _, control := range h.controls {
		control.authoritative = false
		control.answerWaiting(true)
	}
}

// learn lets the chain acknowledge a last change at a time after the cut and returns how long after it all proxies hold
// it.
func (h *halves) learn(t *testing.T, ackAfter time.Duration) time.Duration {
	h.runUntil(ackAfter, func() bool { return false })
	h.commit()
	ackedAt := h.now
	lost := false
	h.after(max(authorityLasts-ackAfter, 0), func() {
		lost = true
		h.loseAuthority()
	})
	require.True(t, h.runUntil(20*time.Second, h.converged))
	took := h.now - ackedAt
	h.runUntil(authorityLasts, func() bool { return lost })
	require.Empty(t, h.failures)
	return took
}

// learnAll plays runs of one kind and returns how long the slowest proxy needed in each, in order.
func learnAll(t *testing.T, onRestOnly bool, ackAfter time.Duration) []time.Duration {
	var took []time.Duration
	for seed := range uint64(environment("AGENT_HALVES", halfSeeds)) {
		took = append(took, newHalves(t, seed, onRestOnly).learn(t, ackAfter))
	}
	slices.Sort(took)
	t.Logf("all proxies hold it after %v (p50), %v at most", took[len(took)/2], took[len(took)-1])
	return took
}

// What only the smaller half holds has to reach the agents of the other machines before they count as in touch again.
func TestAgentsLearnWhatOnlyTheSmallerHalfHolds(t *testing.T) {
	took := learnAll(t, false, authorityLasts)
	require.LessOrEqual(t, took[len(took)-1], inTouchAfter-authorityLasts)
}

// Where no agent asks a machine of the smaller half, agents have to find out by themselves that it holds more.
func TestAgentsOfTheMajorityLearnWhatOnlyTheSmallerHalfHolds(t *testing.T) {
	took := learnAll(t, true, authorityLasts)
	require.LessOrEqual(t, took[len(took)-1], inTouchAfter-authorityLasts)
}
