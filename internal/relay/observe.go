package relay

import (
	"time"

	"fieldrelay/logic"
)

// Observer is told what comes of claims and what is listed, on the relay's goroutine. Its methods must not block.
type Observer interface {
	// Attempt is asked before each claim: one that is not let through ends as skipped, which tells the module nothing of the
	// node. warm is the part of its full capacity that the node has now at the least, by the contract. done, if there is one, is called once the claim is reported.
	BeforeAttempt(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool)
	// AttemptEnded is how a claim at the execute node of a name ended, and how long after it was issued.
	AttemptEnded(node string, o logic.Outcome, took time.Duration)
	// ServersListed are the execute nodes that the list has as ready, but for those suspended by hand or by word of the fleet.
	ServersListed(nodes []ListedServer)
	// DrainChanged is that the list now has a node, by its start, as draining or gone, or again as ready.
	DrainChanged(node string, since time.Duration, drains bool)
}

// ServersListed is an execute node that takes claims.
type ListedServer struct {
	Name, Zone string
	Since      time.Duration // its start, by the list
}

// SetObserver has an observer told. It is called before Start; without one nothing is kept for it.
func (r *Relay) SetObserver(o Observer) { r.observer = o }

// SetTenantAllowance tells the module what of a tenant's allowance is this sidecar's, in requests a second; below 0: an equal part.
func (r *Relay) SetTenantAllowance(tenant string, rate float64) {
	r.mailbox.Put(func() { r.balancer.SetTenantAllowance(tenant, rate) })
}

// notifyListed tells the observer.
func (r *Relay) notifyListed() {
	if r.observer == nil {
		return
	}
	all := make([]ListedServer, 0, len(r.servers))
	for _, n := range r.servers {
		if n.member.State == logic.Ready && !r.suspended[n.member.Name] {
			all = append(all, ListedServer{n.member.Name, n.member.Zone, n.startedAt})
		}
	}
	r.observer.ServersListed(all)
}
