package gossip

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// How far the end of a span that two lists tell of a server may differ while the lists count as alike. A span that
// ends later than was thought matters sooner: the server would be taken for warm too early.
const (
	laterTolerance   = 100 * time.Millisecond
	earlierTolerance = time.Second
)

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

// heldList is a server list with its times of the steady clock. The message is never changed.
type heldList struct {
	message *pb.ServerList // nil: none is held
	readAt  time.Duration  // when the platform gave it: what is left of the servers' spans counts from here
	newsAt  time.Duration  // when the platform was last known to have this list
}

func readTime(now time.Duration, list *pb.ServerList) time.Duration {
	return now - time.Duration(list.GetAgeMs())*time.Millisecond
}

// aged is the list with its age at the time now. The servers are shared.
func (h heldList) aged(now time.Duration) *pb.ServerList {
	if h.message == nil {
		return nil
	}
	return &pb.ServerList{
		Version: h.message.GetVersion(),
		AgeMs:   uint32(max(now-h.readAt, 0) / time.Millisecond),
		Servers: h.message.GetServers(),
	}
}

// sameContent tells whether two lists tell the same of the same servers, the passing of time apart.
func sameContent(a, b heldList) bool {
	if a.message == nil || b.message == nil {
		return a.message == b.message
	}
	theirs := b.message.GetServers()
	return slices.EqualFunc(a.message.GetServers(), theirs, func(x, y *pb.Server) bool {
		return sameServer(x, y, b.readAt-a.readAt)
	})
}

// sameServer compares a server with what another list, read later by passed, tells of it.
func sameServer(x, y *pb.Server, passed time.Duration) bool {
	return x.GetId() == y.GetId() &&
		x.GetService() == y.GetService() &&
		x.GetAddress() == y.GetAddress() &&
		x.GetZone() == y.GetZone() &&
		x.GetCapacity() == y.GetCapacity() &&
		x.GetDraining() == y.GetDraining() &&
		x.GetSoftware() == y.GetSoftware() &&
		slices.Equal(x.GetModels(), y.GetModels()) &&
		(x.GetExpiresMs() == 0) == (y.GetExpiresMs() == 0) &&
		sameEnd(x.GetExpiresMs(), y.GetExpiresMs(), passed) &&
		sameEnd(x.GetWarmLeftMs(), y.GetWarmLeftMs(), passed)
}

// sameEnd tells whether a span of which earlierMs was left has laterMs left after the time passed.
func sameEnd(earlierMs, laterMs uint32, passed time.Duration) bool {
	earlier := time.Duration(earlierMs) * time.Millisecond
	later := time.Duration(laterMs) * time.Millisecond
	expected := max(earlier-passed, 0)
	drift := later - expected
	return drift <= laterTolerance && drift >= -earlierTolerance
}
