// Package runtimelimits sets the limits of the Go runtime for the memory that a process may use.
package runtimelimits

import "runtime/debug"

const (
	// gcPercent lets the heap grow by half between collections: memory costs more than the few microseconds that the
	// collection of a heap of some megabytes takes.
	gcPercent = 50

	// heapFractionNumerator / heapFractionDenominator is the fraction of a process's memory that is the soft memory limit
	// of the Go runtime, above which it collects garbage more often. The rest is for thread stacks, code and socket
	// buffers.
	heapFractionNumerator   = 3
	heapFractionDenominator = 4

	bytesPerMB = 1 << 20
)

// Apply sets the GC percent and the soft memory limit for a process that may use ramMB megabytes. If ramMB is 0 or less,
// it sets only the GC percent.
func Apply(ramMB int) {
	debug.SetGCPercent(gcPercent)
	if ramMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(ramMB) * bytesPerMB * heapFractionNumerator / heapFractionDenominator)
}
