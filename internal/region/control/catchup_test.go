package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/catalog"
)

// caughtUpWithin limits the time in which a node must hold everything that was committed before its start; it is the
// sites' setting sync-s.
const caughtUpWithin = 4 * time.Second

// A node that has missed more changes than the history retains is repaired with the whole state. It must not report the
// missed changes one by one: Since returns none of them, so that callers fetch the whole state.
func TestNodeFarBehindCatchesUp(t *testing.T) {
	cluster := newTestCluster(t)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 1)).GetStatus())
	away := cluster.machines[2]
	cluster.await(away, 5*time.Second, func(status Status) bool { return status.Committed.Generation() == 1 })
	old := away.node.Status().Committed
	away.stop()
	const distance = catalog.HistoryMaxChanges + 44
	for generation := uint64(1); generation <= distance; generation++ {
		result := cluster.order(cluster.machines[generation%2], replaceOrder(generation, generation+1))
		require.EqualValues(t, 200, result.GetStatus(), "generation %d", generation)
	}
	newest := cluster.machines[0].node.Status().Committed

	began := time.Now()
	cluster.start(away)
	cluster.await(away, caughtUpWithin, func(status Status) bool {
		return status.Committed != nil && status.Committed.Sequence() >= newest.Sequence()
	})
	t.Logf("%d changes: caught up after %v", distance, time.Since(began))
	require.True(t, newest.Equal(away.node.Status().Committed))
	_, kept := away.node.Since(old.Sequence())
	require.False(t, kept)
	restored, err := old.Restore(away.node.Status().Committed.RepairFor(old.Digests()))
	require.NoError(t, err)
	require.Equal(t, newest.Digests().GetDigests(), restored.Digests().GetDigests(), "what agents carry")
}
