package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
	"fieldrelay/internal/region/register"
)

// viewPlanner computes the next view from what this machine knows of the other machines. Machines may compute different
// views; the voters decide on one of the proposed views.
type viewPlanner struct {
	clock       *clock
	local       *localMachine
	peers       *peerTable
	replica     *chain.Replica
	health      *localHealth
	leaving     *leaving
	rejoin      *rejoinBackoff
	requirement chain.Requirement
	// votingSince holds, by identity, the time at which a view change made a machine a voter. The time is 0 or
	// absent for the voters of the first view that this machine knew.
	votingSince map[string]time.Duration
	// coordination provides the epoch of the registers that this machine has on disk.
	coordination *coordinationHost
}

// viewChange lists the differences between a wanted view and the view in force.
type viewChange struct {
	chain.Change
	Voters bool // the voters of the two views differ
}

func (c viewChange) any() bool { return c.Removal || c.Addition || c.Voters }

// wantedView returns the view that should replace the view in force, and the differences; nil when no valid chain can
// be formed.
func (p *viewPlanner) wantedView() (*pb.View, viewChange) {
	view := viewInForce(p.replica)
	voters, changed := p.nextVoters()
	members, change := chain.NextChain(view, voters, p.chainCandidates(voters), p.requirement)
	if members == nil {
		return nil, viewChange{}
	}
	wanted := &pb.View{
		Number:  view.GetNumber() + 1,
		Cluster: view.GetCluster(),
		Voters:  voters,
		Chain:   members,
	}
	register.AssignEpoch(wanted, view)
	return wanted, viewChange{Change: change, Voters: changed}
}

// nextVoters returns the voters of the next view, and whether they differ from the present voters. The voters do not
// change until a majority of them holds the registers of their epoch, because the next voters collect the registers
// from that majority.
func (p *viewPlanner) nextVoters() ([]*pb.Replica, bool) {
	view := viewInForce(p.replica)
	if !p.majorityHoldsRegisters() {
		return view.GetVoters(), false
	}
	return quorum.NextVoters(view, p.votingPeers())
}

// majorityHoldsRegisters reports whether a majority of the voters has the registers of their epoch on disk.
func (p *viewPlanner) majorityHoldsRegisters() bool {
	view := viewInForce(p.replica)
	epoch := register.MembershipOf(view).Epoch
	holders := 0
	for _, voter := range view.GetVoters() {
		if p.registerEpoch(voter.GetIdentity()) >= epoch {
			holders++
		}
	}
	return holders >= quorum.Majority(view)
}

// registerEpoch returns the newest epoch whose registers a machine is known to have on disk, according to its
// heartbeat, or for this machine according to its own disk; 0: no epoch is known.
func (p *viewPlanner) registerEpoch(identity string) uint64 {
	if identity == p.local.identity() {
		return p.coordination.durableEpoch
	}
	if found, known := p.peers.known[identity]; known {
		return found.heartbeat.GetRegisterEpoch()
	}
	return 0
}

// isOptimal reports, without computing the next view, whether the view in force cannot be improved: the chain has its
// maximum length, all voters are live, no voter is leaving or reports an unhealthy disk, and every live machine is a
// voter.
func (p *viewPlanner) isOptimal() bool {
	view := viewInForce(p.replica)
	if len(view.GetChain()) != min(len(view.GetVoters()), chain.MaxLength) {
		return false
	}
	for _, voter := range view.GetVoters() {
		identity := voter.GetIdentity()
		if !p.peers.isLive(identity) || p.isLeaving(identity) {
			return false
		}
		found, known := p.peers.known[identity]
		if known && !found.heartbeat.GetStorageHealthy() {
			return false
		}
	}
	return !p.hasNonVoter()
}

// hasNonVoter reports whether a live machine is not a voter.
func (p *viewPlanner) hasNonVoter() bool {
	for identity := range p.peers.known {
		if p.peers.isLive(identity) && quorum.IndexOf(viewInForce(p.replica).GetVoters(), identity) == quorum.NotFound {
			return true
		}
	}
	return false
}

// isLeaving reports whether a machine has announced its graceful shutdown.
func (p *viewPlanner) isLeaving(identity string) bool {
	if identity == p.local.identity() {
		return p.leaving.begun
	}
	found, known := p.peers.known[identity]
	return known && found.heartbeat.GetLeaving()
}

