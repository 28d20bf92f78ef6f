package control

import (
	"slices"
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// Times of elections.
const (
	// startupListenWindow is how long after its start a machine proposes nothing: it may not have heard the others.
	startupListenWindow = 600 * time.Millisecond
	// proposerRankDelay is how much longer each voter waits than the one before it, once it sees a need.
	proposerRankDelay = 400 * time.Millisecond
	// proposalTimeout is how long one attempt may take.
	proposalTimeout = 750 * time.Millisecond
	// proposalBackoff is the shortest wait between two attempts; up to as much again is added at random.
	proposalBackoff = 200 * time.Millisecond
	// undecidedTimeout is how long an accepted value may stay undecided before another voter completes it.
	undecidedTimeout = 800 * time.Millisecond
)

// election is what a voter knows of attempts to change the view.
type election struct {
	attempt  *quorum.Proposer // nil when none is under way
	began    time.Duration    // of the attempt
	retryAt  time.Duration
	concern  time.Duration // since when a need is seen; 0: none is seen
	highest  *pb.Ballot    // seen so far
	accepted time.Duration // when this voter accepted a value last
	dropped  map[string]dropRecord
}

// base is the view whose voters decide on the next one.
func (m *Machine) base() *pb.View {
	if view := m.View(); view != nil {
		return view
	}
	return quorum.BootstrapView(m.config.Seeds)
}

// votes reports whether this machine is a voter on the next view.
func (m *Machine) votes() bool {
	if m.View() == nil && !m.bootstrap {
		return false
	}
	return quorum.VoterIndex(m.base(), m.self) != quorum.NotFound
}

func (m *Machine) tickElection() {
	if m.election.attempt != nil {
		m.tickAttempt()
		return
	}
	if m.isRestless() {
		m.beginAttempt()
		return
	}
	if !m.votes() || !m.seesNeed() {
		m.election.concern = 0
		return
	}
	if m.election.concern == 0 {
		m.election.concern = m.now
	}
	waited := m.now - m.election.concern
	if m.now < m.election.retryAt || waited < time.Duration(m.rank())*proposerRankDelay {
		return
	}
	m.beginAttempt()
}

func (m *Machine) isRestless() bool {
	return m.config.SpuriousProposals != nil && m.View() != nil && m.votes() && m.config.SpuriousProposals()
}

// rank is this machine's place among the live voters in the order in which they propose.
func (m *Machine) rank() int {
	rank := 0
	for _, voter := range m.proposers() {
		if m.isSelf(voter) {
			return rank
		}
		if m.isLiveVoter(voter) {
			rank++
		}
	}
	return rank
}

// proposers lists the voters in the order in which they propose: first the members of the chain that were told to
// end, which know best why another view is needed, then the other members, then the rest.
func (m *Machine) proposers() []*pb.Replica {
	base := m.base()
	var leavers, members, others []*pb.Replica
	for _, member := range base.GetChain() {
		if m.isLeaving(member.GetIdentity()) {
			leavers = append(leavers, member)
		} else {
			members = append(members, member)
		}
	}
	for _, voter := range base.GetVoters() {
		if quorum.IndexOf(base.GetChain(), voter.GetIdentity()) == quorum.NotFound {
			others = append(others, voter)
		}
	}
	return slices.Concat(leavers, members, others)
}

// isSelf also holds for this machine's entry among the seeds.
func (m *Machine) isSelf(voter *pb.Replica) bool {
	if voter.GetIdentity() == "" {
		return voter.GetControlAddress() == m.self.GetControlAddress()
	}
	return voter.GetIdentity() == m.self.GetIdentity()
}

func (m *Machine) isLiveVoter(voter *pb.Replica) bool {
	if voter.GetIdentity() == "" {
		return m.founderAt(voter.GetControlAddress()) != nil
	}
	return m.isLive(voter.GetIdentity())
}

func (m *Machine) beginAttempt() {
	if !m.diskAccepts() {
		return
	}
	highest := m.election.highest
	if quorum.CompareProposalNumbers(m.acceptor.Promised(), highest) > 0 {
		highest = m.acceptor.Promised()
	}
	name := m.self.GetHost() + "/" + m.self.GetIdentity() + "/" + strconv.FormatUint(m.incarnation, 36)
	attempt := quorum.NewProposer(m.base(), quorum.NextProposalNumber(highest, name))
	m.election.attempt = attempt
	m.election.began = m.now
	m.toVoters(&pb.Message{Body: &pb.Message_Prepare{Prepare: attempt.Prepare()}})
}

// toVoters sends to all voters on the next view, this machine included.
func (m *Machine) toVoters(message *pb.Message) {
	for _, voter := range m.base().GetVoters() {
		m.toVoter(voter, message)
	}
}

// toVoter sends to one voter, which before founding is known by its operator's address only.
func (m *Machine) toVoter(voter *pb.Replica, message *pb.Message) {
	switch {
	case m.isSelf(voter):
		message.From = m.self
		m.handle(message)
	case voter.GetIdentity() == "":
		m.sendTo(m.config.PeerAddress(voter.GetControlAddress()), "", message)
	default:
		m.send(voter, message)
	}
}

// tickAttempt asks the voters that have not answered again, for a while.
func (m *Machine) tickAttempt() {
	if m.now-m.election.began > proposalTimeout {
		m.abandon()
		return
	}
	attempt := m.election.attempt
	message := &pb.Message{Body: &pb.Message_Prepare{Prepare: attempt.Prepare()}}
	if attempt.Phase() == quorum.Accepting {
		message = &pb.Message{Body: &pb.Message_Accept{Accept: attempt.Accept()}}
	}
	for index, voter := range m.base().GetVoters() {
		if attempt.AwaitsVoter(index) && !m.isSelf(voter) && m.isLiveVoter(voter) {
			m.toVoter(voter, message)
		}
	}
}

func (m *Machine) abandon() {
	if m.election.attempt != nil {
		m.election.highest = m.election.attempt.HighestObserved()
	}
	m.election.attempt = nil
	m.election.retryAt = m.now + proposalBackoff + time.Duration(m.random.Int64N(int64(proposalBackoff)))
}
