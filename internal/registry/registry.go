// Package registry holds what a control machine knows besides the replicated state: the edge machines it has
// heard of (Agents, Members), the addresses that clients are told (Members.Endpoints) and the platform's list
// of servers with the duty of reading it (Inventory).
//
// Nothing here does I/O, reads a clock or starts a goroutine. Times are those of the caller's steady clock.
// The machines are not safe for concurrent use; Members and List are immutable and may be shared.
package registry

import (
	"time"
)

const (
	// FailureTimeout is how long an edge machine counts as live after it was last heard of.
	FailureTimeout = 3 * time.Second

	// LostRetention is how long a lost edge machine stays among the members: it may still be serving and using its
	// part of the common bounds.
	LostRetention = 60 * time.Second

	// MaxAgents bounds the edge machines that are kept.
	MaxAgents = 2048
)

// milliseconds is a duration in whole milliseconds as messages carry it, bounded at both ends.
func milliseconds(duration time.Duration) uint32 {
	const longest = 24 * time.Hour
	return uint32(min(max(duration, 0), longest) / time.Millisecond)
}
