package control

import (
	"fieldrelay/internal/region/chain"
)

// localHealth determines whether this machine itself is healthy. The heartbeats of this machine advertise canServe.
type localHealth struct {
	clock   *clock
	disk    *diskQueue
	peers   *peerTable
	leaving *leaving
	replica *chain.Replica
}

// isHealthy reports whether the disk works and this machine is not partitioned from the majority of the voters. A
// machine that has just started, or knows no view, does not count as partitioned: it has had no time to receive
// heartbeats.
func (h *localHealth) isHealthy() bool {
	view := viewInForce(h.replica)
	hasContact := view == nil || h.clock.uptime() < FailureTimeout || h.peers.hasMajority(view)
	return h.disk.isHealthy() && hasContact
}

// canServe reports whether this machine can be a member of the chain. A machine that is leaving remains able to serve
// until leaveUnhealthyAfter.
func (h *localHealth) canServe() bool {
	return h.isHealthy() && !h.leaving.isOverdue()
}
