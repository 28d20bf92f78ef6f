package control

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/ring"
)

func TestInspectFindsWhatAStartWouldHold(t *testing.T) {
	cluster := newTestCluster(t)
	require.EqualValues(t, 200, cluster.order(cluster.machines[0], replaceOrder(0, 3)).GetStatus())
	for _, machine := range cluster.machines {
		cluster.await(machine, 5*time.Second, func(status Status) bool {
			return status.Committed != nil && status.Committed.Generation() == 3
		})
	}
	for _, machine := range cluster.machines {
		status := machine.node.Status()
		inspection, err := Inspect(machine.settings.StateDir)
		require.NoError(t, err)
		require.NoError(t, inspection.Failure)
		require.Equal(t, status.Self.GetIdentity(), inspection.Identity)
		require.True(t, inspection.Bootstrap)
		require.GreaterOrEqual(t, inspection.View.GetNumber(), uint64(1))
		require.EqualValues(t, 3, inspection.State.Generation())
		require.Equal(t, status.Committed.Sequence(), inspection.State.Sequence())
	}
}

func TestInspectTellsAFreshDisk(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(folder, ringFolder), 0o700))
	inspection, err := Inspect(folder)
	require.NoError(t, err)
	require.NoError(t, inspection.Failure)
	require.True(t, inspection.Ring.Recovered.Fresh)
	require.Empty(t, inspection.Identity)
	require.Nil(t, inspection.View)
}

func TestInspectTellsARecordThatCannotBeRead(t *testing.T) {
	folder := t.TempDir()
	opened, _, err := ring.Open(filepath.Join(folder, ringFolder), ring.Options{})
	require.NoError(t, err)
	require.NoError(t, opened.Snapshot(joinSnapshot([]ring.Record{identityRecord("own", true)}, nil)))
	require.NoError(t, opened.Append(ring.Record{Kind: recordView, Payload: []byte{0, 0xff}}))
	require.NoError(t, opened.Close())
	inspection, err := Inspect(folder)
	require.NoError(t, err)
	var unreadable *RecordError
	require.True(t, errors.As(inspection.Failure, &unreadable))
	require.Equal(t, recordView, unreadable.Kind)
	require.Equal(t, "own", inspection.Identity, "records before the faulty one must be reported")
}

func TestInspectOfAnotherFolder(t *testing.T) {
	_, err := Inspect(t.TempDir())
	var none *NoStateError
	require.True(t, errors.As(err, &none))
}
