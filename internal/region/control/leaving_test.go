package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/quorum"
)

func inChain(status Status, identity string) bool {
	return quorum.IndexOf(status.View.GetChain(), identity) != quorum.NotFound
}

func TestEachNodeLeavesAndReturns(t *testing.T) {
	cluster := newTestCluster(t)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
	for index, leaver := range cluster.machines {
		other := cluster.machines[(index+1)%3]
		cluster.await(other, 10*time.Second, func(status Status) bool { return len(status.View.GetChain()) == 3 })
		identity := leaver.node.Status().Self.GetIdentity()
		began := time.Now()
		require.True(t, leaver.node.Leave(context.Background()))
		t.Logf("left after %v", time.Since(began))
		require.False(t, inChain(leaver.node.Status(), identity))
		leaver.stop()
		base := uint64(3 + index)
		require.EqualValues(t, 200, cluster.order(other, replaceOrder(base, base+1)).GetStatus())
		t.Logf("acknowledged after %v", time.Since(began))
		leaver.settings.Bootstrap = false
		cluster.start(leaver)
		cluster.await(leaver, 10*time.Second, func(status Status) bool {
			return status.Authoritative && inChain(status, identity)
		})
		t.Logf("in the chain again after %v", time.Since(began))
	}
}

func TestLoneMachineLeavesAtOnce(t *testing.T) {
	l := newSingleMachine(t)
	l.step(Leave{})
	require.Equal(t, []Left{{}}, l.left)
	l.step(Leave{})
	l.tick(30)
	require.Len(t, l.left, 1, "Left must be reported once")
}
