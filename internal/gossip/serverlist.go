package gossip

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/serverlist"
)

// listTolerances is how far the remaining times of two lists may drift while the lists count as the same. A warm-up
// that ends later than expected matters sooner: the server would be taken for warm too early.
var listTolerances = serverlist.Tolerances{
	WarmUpLater:   100 * time.Millisecond,
	WarmUpEarlier: time.Second,
	ExpiryLater:   100 * time.Millisecond,
	ExpiryEarlier: time.Second,
}

// ListOutcome tells what became of a server list that was offered to a Copy.
type ListOutcome int

const (
	// ListStale is a list no newer than the one held.
	ListStale ListOutcome = iota
	// ListConfirmed is a list that tells the same servers at a later time, or the confirmation of the list held.
	ListConfirmed
	// ListChanged is a newer list with other content.
	ListChanged
)

// storedList is a server list with its times of the steady clock. The message is never changed.
type storedList struct {
	message     *pb.ServerList // nil: none is held
	readAt      time.Duration  // when the platform gave it: what is left of the servers' spans counts from here
	confirmedAt time.Duration  // when the platform was last known to have this list
}

func readTime(now time.Duration, list *pb.ServerList) time.Duration {
	return now - time.Duration(list.GetAgeMs())*time.Millisecond
}

// aged is the list with its age at the time now. The servers are shared.
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

// sameContent tells whether two lists tell the same of the same servers, the passing of time apart.
func sameContent(before, after storedList) bool {
	if before.message == nil || after.message == nil {
		return before.message == after.message
	}
	return listTolerances.Same(before.message.GetServers(), after.message.GetServers(), after.readAt-before.readAt)
}
