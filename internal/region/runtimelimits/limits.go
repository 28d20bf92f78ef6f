// Package runtimelimits fits the Go runtime to the memory that a process may use.
package runtimelimits

import "runtime/debug"

const (
	// gcPercent lets the heap grow by half between collections: memory is dearer than the few
	// microseconds that collecting a heap of some megabytes takes.
	gcPercent = 50

	// heapFractionNumerator of heapShareDenominator of a process's memory may be used by the Go runtime before it
	// collects harder; the rest is for stacks of threads, code and buffers of sockets.
	heapFractionNumerator   = 3
	heapFractionDenominator = 4

	bytesPerMB = 1 << 20
)

// Apply sets the collector's pace and the soft memory limit for a process that may use ramMB megabytes. With
// ramMB of 0 or less only the pace is set.
func Apply(ramMB int) {
	debug.SetGCPercent(gcPercent)
	if ramMB <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(ramMB) * bytesPerMB * heapFractionNumerator / heapFractionDenominator)
}
