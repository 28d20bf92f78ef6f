package relay

import (
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// Observer limits attempts and is notified of outcomes and of the list. All its methods are called on the
// actor and must not block.
type Observer interface {
	// BeforeAttempt decides whether an attempt may start; if not, it ends as skipped, which tells the module
	// nothing about the server. retry is whether the request has had an attempt. capacity is the least fraction
	// of its full capacity that the server has now. release, unless nil, is called once the attempt is
	// reported and the server no longer works on it.
	BeforeAttempt(server, class, tenant string, retry bool, capacity float64, expires time.Time) (
		release func(), ok bool)
	// AttemptEnded is the outcome of an attempt at the server of a name, and the time since its start.
	AttemptEnded(server string, outcome logic.Outcome, took time.Duration)
	// ServersListed is all servers that the list has as ready, but for suspended ones. It is called before the first attempt
	// at any of them.
	ServersListed(servers []ListedServer)
	// DrainChanged is that the list now has a server, by its start, as draining or gone, or again as ready.
	DrainChanged(server string, startedAt time.Duration, draining bool)
}

// ListedServer is a server that the list has as ready.
type ListedServer struct {
	Name, Zone string
	Since      time.Duration // its start, by the list
}

// notifyListed notifies the observer of the ready servers. It comes before the module's step on them, which sends the requests
// that wait for a server.
func (r *Relay) notifyListed() {
	if r.observer == nil {
		return
	}
	ready := make([]ListedServer, 0, len(r.servers))
	for _, s := range r.servers {
		if s.member.State == logic.Ready && !r.suspended[s.member.Name] {
			ready = append(ready, ListedServer{s.member.Name, s.member.Zone, s.startedAt})
		}
	}
	r.observer.ServersListed(ready)
}
