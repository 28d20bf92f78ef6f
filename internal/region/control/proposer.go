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

// Timing of proposals.
const (
	// startupListenWindow is the time after its start in which a machine proposes nothing, because it may not have
	// received heartbeats of other machines yet.
	startupListenWindow = 600 * time.Millisecond
	// proposerRankDelay is the additional delay of each voter, in the proposing order, before it proposes a view change
	// that it wants.
	proposerRankDelay = 400 * time.Millisecond
	// proposalTimeout is the time after which an undecided proposal is abandoned.
	proposalTimeout = 750 * time.Millisecond
	// proposalBackoff is the minimum delay between two proposals of a machine; a random delay of up to the same length
	// is added.
	proposalBackoff = 200 * time.Millisecond
	// undecidedTimeout is the time after which a voter other than the proposer completes an accepted proposal that is
	// still undecided.
	undecidedTimeout = 800 * time.Millisecond
)

// proposer is the Paxos proposer of this machine, for the view that follows the view in force.
//
// Safety does not depend on who proposes when. To avoid competing proposals, each voter delays its proposal by its rank
// among the live voters, and by a random backoff after a proposal that failed.
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
	// spurious reports whether to propose now although no change is needed; nil: never. See Config.SpuriousProposals.
	spurious func() bool

	proposal    *quorum.Proposer // proposal in flight; nil if there is none
	begunAt     time.Duration    // start of the proposal in flight
	retryAt     time.Duration
	wantedSince time.Duration // time since which a view change has been wanted; 0: none is wanted
	highest     *pb.Ballot    // highest proposal number observed for the next view
}

// enterView discards the state of proposals for the view that has just been decided.
func (p *proposer) enterView() {
	p.proposal = nil
	p.wantedSince = 0
	p.highest = nil
}

// observeStall restarts the delay by rank after a stall of this process: the peers that appeared to have failed, and so
// made a change wanted, may have been live.
func (p *proposer) observeStall() { p.wantedSince = 0 }

// tick begins a proposal when it is this machine's turn, or resends the messages of the proposal in flight.
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

// wantsChange reports whether this machine should propose a view. Any voter proposes the removal of a member of the
// chain; other improvements of a chain that works are proposed by its members only.
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

// rank is the number of live voters that come before this machine in the proposing order.
func (p *proposer) rank() int {
	rank := 0
	for _, voter := range p.proposingOrder() {
		if p.local.is(voter) {
			return rank
		}
		if p.isLive(voter) {
			rank++
		}
	}
	return rank
}

// proposingOrder lists the voters in the order in which they propose: first the members of the chain that are leaving,
// since their shutdown is the reason for a change, then the other members, then the other voters.
func (p *proposer) proposingOrder() []*pb.Replica {
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

// begin sends Prepare with a new proposal number. The proposer's name in that number contains the host, the identity
// and the incarnation, and therefore differs between machines and between runs of a process. So no number is used
// twice, although proposers keep no numbers on disk.
func (p *proposer) begin() {
	if !p.disk.acceptsPromises() {
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

// resend sends the message of the current phase again to the live voters that have not answered it, and abandons the
// proposal after proposalTimeout.
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

// receivePromise handles a voter's answer to Prepare. Once a majority has promised, it sends Accept. If a voter of that
// majority has accepted an earlier proposal, Accept carries the view of that proposal, since the view may have been
// decided; otherwise it carries the view that this machine wants.
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

// chooseView returns the view to propose when no voter has accepted a proposal earlier; nil if no change is wanted any
// more.
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

// receiveAccepted handles a voter's answer to Accept. It returns the proposed view if this answer has
// decided the view, otherwise nil.
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

// abandon gives up the proposal in flight, and sets a random backoff before the next proposal.
func (p *proposer) abandon() {
	if p.proposal != nil {
		p.highest = p.proposal.HighestObserved()
	}
	p.proposal = nil
	p.retryAt = p.clock.now + proposalBackoff + time.Duration(p.random.Int64N(int64(proposalBackoff)))
}
