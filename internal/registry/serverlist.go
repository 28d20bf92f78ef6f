package registry

import (
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/serverlist"
)

// pollTolerances is how far the remaining times of two polls may drift before the list counts as changed. Receivers
// count down by themselves and must not take a server for warm too early, so the warm-up may end only a little later
// than expected. One that ends earlier costs nothing but a little of the server's use.
var pollTolerances = serverlist.Tolerances{
	WarmUpLater:   100 * time.Millisecond,
	WarmUpEarlier: time.Second,
	ExpiryLater:   200 * time.Millisecond,
	ExpiryEarlier: 200 * time.Millisecond,
}

// ServerList is the platform's list of servers as one control machine read it. It never changes.
type ServerList struct {
	version     *pb.ListVersion
	servers     []*pb.Server
	readAt      time.Duration // when the call that read it was sent
	confirmedAt time.Duration // when a call that found nothing new was last sent
}

// Version tells the list's place among others; nil for no list.
func (l *ServerList) Version() *pb.ListVersion {
	if l == nil {
		return nil
	}
	return l.version
}

// Len is the number of servers on the list.
func (l *ServerList) Len() int {
	if l == nil {
		return 0
	}
	return len(l.servers)
}

// Age is the time since the platform was last known to have this list.
func (l *ServerList) Age(now time.Duration) time.Duration { return now - l.confirmedAt }

// Message returns the whole list. Its age tells how old the servers' remaining times are.
func (l *ServerList) Message(now time.Duration) *pb.ServerList {
	return &pb.ServerList{Version: l.version, AgeMs: milliseconds(now - l.readAt), Servers: l.servers}
}

// Confirmation returns a message without servers, which says how old the news is for those who hold the
// version already.
func (l *ServerList) Confirmation(now time.Duration) *pb.ServerList {
	return &pb.ServerList{Version: l.version, AgeMs: milliseconds(l.Age(now))}
}

// confirmed returns the list with fresher news.
func (l *ServerList) confirmed(news time.Duration) *ServerList {
	if news <= l.confirmedAt {
		return l
	}
	copied := *l
	copied.confirmedAt = news
	return &copied
}

// sortServers orders servers by their incarnations, so that lists can be compared.
func sortServers(servers []*pb.Server) []*pb.Server {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, compareIncarnations)
	return sorted
}

func compareIncarnations(first, second *pb.Server) int {
	return strings.Compare(first.Id, second.Id)
}
