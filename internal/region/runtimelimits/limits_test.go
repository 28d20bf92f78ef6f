package runtimelimits

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// restoreRuntimeSettings restores the GC percent and the memory limit when the test ends.
func restoreRuntimeSettings(t *testing.T) {
	t.Helper()
	percent := debug.SetGCPercent(100)
	limit := debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	})
}

func TestApplySetsGCPercentAndMemoryLimit(t *testing.T) {
	restoreRuntimeSettings(t)
	Apply(284)
	require.Equal(t, gcPercent, debug.SetGCPercent(100))
	require.Equal(t, int64(213<<20), debug.SetMemoryLimit(-1))
}

func TestApplyWithoutLimit(t *testing.T) {
	restoreRuntimeSettings(t)
	debug.SetMemoryLimit(math.MaxInt64)
	Apply(0)
	require.Equal(t, gcPercent, debug.SetGCPercent(100))
	require.Equal(t, int64(math.MaxInt64), debug.SetMemoryLimit(-1))
}
