package registry

import (
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// coldRise is how much longer than expected a server may say that it stays cold before the list counts as
	// changed: receivers count down by themselves, and must not think it warm too early.
	coldRise = 100 * time.Millisecond

	// coldFall is how much shorter than expected a server may say that it stays cold, which costs nothing but
	// a little of its use.
	coldFall = time.Second

	// expiryDrift is how far the end of a server may move before the list counts as changed.
	expiryDrift = 200 * time.Millisecond
)

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

// sameServers reports whether a list read after some time says nothing that cannot be told from the earlier
// one and the time that has passed. Both are sorted.
func sameServers(before, after []*pb.Server, passed time.Duration) bool {
	return slices.EqualFunc(before, after, func(first, second *pb.Server) bool {
		return sameServer(first, second, passed)
	})
}

func sameServer(before, after *pb.Server, passed time.Duration) bool {
	fixed := before.Id == after.Id &&
		before.Service == after.Service &&
		before.Address == after.Address &&
		before.Zone == after.Zone &&
		before.Capacity == after.Capacity &&
		before.Draining == after.Draining &&
		before.Software == after.Software &&
		slices.Equal(before.Models, after.Models)
	if !fixed || (before.ExpiresMs == 0) != (after.ExpiresMs == 0) {
		return false
	}
	cold := drift(before.WarmLeftMs, after.WarmLeftMs, passed)
	if cold > coldRise || cold < -coldFall {
		return false
	}
	return before.ExpiresMs == 0 || drift(before.ExpiresMs, after.ExpiresMs, passed).Abs() <= expiryDrift
}

// drift is how much more time is left than was to be expected from an earlier reading.
func drift(before, after uint32, passed time.Duration) time.Duration {
	expected := max(0, time.Duration(before)*time.Millisecond-passed)
	return time.Duration(after)*time.Millisecond - expected
}
