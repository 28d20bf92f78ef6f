package agent

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const settingsText = `
hostname = "edge-1"
machine-class = "edge"
ip-addr = "10.0.0.1"
az = "zone-a"
geo = "region-a"
port-range = [7660,7675]
`

func TestSeedsAreReloadedWhenTheFileChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string, modified time.Time) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, os.Chtimes(path, modified, modified))
	}
	start := time.Now()
	write(settingsText+`seed-nodes = ["10.0.0.2:8146"]`, start)
	resolve := linkAddress(7660)
	watcher := newSeedsWatcher(path, []string{"10.0.0.2:7660"}, resolve, zap.NewNop())

	now := settingsCheckInterval
	_, changed := watcher.poll(now)
	require.False(t, changed)
	write(settingsText+`seed-nodes = ["10.0.0.3:8146"]`, start.Add(time.Second))
	_, changed = watcher.poll(now + settingsCheckInterval/2)
	require.False(t, changed, "the check interval is not over")
	seeds, changed := watcher.poll(now + settingsCheckInterval)
	require.True(t, changed)
	require.Equal(t, []string{"10.0.0.3:7660"}, seeds)

	write("half a fi", start.Add(2*time.Second))
	_, changed = watcher.poll(now + 2*settingsCheckInterval)
	require.False(t, changed, "an invalid file changes nothing")
	_, changed = watcher.reload()
	require.False(t, changed)
}

func TestSeedsThatAreNoAddressesAreLeftOut(t *testing.T) {
	seeds := resolveSeeds([]string{"nonsense", "10.0.0.3:8146"}, linkAddress(7660), zap.NewNop())
	require.Equal(t, []string{"10.0.0.3:7660"}, seeds)
}

func TestWithoutAFileNothingIsReloaded(t *testing.T) {
	watcher := newSeedsWatcher("", nil, linkAddress(1), zap.NewNop())
	_, changed := watcher.poll(time.Hour)
	require.False(t, changed)
	_, changed = watcher.reload()
	require.False(t, changed)
}

func TestIncarnationsRise(t *testing.T) {
	now := time.Now()
	require.Less(t, newIncarnation(now), newIncarnation(now.Add(time.Millisecond)))
}
