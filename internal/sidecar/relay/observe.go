package relay

import (
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// Observer limits attempts and is notified of outcomes and of changes to the list. All its methods are called on
// the actor and must not block.
type Observer interface {
	// BeforeAttempt decides whether an attempt may start. An attempt that may not start ends as skipped, which
	// tells the module nothing about the server. retry is whether an earlier attempt of the request was admitted.
	// capacity is the minimum fraction of its full capacity that the server has now. release, unless nil, is
	// called once the attempt is reported and the server no longer works on it.
	BeforeAttempt(server, class, tenant string, retry bool, capacity float64, expires time.Time) (
		release func(), ok bool)
	// AttemptEnded reports the outcome of an attempt at a server, and the time that the attempt took.
	AttemptEnded(server string, outcome logic.Outcome, took time.Duration)
	// ServersListed reports all servers that the list has as ready, except suspended ones. It is called before
	// the first attempt at any of them.
	ServersListed(servers []ListedServer)
	// DrainChanged reports that the list now has a server, identified by its name and start time, as draining or
	// gone (draining is true), or as ready again.
	DrainChanged(server string, startedAt time.Duration, draining bool)
}

// ListedServer is a server that the list has as ready.
type ListedServer struct {
	Name, Zone string
	Since      time.Duration // start time of the server as listed
}

// notifyListed reports the ready servers to the observer. It must be called before the module's step on those
// servers, since that step sends the requests that wait for a server.
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