// hasLeftChain reports whether a machine is leaving and is not a member of the chain in force.
func (p *viewPlanner) hasLeftChain(identity string) bool {
	inChain := quorum.IndexOf(viewInForce(p.replica).GetChain(), identity) != quorum.NotFound
	return !inChain && p.isLeaving(identity)
}

// votingPeers describes the voters and all known machines, for the choice of the next voters.
func (p *viewPlanner) votingPeers() map[string]quorum.Peer {
	peers := make(map[string]quorum.Peer, len(p.peers.known)+1)
	for _, voter := range viewInForce(p.replica).GetVoters() {
		peers[voter.GetIdentity()] = p.votingPeer(voter)
	}
	for identity, found := range p.peers.known {
		described := p.votingPeer(found.replica)
		described.ContactDuration = p.clock.now - found.liveSince
		described.KnowsView = p.knowsView(found.heartbeat)
		peers[identity] = described
	}
	return peers
}

func (p *viewPlanner) votingPeer(replica *pb.Replica) quorum.Peer {
	identity := replica.GetIdentity()
	return quorum.Peer{
		Replica:      replica,
		SinceContact: p.sinceContact(identity),
		Live:         p.peers.isLive(identity),
		Leaving:      p.isLeaving(identity),
		Left:         p.hasLeftChain(identity),
	}
}

// sinceContact returns the time since the last message of a machine. If no message of the machine has arrived yet, the
// result is at most the time since the machine became a voter.
func (p *viewPlanner) sinceContact(identity string) time.Duration {
	silence := p.peers.sinceContact(identity)
	if _, known := p.peers.known[identity]; known {
		return silence
	}
	return min(silence, p.clock.now-p.votingSince[identity])
}

// enterView records the times since which the voters of a new view have been voters.
func (p *viewPlanner) enterView(before, view *pb.View) {
	if before == nil {
		return // the voters of the first view that this machine learns of were elected at an unknown time
	}
	votingSince := make(map[string]time.Duration, len(view.GetVoters()))
	for _, voter := range view.GetVoters() {
		identity := voter.GetIdentity()
		votingSince[identity] = p.clock.now
		if quorum.IndexOf(before.GetVoters(), identity) != quorum.NotFound {
			votingSince[identity] = p.votingSince[identity]
		}
	}
	p.votingSince = votingSince
}

// knowsView reports whether a heartbeat advertises the view in force, the view before it, or a later one.
func (p *viewPlanner) knowsView(heartbeat *pb.Heartbeat) bool {
	number := heartbeat.GetViewNumber()
	return number > 0 && number+1 >= viewInForce(p.replica).GetNumber()
}

// chainCandidates describes voters, for the choice of the chain members.
func (p *viewPlanner) chainCandidates(voters []*pb.Replica) map[string]chain.Candidate {
	candidates := make(map[string]chain.Candidate, len(voters))
	for _, voter := range voters {
		identity := voter.GetIdentity()
		if identity == p.local.identity() {
			candidates[identity] = p.localCandidate()
			continue
		}
		if found, known := p.peers.known[identity]; known {
			candidates[identity] = p.peerCandidate(identity, found)
			continue
		}
		reachable := p.peers.sinceContact(identity) <= FailureTimeout
		candidates[identity] = chain.Candidate{Healthy: reachable, Reachable: reachable}
	}
	return candidates
}

func (p *viewPlanner) localCandidate() chain.Candidate {
	advertised := p.replica.Advertised()
	return chain.Candidate{
		Healthy:      p.health.canServe(),
		Reachable:    true,
		Synchronized: advertised.Synchronized && advertised.ViewNumber == viewInForce(p.replica).GetNumber(),
		Stable:       p.clock.uptime() >= stableAfter && p.rejoin.mayRejoin(p.local.identity()),
		Leaving:      p.leaving.begun,
	}
}

func (p *viewPlanner) peerCandidate(identity string, found *peer) chain.Candidate {
	heartbeat := found.heartbeat
	return chain.Candidate{
		Healthy:      p.peers.isLive(identity) && heartbeat.GetStorageHealthy(),
		Reachable:    p.peers.isLive(identity),
		Synchronized: heartbeat.GetSynchronised() && heartbeat.GetViewNumber() == viewInForce(p.replica).GetNumber(),
		Stable:       p.clock.now-found.liveSince >= stableAfter && p.rejoin.mayRejoin(identity),
		Leaving:      heartbeat.GetLeaving(),
	}
}
