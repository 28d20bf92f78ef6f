package control

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// Times of proposals.
const (
	// startupListenWindow is how long after its start a machine proposes nothing: it may not have received from the
	// others yet.
	startupListenWindow = 600 * time.Millisecond
	// proposerRankDelay is how much longer each voter waits than the one before it, once it wants a view change.
	proposerRankDelay = 400 * time.Millisecond
	// proposalTimeout is how long one proposal may take.
	proposalTimeout = 750 * time.Millisecond
	// proposalBackoff is the shortest wait between two proposals; up to as much again is added at random.
	proposalBackoff = 200 * time.Millisecond
	// undecidedTimeout is how long an accepted proposal may stay undecided before another voter completes it.
	undecidedTimeout = 800 * time.Millisecond
)

// proposer is this machine as a proposer of Paxos for the view that follows the one in force.
//
// Any voter may propose at any time without harm. So that proposals seldom compete, the voters take turns: each waits
// by its rank among the live ones, and after a proposal that failed for a random backoff.
type proposer struct {
	clock      *clock
	local      *localMachine
	replica    *chain.Replica
	peers      *peerTable
	health     *localHealth
	planner    *viewPlanner
	founding   *founding
	electorate *electorate
	voter      *voter
	disk       *diskQueue
	random     *rand.Rand
	// spurious reports whether to propose now without need; nil: never. See Config.SpuriousProposals.
	spurious func() bool

	proposal    *quorum.Proposer // nil when none is in flight
	begunAt     time.Duration    // of the proposal
	retryAt     time.Duration
	wantedSince time.Duration // since when a view change is wanted; 0: none is
	highest     *pb.Ballot    // highest proposal number observed, of this view
}

// enterView drops what was of the proposals for a view that is decided now.
func (p *proposer) enterView() {
	p.proposal = nil
	p.wantedSince = 0
	p.highest = nil
}

// observeStall starts the wait by rank anew: what seemed wanted rested on the silence of a stall.
func (p *proposer) observeStall() { p.wantedSince = 0 }

// tick begins a proposal when it is this machine's turn, or goes on with the one in flight.
func (p *proposer) tick() {
	if p.proposal != nil {
		p.resend()
		return
	}
	if p.isSpurious() {
		p.begin()
		return
	}
	if !p.electorate.includesSelf() || !p.wantsChange() {
		p.wantedSince = 0
		return
	}
	if p.wantedSince == 0 {
		p.wantedSince = p.clock.now
	}
	waited := p.clock.now - p.wantedSince
	if p.clock.now < p.retryAt || waited < time.Duration(p.rank())*proposerRankDelay {
		return
	}
	p.begin()
}

func (p *proposer) isSpurious() bool {
	return p.spurious != nil && viewInForce(p.replica) != nil && p.electorate.includesSelf() && p.spurious()
}

// wantsChange reports whether this machine should have another view decided. Only members of the chain better a chain
// that works; the others act when a member must be removed.
func (p *proposer) wantsChange() bool {
	view := viewInForce(p.replica)
	if view == nil {
		return p.founding.isReady()
	}
	if !p.health.isHealthy() || !p.peers.hasMajority(view) || p.clock.uptime() < startupListenWindow {
		return false
	}
	if p.voter.hasUndecided() {
		return true
	}
	if p.planner.isOptimal() {
		return false
	}
	wanted, change := p.planner.wantedView()
	if wanted == nil {
		return false
	}
	inChain := quorum.IndexOf(view.GetChain(), p.local.identity()) != quorum.NotFound
	return change.Removal || (inChain && change.any())
}

// rank is this machine's position among the live voters in the order in which they propose.
func (p *proposer) rank() int {
	rank := 0
	for _, voter := range p.order() {
		if p.local.is(voter) {
			return rank
		}
		if p.isLive(voter) {
			rank++
		}
	}
	return rank
}

