package control

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/quorum"
)

// Timing of a graceful shutdown, from Leave.
const (
	// LeaveTimeout is the maximum duration of a graceful shutdown.
	LeaveTimeout = 2 * time.Second
	// leaveUnhealthyAfter is the time after which a leaving machine counts as unhealthy for the chain, even if the
	// other machines do not hold the required replicas yet.
	leaveUnhealthyAfter = 1500 * time.Millisecond
)

// leaving is the graceful shutdown of this machine. The machine announces the shutdown in its heartbeats and continues
// to serve. The shutdown ends when the other machines can continue without this one, when there is no other machine
// that could, or at LeaveTimeout.
type leaving struct {
	clock    *clock
	begun    bool
	since    time.Duration
	reported bool // the Left action was emitted
}

// begin starts the shutdown; it returns false if the shutdown has been started before.
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

// report adds the Left action once this process may end.
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

// hasLeft reports whether the other machines can continue without this one: this machine is not a member of the chain,
// enough members have the view and its state on disk to survive a further failure, and no voter remains to be elected
// in place of this machine.
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
		return false // the current voters may still have to collect the registers from this machine
	}
	voters, changed := quorum.NextVoters(view, p.votingPeers())
	votes := quorum.IndexOf(view.GetVoters(), identity) != quorum.NotFound
	losesVote := changed && quorum.IndexOf(voters, identity) == quorum.NotFound
	return !votes || !losesVote
}

// isReplicatedElsewhere reports whether the chain members that are healthy, hold the state of the view and are not
// leaving meet the replica requirement by themselves.
func (p *viewPlanner) isReplicatedElsewhere() bool {
	view := viewInForce(p.replica)
	candidates := p.chainCandidates(view.GetChain())
	synchronized := slices.DeleteFunc(slices.Clone(view.GetChain()), func(member *pb.Replica) bool {
		candidate := candidates[member.GetIdentity()]
		return !candidate.Healthy || !candidate.Synchronized || candidate.Leaving
	})
	return p.requirement.MetBy(synchronized, view.GetVoters())
}

// hasSuccessors reports whether a majority of the voters is live and another live machine, which may still be waiting
// to join, is not leaving.
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
