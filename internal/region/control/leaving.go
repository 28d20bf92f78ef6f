package control

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// Times of a graceful shutdown, after Leave.
const (
	// LeaveTimeout is how long a machine goes on at most.
	LeaveTimeout = 2 * time.Second
	// leaveUnhealthyAfter is when a machine counts as unhealthy for the chain, even if the replicas required are not
	// elsewhere.
	leaveUnhealthyAfter = 1500 * time.Millisecond
)

// leaving is the graceful shutdown of this machine: its heartbeats announce it, it works on, and it ends when the others
// go on without it, when none is there who could, or at LeaveTimeout.
type leaving struct {
	clock    *clock
	begun    bool
	since    time.Duration
	reported bool // by the Left action
}

// begin returns false if the shutdown has begun before.
func (l *leaving) begin() bool {
	if l.begun {
		return false
	}
	l.begun = true
	l.since = l.clock.now
	return true
}

// isOverdue reports whether this machine has been leaving for so long that it no longer serves in the chain.
func (l *leaving) isOverdue() bool { return l.begun && l.clock.now-l.since >= leaveUnhealthyAfter }

// report adds the Left action once this machine may end.
func (l *leaving) report(planner *viewPlanner, output *stepOutput) {
	if !l.begun || l.reported {
		return
	}
	agreed := planner.hasLeft()
	if agreed || !planner.hasSuccessors() || l.clock.now-l.since >= LeaveTimeout {
		l.reported = true
		output.add(Left{Agreed: agreed})
	}
}

// hasLeft reports whether the others go on without this machine: it is not in the chain, so many members of the chain
// have the view on disk and hold its state that it outlives a further loss, and no other voters are wanted in its place.
func (p *viewPlanner) hasLeft() bool {
	view := viewInForce(p.replica)
	if view == nil {
		return true
	}
	identity := p.local.identity()
	if quorum.IndexOf(view.GetChain(), identity) != quorum.NotFound || !p.isReplicatedElsewhere() {
		return false
	}
	if !p.majorityHoldsRegisters() {
		return false // the voters in force may still collect them from this machine
	}
	voters, changed := quorum.NextVoters(view, p.votingPeers())
	votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
	losesVote := changed && quorum.IndexOf(voters, identity) == quorum.NotFound
	return !votes || !losesVote
}

// isReplicatedElsewhere reports whether the members of the chain that hold the view and its state, and are to stay, are
// enough by themselves.
func (p *viewPlanner) isReplicatedElsewhere() bool {
	view := viewInForce(p.replica)
	candidates := p.chainCandidates(view.GetChain())
	synchronized := slices.DeleteFunc(slices.Clone(view.GetChain()), func(member *pb.Replica) bool {
		candidate := candidates[member.GetIdentity()]
		return !candidate.Healthy || !candidate.Synchronized || candidate.Leaving
	})
	return p.requirement.MetBy(synchronized, view.GetVoters())
}

// hasSuccessors reports whether a majority of the voters is live and another machine, perhaps one that waits to join, is
// to stay.
func (p *viewPlanner) hasSuccessors() bool {
	if !p.peers.hasMajority(viewInForce(p.replica)) {
		return false
	}
	for identity := range p.peers.known {
		if p.peers.isLive(identity) && !p.isLeaving(identity) {
			return true
		}
	}
	return false
}
