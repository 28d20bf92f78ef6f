package registry

import (
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
)

// pollTolerances bound how far the remaining times of two polls may drift before the list counts as changed. Receivers
// count the times down by themselves and must not consider a server warm too early, so the tolerance for a warm-up that
// ends later than expected is small. One that ends earlier only leaves the server unused for a moment.
var pollTolerances = serverlist.Tolerances{
	WarmUpLater:   100 * time.Millisecond,
	WarmUpEarlier: time.Second,
	ExpiryLater:   200 * time.Millisecond,
	ExpiryEarlier: 200 * time.Millisecond,
}

// ServerList is the platform's server list as one control machine read it. It is immutable.
type ServerList struct {
	version     *pb.ListVersion
	servers     []*pb.Server
	readAt      time.Duration // time at which the first call of the poll that read the list was sent
	confirmedAt time.Duration // time at which the last poll with an unchanged list was sent; not before readAt
}

// Version returns the version of the list, nil for no list.
func (l *ServerList) Version() *pb.ListVersion {
	if l == nil {
		return nil
	}
	return l.version
}

// Len returns the number of servers, 0 for no list.
func (l *ServerList) Len() int {
	if l == nil {
		return 0
	}
	return len(l.servers)
}

// Age returns the time since the platform was last known to have this list.
func (l *ServerList) Age(now time.Duration) time.Duration { return now - l.confirmedAt }

// Message returns the complete list. Its age is the time since the servers' remaining times were read.
func (l *ServerList) Message(now time.Duration) *pb.ServerList {
	return &pb.ServerList{Version: l.version, AgeMs: milliseconds(now - l.readAt), Servers: l.servers}
}

// Confirmation returns a message without servers, whose age is the time since the platform was last known to have the
// list. It is meant for receivers that have the version already.
func (l *ServerList) Confirmation(now time.Duration) *pb.ServerList {
	return &pb.ServerList{Version: l.version, AgeMs: milliseconds(l.Age(now))}
}

// confirmed returns a copy of the list that was confirmed at the given time, or the list itself if it was confirmed at
// that time or later.
func (l *ServerList) confirmed(at time.Duration) *ServerList {
	if at <= l.confirmedAt {
		return l
	}
	copied := *l
	copied.confirmedAt = at
	return &copied
}

// sortServers returns the servers in the order of their identifiers, so that lists can be compared.
func sortServers(servers []*pb.Server) []*pb.Server {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, compareIDs)
	return sorted
}

func compareIDs(first, second *pb.Server) int {
	return strings.Compare(first.Id, second.Id)
}
