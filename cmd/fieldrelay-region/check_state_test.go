package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/settings"
)

// stateFolder returns the state folder of a control machine that bootstrapped a cluster of one and executed a REPLACE
// order.
func stateFolder(t *testing.T) string {
	t.Helper()
	const own = "127.0.0.1:8146"
	folder := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	node, err := control.Start(ctx, control.Options{
		Settings: &settings.Settings{
			Hostname: "control-1", Address: "127.0.0.1", PortRange: []int{7660, 7675}, Seeds: []string{own},
			Bootstrap: true, StateDir: folder, Zone: "brno-hala", Zones: map[string]string{"brno-hala": "cz-morava"},
		},
		Logger:         zap.NewNop(),
		ControlAddress: own,
	})
	require.NoError(t, err)
	order := &pb.Order{Kind: pb.Order_KIND_REPLACE, Body: []byte(goodConfiguration)}
	limit := time.After(10 * time.Second)
	for {
		changed := node.Changed()
		if node.Submit(ctx, order).GetStatus() == http.StatusOK {
			return folder
		}
		select {
		case <-changed:
		case <-limit:
			require.FailNow(t, "the REPLACE order was not executed within 10 s")
		}
	}
}

func TestCheckOfAStateFolder(t *testing.T) {
	folder := stateFolder(t)
	var output bytes.Buffer
	require.NoError(t, checkState(&output, folder))
	for _, part := range []string{
		"current: snapshot of", " change, ", "recovers: identity ", "recovers: view 1 of cluster ",
		"voters [control-1], chain [control-1]", "sequence 1, generation 1,",
		"recovers: orders executed since generation 0: 1\n", "no faults",
	} {
		require.Contains(t, output.String(), part)
	}
}

func TestCheckOfATornStateFolder(t *testing.T) {
	folder := stateFolder(t)
	inspection, err := control.Inspect(folder)
	require.NoError(t, err)
	newest := inspection.Ring.Files[0]
	path := filepath.Join(folder, "control", newest.Name)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[newest.End-1] ^= 1
	require.NoError(t, os.WriteFile(path, content, 0o600))

	var output bytes.Buffer
	require.NoError(t, checkState(&output, folder), "a power failure leaves a torn tail, which is no fault")
	require.Contains(t, output.String(), "torn")
}

func TestCheckOfAStateFolderThatCannotBeRead(t *testing.T) {
	folder := t.TempDir()
	opened, _, err := ring.Open(filepath.Join(folder, "control"), ring.Options{Files: 2})
	require.NoError(t, err)
	for range 3 {
		require.NoError(t, opened.Snapshot(bytes.Repeat([]byte{1}, 64)))
	}
	require.NoError(t, opened.Close())
	corruptSnapshots(t, filepath.Join(folder, "control"))
	var output bytes.Buffer
	err = checkState(&output, folder)
	var faulty *FaultyFileError
	require.True(t, errors.As(err, &faulty), output.String())
	require.Contains(t, output.String(), "cannot start")

	var none *control.NoStateError
	require.True(t, errors.As(checkState(&output, t.TempDir()), &none))
}

// corruptSnapshots flips a bit in the snapshot of every ring file in folder.
func corruptSnapshots(t *testing.T, folder string) {
	t.Helper()
	const inSnapshot = 100 // offset of a byte behind the headers of the file and of the frame
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	require.NoError(t, err)
	for _, path := range files {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		content[inSnapshot] ^= 1
		require.NoError(t, os.WriteFile(path, content, 0o600))
	}
}
