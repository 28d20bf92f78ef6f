// Package registry keeps the soft state of a control machine, which is maintained without consensus and lost when the
// process ends:
//
//   - Agents, and Members as a snapshot of them: the edge machines from which this machine or its peers receive reports;
//   - Members.Endpoints: the addresses of proxies that the directory returns to clients;
//   - ServerInventory: the platform's server list, and the singleton role of polling it;
//   - LagMonitor: the proxies that lag behind the committed configuration.
//
// Package catalog, not this package, has the replicated control state. This package does no I/O, reads no clock and
// starts no goroutine: times are those of the caller's monotonic clock, and random numbers come from the caller.
// Agents, ServerInventory and LagMonitor are not safe for concurrent use; Members and ServerList are immutable and may
// be shared. docs/design/regional.md describes how the parts of a region work together.
package registry

import "time"

const (
	// FailureTimeout is the time without a report after which an edge machine counts as lost. With a longer timeout the
	// directory returns dead proxies for longer; with a shorter one, machines whose reports are only delayed count as
	// lost.
	FailureTimeout = 3 * time.Second

	// LostRetention is the time after its last report for which a lost edge machine remains a member: it may still be
	// serving requests and using its quota share.
	LostRetention = 60 * time.Second

	// MaxAgents is the maximum number of edge machines that are tracked. Reports of further machines are ignored.
	MaxAgents = 2048
)

// milliseconds converts a duration to the whole milliseconds of a message field, clamped to 0 and one day.
func milliseconds(duration time.Duration) uint32 {
	const longest = 24 * time.Hour
	return uint32(min(max(duration, 0), longest) / time.Millisecond)
}
