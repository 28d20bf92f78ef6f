package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Times of a core that is partitioned into halves, the whole chain in the smaller one.
const (
	// halfAgents is the number of edge machines of the largest deployment with a core of five.
	halfAgents = 61
	// halfSeeds is the number of runs of each kind; AGENT_HALVES sets another one.
	halfSeeds = 30
	// authorityTimeout is how long after the partition machines keep their authority; the chain acknowledges as long.
	authorityTimeout = 1200 * time.Millisecond
	// contactDelay is how long after the partition machines count as in touch again (the operators' contact-ms): more than
	// half of the core runs and is connected.
	contactDelay = 4 * time.Second
)

// partitionedCore is a run with two control machines that are the chain and three that receive nothing new.
type partitionedCore struct {
	*model
	chain, majority []*modelControl
	partitionedAt   time.Duration
}

// newPartitionedCore lets the agents converge, on any control machine or on those of the majority only.
func newPartitionedCore(t *testing.T, seed uint64, majorityOnly bool) *partitionedCore {
	t.Helper()
	h := &partitionedCore{model: newModel(seed, 5, halfAgents)}
	h.chain, h.majority = h.controls[:2], h.controls[2:]
	if majorityOnly {
		for _, agent := range h.agents {
			h.setReach(agent, h.majority)
		}
	}
	require.True(t, h.commitAndWait(20))
	for _, agent := range h.agents {
		h.setReach(agent, h.controls)
	}
	h.partitionedAt = h.now
	for _, control := range h.majority {
		control.stalled = true
	}
	return h
}

// loseAuthority ends the authority of every control machine.
func (h *partitionedCore) loseAuthority() {
	for _, control := range h.controls {
		control.authoritative = false
		control.respondToWaiting(true)
	}
}

// measureDelivery lets the chain acknowledge a last change at a time after the partition, and returns the time until all proxies
// have it.
func (h *partitionedCore) measureDelivery(t *testing.T, ackAfter time.Duration) time.Duration {
	h.runUntil(ackAfter, func() bool { return false })
	h.commit()
	ackedAt := h.now
	lost := false
	h.after(max(authorityTimeout-ackAfter, 0), func() {
		lost = true
		h.loseAuthority()
	})
	require.True(t, h.runUntil(20*time.Second, h.converged))
	took := h.now - ackedAt
	h.runUntil(authorityTimeout, func() bool { return lost })
	require.Empty(t, h.failures)
	return took
}

// measureDeliveries plays runs of one kind and returns the time of the slowest proxy in each, sorted.
func measureDeliveries(t *testing.T, majorityOnly bool, ackAfter time.Duration) []time.Duration {
	t.Helper()
	var took []time.Duration
	for seed := range uint64(environment("AGENT_HALVES", halfSeeds)) {
		took = append(took, newPartitionedCore(t, seed, majorityOnly).measureDelivery(t, ackAfter))
	}
	slices.Sort(took)
	t.Logf("all proxies have it after %v (p50), %v at most", took[len(took)/2], took[len(took)-1])
	return took
}

// A change that only the smaller half has must reach the agents of the other machines before they count as in touch again.
func TestAgentsLearnWhatOnlyTheSmallerHalfHolds(t *testing.T) {
	took := measureDeliveries(t, false, authorityTimeout)
	require.LessOrEqual(t, took[len(took)-1], contactDelay-authorityTimeout)
}

// Where no agent has its long poll at a machine of the smaller half, probes have to find out that it has more.
func TestAgentsOfTheMajorityLearnWhatOnlyTheSmallerHalfHolds(t *testing.T) {
	took := measureDeliveries(t, true, authorityTimeout)
	require.LessOrEqual(t, took[len(took)-1], contactDelay-authorityTimeout)
}
