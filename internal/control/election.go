package control

import (
	"slices"
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/quorum"
)

// Times of elections.
const (
	// listenFirst is how long after its start a machine proposes nothing: it may not have heard the others.
	listenFirst = 600 * time.Millisecond
	// rankDelay is how much longer each voter waits than the one before it, once it sees a need.
	rankDelay = 400 * time.Millisecond
	// attemptLimit is how long one attempt may take.
	attemptLimit = 750 * time.Millisecond
	// retryPause is the shortest wait between two attempts; up to as much again is added at random.
	retryPause = 200 * time.Millisecond
	// leftoverAfter is how long an accepted value may stay undecided before another voter completes it.
	leftoverAfter = 800 * time.Millisecond
	// returnPause is how long a machine that was dropped from the chain stays outside; it doubles with each
	// time up to maxReturnPause, and starts anew after a calm time of calmReturn.
	returnPause    = time.Second
	maxReturnPause = 16 * time.Second
	calmReturn     = time.Minute
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

// dropRecord tells how often and when a machine was dropped from the chain.
type dropRecord struct {
	count int
	at    time.Duration
}

// base is the view whose voters decide on the next one.
func (m *Machine) base() *pb.View {
	if view := m.View(); view != nil {
		return view
	}
	return quorum.Unfounded(m.config.Seeds)
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
	if m.now < m.election.retryAt || waited < time.Duration(m.rank())*rankDelay {
		return
	}
	m.beginAttempt()
}

func (m *Machine) isRestless() bool {
	return m.config.Restless != nil && m.View() != nil && m.votes() && m.config.Restless()
}

// seesNeed reports whether this machine should have another view decided.
func (m *Machine) seesNeed() bool {
	if m.View() == nil {
		return m.seesFounders()
	}
	if !m.isFit() || !m.hearsMajority() || m.now-m.started < listenFirst {
		return false
	}
	if m.acceptor.HasAccepted() && m.now-m.election.accepted > leftoverAfter {
		return true
	}
	if m.isComplete() {
		return false
	}
	wanted, change := m.wantedView()
	if wanted == nil {
		return false
	}
	inChain := quorum.IndexOf(m.View().GetChain(), m.self.GetIdentity()) != quorum.NotFound
	return change.Removal || (inChain && change.any())
}

// isComplete reports, at little cost, whether the view cannot be bettered: the chain is as long as it may be,
// all its members are fit, all voters are live and nobody waits to join.
func (m *Machine) isComplete() bool {
	view := m.View()
	if len(view.GetChain()) != min(len(view.GetVoters()), chain.MaxLength) {
		return false
	}
	for _, voter := range view.GetVoters() {
		identity := voter.GetIdentity()
		if !m.isLive(identity) {
			return false
		}
		found, known := m.peers.known[identity]
		if known && !found.heartbeat.GetStorageHealthy() {
			return false
		}
	}
	return !m.hasJoiner()
}

// hasJoiner reports whether a live machine does not vote.
func (m *Machine) hasJoiner() bool {
	for identity := range m.peers.known {
		if m.isLive(identity) && quorum.IndexOf(m.View().GetVoters(), identity) == quorum.NotFound {
			return true
		}
	}
	return false
}

// need tells how a wanted view differs from the one in force.
type need struct {
	chain.Change
	Voters bool // other voters
}

func (n need) any() bool { return n.Removal || n.Addition || n.Voters }

// wantedView returns the view that should follow as this machine sees it; nil when there can be none.
func (m *Machine) wantedView() (*pb.View, need) {
	view := m.View()
	voters, changed := quorum.NextVoters(view, m.electorate())
	members, change := chain.Next(view, voters, m.candidates(voters), m.config.Requirement)
	if members == nil {
		return nil, need{}
	}
	wanted := &pb.View{
		Number:  view.GetNumber() + 1,
		Cluster: view.GetCluster(),
		Voters:  voters,
		Chain:   members,
	}
	return wanted, need{Change: change, Voters: changed}
}

// rank is this machine's place among the live voters, those in the chain first.
func (m *Machine) rank() int {
	base := m.base()
	rank := 0
	for _, voter := range slices.Concat(base.GetChain(), base.GetVoters()) {
		if m.isSelf(voter) {
			return rank
		}
		if m.isLiveVoter(voter) {
			rank++
		}
	}
	return rank
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

// mayReturn reports whether a machine that was dropped from the chain has been outside for long enough.
func (m *Machine) mayReturn(identity string) bool {
	record, known := m.election.dropped[identity]
	if !known {
		return true
	}
	pause := min(returnPause<<min(record.count-1, 10), maxReturnPause)
	return m.now-record.at >= pause
}

// noteDropped remembers which machines a new view has left out of the chain.
func (m *Machine) noteDropped(before, after *pb.View) {
	for identity, record := range m.election.dropped {
		if m.now-record.at > calmReturn {
			delete(m.election.dropped, identity)
		}
	}
	for _, member := range before.GetChain() {
		identity := member.GetIdentity()
		if quorum.IndexOf(after.GetChain(), identity) != quorum.NotFound {
			continue
		}
		m.election.dropped[identity] = dropRecord{count: m.election.dropped[identity].count + 1, at: m.now}
	}
}

func (m *Machine) beginAttempt() {
	if !m.diskAccepts() {
		return
	}
	highest := m.election.highest
	if quorum.Compare(m.acceptor.Promised(), highest) > 0 {
		highest = m.acceptor.Promised()
	}
	name := m.self.GetHost() + "/" + m.self.GetIdentity() + "/" + strconv.FormatUint(m.incarnation, 36)
	attempt := quorum.NewProposer(m.base(), quorum.NextBallot(highest, name))
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
	if m.now-m.election.began > attemptLimit {
		m.abandon()
		return
	}
	attempt := m.election.attempt
	message := &pb.Message{Body: &pb.Message_Prepare{Prepare: attempt.Prepare()}}
	if attempt.Phase() == quorum.Accepting {
		message = &pb.Message{Body: &pb.Message_Accept{Accept: attempt.Accept()}}
	}
	for index, voter := range m.base().GetVoters() {
		if attempt.Awaits(index) && !m.isSelf(voter) && m.isLiveVoter(voter) {
			m.toVoter(voter, message)
		}
	}
}

func (m *Machine) abandon() {
	if m.election.attempt != nil {
		m.election.highest = m.election.attempt.Highest()
	}
	m.election.attempt = nil
	m.election.retryAt = m.now + retryPause + time.Duration(m.random.Int64N(int64(retryPause)))
}