// order lists the voters in the order in which they propose: first the members of the chain that are leaving, which know
// best why another view is wanted, then the other members, then the rest.
func (p *proposer) order() []*pb.Replica {
	base := p.electorate.decidingView()
	var leaving, members, others []*pb.Replica
	for _, member := range base.GetChain() {
		if p.planner.isLeaving(member.GetIdentity()) {
			leaving = append(leaving, member)
		} else {
			members = append(members, member)
		}
	}
	for _, voter := range base.GetVoters() {
		if quorum.IndexOf(base.GetChain(), voter.GetIdentity()) == quorum.NotFound {
			others = append(others, voter)
		}
	}
	return slices.Concat(leaving, members, others)
}

func (p *proposer) isLive(voter *pb.Replica) bool {
	if voter.GetIdentity() == "" {
		return p.founding.founderAt(voter.GetControlAddress()) != nil
	}
	return p.peers.isLive(voter.GetIdentity())
}

// begin sends the first step. The name in the proposal number differs between machines and between runs of a process, so
// that no number is used twice, although numbers are not kept on disk.
func (p *proposer) begin() {
	if !p.disk.accepts() {
		return
	}
	highest := p.highest
	if quorum.CompareProposalNumbers(p.voter.acceptor.Promised(), highest) > 0 {
		highest = p.voter.acceptor.Promised()
	}
	name := p.local.replica.GetHost() + "/" + p.local.identity() + "/" + strconv.FormatUint(p.local.incarnation, 36)
	proposal := quorum.NewProposer(p.electorate.decidingView(), quorum.NextProposalNumber(highest, name))
	p.proposal = proposal
	p.begunAt = p.clock.now
	p.electorate.sendToAll(&pb.Message{Body: &pb.Message_Prepare{Prepare: proposal.Prepare()}})
}

// resend asks the live voters that have not answered again, until the proposal times out.
func (p *proposer) resend() {
	if p.clock.now-p.begunAt > proposalTimeout {
		p.abandon()
		return
	}
	message := &pb.Message{Body: &pb.Message_Prepare{Prepare: p.proposal.Prepare()}}
	if p.proposal.Phase() == quorum.Accepting {
		message = &pb.Message{Body: &pb.Message_Accept{Accept: p.proposal.Accept()}}
	}
	for index, voter := range p.electorate.decidingView().GetVoters() {
		if p.proposal.AwaitsVoter(index) && !p.local.is(voter) && p.isLive(voter) {
			p.electorate.sendTo(voter, message)
		}
	}
}

// receivePromise takes a voter's answer to Prepare. With a majority of promises, the second step begins: with the
// proposal that some voter has accepted earlier, which may be decided, else with the view that this machine wants.
func (p *proposer) receivePromise(from *pb.Replica, promise *pb.Promise) {
	proposal := p.proposal
	if proposal == nil {
		return
	}
	majority := proposal.Promised(from, promise)
	if proposal.Phase() == quorum.Superseded {
		p.abandon()
		return
	}
	if !majority {
		return
	}
	wanted := p.chooseView()
	if wanted == nil && proposal.AcceptedEarlier() == nil {
		p.abandon()
		return
	}
	proposal.Choose(wanted)
	p.electorate.sendToAll(&pb.Message{Body: &pb.Message_Accept{Accept: proposal.Accept()}})
}

// chooseView is the view to propose if the voters leave the choice to this machine; nil if no change is wanted any more.
func (p *proposer) chooseView() *pb.View {
	if viewInForce(p.replica) == nil {
		return p.founding.firstView()
	}
	wanted, change := p.planner.wantedView()
	if !change.any() && p.spurious == nil {
		return nil
	}
	return wanted
}

// receiveAccepted takes a voter's answer to Accept. It returns the view once this answer has decided it, else nil.
func (p *proposer) receiveAccepted(from *pb.Replica, accepted *pb.Accepted) *pb.View {
	proposal := p.proposal
	if proposal == nil {
		return nil
	}
	decided := proposal.Accepted(from, accepted)
	if proposal.Phase() == quorum.Superseded {
		p.abandon()
		return nil
	}
	if !decided {
		return nil
	}
	return proposal.Value()
}

// abandon gives the proposal up, and draws how long this machine waits before its next one.
func (p *proposer) abandon() {
	if p.proposal != nil {
		p.highest = p.proposal.HighestObserved()
	}
	p.proposal = nil
	p.retryAt = p.clock.now + proposalBackoff + time.Duration(p.random.Int64N(int64(proposalBackoff)))
}
