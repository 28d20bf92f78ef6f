// Package serverlist compares the versions and the content of the platform's server lists. Control machines (package
// registry), agents (package gossip) and proxies must agree on the order of versions, since each of them ignores lists
// that are older than its own.
//
// The package stores no list and reads no clock.
package serverlist

import (
	"cmp"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// CompareVersions orders list versions by epoch, then owner, then revision. A nil version is older than every other
// version. The result is -1, 0 or 1 if first is older than, equal to or newer than second.
func CompareVersions(first, second *pb.ListVersion) int {
	return cmp.Or(
		cmp.Compare(first.GetEpoch(), second.GetEpoch()),
		cmp.Compare(first.GetHolder(), second.GetHolder()),
		cmp.Compare(first.GetRevision(), second.GetRevision()),
	)
}

// Tolerances bound how far the remaining times of a server may drift between two lists that still count as the same.
// Receivers count the times down by themselves, so only a drift beyond the bounds is a change. The bounds are
// inclusive.
type Tolerances struct {
	// WarmUpLater and WarmUpEarlier bound by how much the warm-up may end later or earlier than expected.
	WarmUpLater, WarmUpEarlier time.Duration
	// ExpiryLater and ExpiryEarlier bound by how much the server may expire later or earlier than expected.
	ExpiryLater, ExpiryEarlier time.Duration
}

// Same reports whether a later list, read elapsed after an earlier one, has only the content that follows from the
// earlier list and the elapsed time. Both lists must have their servers in the same order.
func (t *Tolerances) Same(before, after []*pb.Server, elapsed time.Duration) bool {
	return slices.EqualFunc(before, after, func(first, second *pb.Server) bool {
		return t.sameServer(first, second, elapsed)
	})
}

func (t *Tolerances) sameServer(before, after *pb.Server, elapsed time.Duration) bool {
	return before.GetId() == after.GetId() &&
		before.GetService() == after.GetService() &&
		before.GetAddress() == after.GetAddress() &&
		before.GetZone() == after.GetZone() &&
		before.GetCapacity() == after.GetCapacity() &&
		before.GetDraining() == after.GetDraining() &&
		before.GetSoftware() == after.GetSoftware() &&
		slices.Equal(before.GetModels(), after.GetModels()) &&
		t.sameExpiry(before.GetExpiresMs(), after.GetExpiresMs(), elapsed) &&
		within(drift(before.GetWarmLeftMs(), after.GetWarmLeftMs(), elapsed), t.WarmUpEarlier, t.WarmUpLater)
}

// sameExpiry compares the remaining times until a server expires. Zero means that no expiry is known, which differs
// from every expiry, however near.
func (t *Tolerances) sameExpiry(beforeMs, afterMs uint32, elapsed time.Duration) bool {
	if beforeMs == 0 || afterMs == 0 {
		return beforeMs == afterMs
	}
	return within(drift(beforeMs, afterMs, elapsed), t.ExpiryEarlier, t.ExpiryLater)
}

// drift returns the difference between the later remaining time and the one expected from the earlier remaining time.
// Both remaining times are in milliseconds.
func drift(beforeMs, afterMs uint32, elapsed time.Duration) time.Duration {
	expected := max(0, time.Duration(beforeMs)*time.Millisecond-elapsed)
	return time.Duration(afterMs)*time.Millisecond - expected
}

func within(drift, earlier, later time.Duration) bool {
	return drift <= later && drift >= -earlier
}
