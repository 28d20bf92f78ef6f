package gossip

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
)

// listTolerances bound how far the remaining times of two lists may drift while the lists count as the same. The
// tolerance for a warm-up that ends later than expected is smaller: the server would be considered warm too early.
var listTolerances = serverlist.Tolerances{
	WarmUpLater:   100 * time.Millisecond,
	WarmUpEarlier: time.Second,
	ExpiryLater:   100 * time.Millisecond,
	ExpiryEarlier: time.Second,
}

// ListOutcome is the result of offering a server list to a Replica.
type ListOutcome int

const (
	// ListStale means that the list was ignored, since it is not newer than the present one.
	ListStale ListOutcome = iota
	// ListConfirmed means that the list has a newer version with the same content, or confirms the present list.
	ListConfirmed
	// ListChanged means that the list is newer, has other content, and has replaced the present one.
	ListChanged
)

// storedList is a server list with its times by the monotonic clock. The message is immutable.
type storedList struct {
	message     *pb.ServerList // nil: there is no list
	readAt      time.Duration  // time of the poll of the platform, from which the servers' remaining times count
	confirmedAt time.Duration  // time at which the platform was last known to have this list
}

// readTime returns the time at which the platform was polled for a list that is received at the time now.
func readTime(now time.Duration, list *pb.ServerList) time.Duration {
	return now - time.Duration(list.GetAgeMs())*time.Millisecond
}

// messageAt returns the list with its age at the time now, nil if there is none. The result shares the servers with the
// stored list.
func (l storedList) messageAt(now time.Duration) *pb.ServerList {
	if l.message == nil {
		return nil
	}
	return &pb.ServerList{
		Version: l.message.GetVersion(),
		AgeMs:   uint32(max(now-l.readAt, 0) / time.Millisecond),
		Servers: l.message.GetServers(),
	}
}

// sameContent reports whether a later list differs from an earlier one only by the elapsed time.
func sameContent(before, after storedList) bool {
	if before.message == nil || after.message == nil {
		return before.message == after.message
	}
	return listTolerances.Same(before.message.GetServers(), after.message.GetServers(), after.readAt-before.readAt)
}
