package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Parameters of runs in which the control machines are partitioned into two groups, with the whole replication chain in
// the smaller group.
const (
	// halfAgents is the number of edge machines of the largest deployment with five control machines.
	halfAgents = 61
	// halfSeeds is the default number of seeded runs of each kind; AGENT_HALVES overrides it.
	halfSeeds = 30
	// authorityTimeout is how long machines keep their authority after the partition. The chain acknowledges changes
	// for the same time.
	authorityTimeout = 1200 * time.Millisecond
	// contactDelay is the time after the partition from which machines count as in contact again (setting contact-ms),
	// since more than half of the control machines run and are connected.
	contactDelay = 4 * time.Second
)

// partitionedCore is a model with five control machines: two form the replication chain, and three receive no changes
// after the partition.
type partitionedCore struct {
	*model
	chain, majority []*modelControl
	partitionedAt   time.Duration
}

// newPartitionedCore returns a model whose agents have converged before the partition, with long polls to any control
// machine or only to those of the majority.
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

// loseAuthority revokes the authority of all control machines.
func (h *partitionedCore) loseAuthority() {
	for _, control := range h.controls {
		control.authoritative = false
		control.respondToWaiting(true)
	}
}

// measureDelivery lets the chain acknowledge a last change at a time after the partition, and returns the time from the
// acknowledgement until all proxies have the change.
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

// measureDeliveries simulates the seeded runs of one kind, and returns the time of the slowest proxy in each run,
// sorted.
func measureDeliveries(t *testing.T, majorityOnly bool, ackAfter time.Duration) []time.Duration {
	t.Helper()
	var took []time.Duration
	for seed := range uint64(environment("AGENT_HALVES", halfSeeds)) {
		took = append(took, newPartitionedCore(t, seed, majorityOnly).measureDelivery(t, ackAfter))
	}
	slices.Sort(took)
	t.Logf("all proxies have the change after %v (p50), %v at most", took[len(took)/2], took[len(took)-1])
	return took
}

// A change that only the control machines of the smaller group have must reach all agents before the other machines
// count as in contact again.
func TestAgentsLearnWhatOnlyTheSmallerHalfHolds(t *testing.T) {
	took := measureDeliveries(t, false, authorityTimeout)
	require.LessOrEqual(t, took[len(took)-1], contactDelay-authorityTimeout)
}

// If no agent has its long poll at a control machine of the smaller group, probes must discover the change there.
func TestAgentsOfTheMajorityLearnWhatOnlyTheSmallerHalfHolds(t *testing.T) {
	took := measureDeliveries(t, true, authorityTimeout)
	require.LessOrEqual(t, took[len(took)-1], contactDelay-authorityTimeout)
}
