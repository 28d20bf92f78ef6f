package control

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"fieldrelay/internal/region/quorum"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/settings"
)

// corruptRing overwrites bytes of the snapshots in all files of a ring.
func corruptRing(t *testing.T, folder string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "ring-*"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		file, err := os.OpenFile(name, os.O_RDWR, 0)
		require.NoError(t, err)
		_, err = file.WriteAt([]byte("!!!!"), 74)
		require.NoError(t, err)
		require.NoError(t, file.Close())
	}
}

func TestNodeWithACorruptRingComesBackAsAnotherReplica(t *testing.T) {
	cluster := newTestCluster(t)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
	machine := cluster.machines[1]
	before := machine.node.Status().Self.GetIdentity()
	machine.stop()
	corruptRing(t, filepath.Join(machine.settings.StateDir, ringFolder))

	began := time.Now()
	cluster.start(machine)
	after := machine.node.Status().Self.GetIdentity()
	require.NotEqual(t, before, after, "the machine must not reuse the identity of the corrupt ring")
	cluster.await(machine, 8*time.Second, func(status Status) bool {
		inChain := quorum.IndexOf(status.View.GetChain(), after) != quorum.NotFound
		return status.Authoritative && inChain && status.Committed.Generation() == 3
	})
	t.Logf("joined after %v", time.Since(began))
	require.EqualValues(t, 200, cluster.order(machine, replaceOrder(3, 4)).GetStatus())

	machine.stop()
	cluster.start(machine)
	require.Equal(t, after, machine.node.Status().Self.GetIdentity(), "the new ring must stay in use")
	inspection, err := Inspect(machine.settings.StateDir)
	require.NoError(t, err)
	require.Equal(t, after, inspection.Identity)
	_, _, err = ring.Open(ringPath(machine.settings.StateDir, 1), ring.Options{})
	var corrupt *ring.CorruptError
	require.ErrorAs(t, err, &corrupt, "the corrupt ring must be left unchanged")
}

// A machine whose ring was corrupt must not bootstrap a cluster, even if its settings still say bootstrap.
func TestCorruptRingsFoundNothing(t *testing.T) {
	cluster := newTestCluster(t)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
	for _, machine := range cluster.machines {
		machine.stop()
		corruptRing(t, filepath.Join(machine.settings.StateDir, ringFolder))
	}
	for _, machine := range cluster.machines {
		require.True(t, machine.settings.Bootstrap)
		cluster.start(machine)
		require.False(t, machine.node.machine.config.Bootstrap)
	}
}

func TestRingsThatAreCorruptAgainAndAgainEndTheStart(t *testing.T) {
	options := Options{Settings: &settings.Settings{StateDir: t.TempDir(), Bootstrap: true}, Logger: zap.NewNop()}
	var failure *RingsCorruptError
	for number := 1; number <= maxRingFolders; number++ {
		opened, recovered, replaced, err := openRing(context.Background(), options)
		require.NoError(t, err)
		require.True(t, recovered.Fresh)
		require.Equal(t, number > 1, replaced)
		require.NoError(t, opened.Snapshot([]byte("a snapshot of some length")))
		require.NoError(t, opened.Append(ring.Record{Kind: recordSynchronizedView, Payload: []byte{0}}))
		require.NoError(t, opened.Close())
		corruptRing(t, ringPath(options.Settings.StateDir, number))
	}
	_, _, _, err := openRing(context.Background(), options)
	require.ErrorAs(t, err, &failure)
	var corrupt *ring.CorruptError
	require.ErrorAs(t, err, &corrupt)
}

// A ring of another version is not corrupt: a machine that was downgraded must not replace it.
func TestRingOfAnotherVersionIsLeftInUse(t *testing.T) {
	require.False(t, isCorrupt(&ring.CorruptError{Version: 2}))
	require.True(t, isCorrupt(&ring.CorruptError{Reason: "no snapshot"}))
}
