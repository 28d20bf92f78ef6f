package daemon

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/sidecar/verdict"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Guards the state that a sidecar stores for the next process: a file of an earlier program is found under its name and has
// the suspensions by hand and the statements of the fleet.
// (The file's bytes include the time of writing and are not compared.) With -update the file is written again.
func TestGoldenKeptFileIsReadBack(t *testing.T) {
	const name = "fieldrelay-golden.kept"
	golden := filepath.Join("testdata", name)
	names := []string{"node-1", "node-ä"}
	words := []verdict.Statement{
		{Node: "node-1", Version: 3, Author: "other", Suspended: true, Since: 1500 * time.Millisecond},
		{Node: "node-2", Version: 1, Author: "me"},
	}
	if *update {
		folder := t.TempDir()
		kept := newStoredState(folder, "golden")
		require.NoError(t, kept.save(keySuspended, []string{"early"}))
		require.NoError(t, kept.save(keyFleetStatements, words))
		require.NoError(t, kept.save(keySuspended, names))
		content, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(golden, content, 0o600))
	}
	content, err := os.ReadFile(golden)
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, name), content, 0o600))
	kept := newStoredState(folder, "golden")
	var readNames []string
	require.NoError(t, kept.load("suspended", &readNames))
	require.Equal(t, names, readNames)
	var readWords []verdict.Statement
	require.NoError(t, kept.load("words", &readWords))
	require.Equal(t, words, readWords)
}
