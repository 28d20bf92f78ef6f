package quorum

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
)

func replica(name string) *pb.Replica {
	return &pb.Replica{Host: "host-" + name, Identity: name, ControlAddress: name + ":8146"}
}

func viewOf(number uint64, names ...string) *pb.View {
	view := &pb.View{Number: number, Cluster: "c"}
	for _, name := range names {
		view.Voters = append(view.Voters, replica(name))
	}
	return view
}

// paxos is a set of voters and proposers whose messages may be reordered, lost or duplicated.
type paxos struct {
	base      *pb.View
	acceptors []*Acceptor
	records   []*pb.Promise // what each acceptor has on disk
	proposers []*Proposer
	inFlight  []func()        // deliveries of messages
	decided   map[string]bool // by serialized value
	restarts  int
}

func newPaxos(voters int) *paxos {
	p := &paxos{base: viewOf(4), decided: make(map[string]bool)}
	for index := range voters {
		p.base.Voters = append(p.base.Voters, replica(strconv.Itoa(index)))
		p.acceptors = append(p.acceptors, NewAcceptor(5))
		p.records = append(p.records, NewAcceptor(5).Record())
	}
	return p
}

func (p *paxos) propose() {
	var highest *pb.Ballot
	for _, earlier := range p.proposers {
		if CompareProposalNumbers(earlier.HighestObserved(), highest) > 0 {
			highest = earlier.HighestObserved()
		}
	}
	if len(p.proposers)%2 == 1 {
		highest = nil // this proposer has observed no number
	}
	number := len(p.proposers)
	proposer := NewProposer(p.base, NextProposalNumber(highest, fmt.Sprintf("proposer-%d", number)))
	p.proposers = append(p.proposers, proposer)
	for voter := range p.acceptors {
		p.inFlight = append(p.inFlight, func() { p.prepare(voter, proposer, number) })
	}
}

func (p *paxos) prepare(voter int, proposer *Proposer, number int) {
	promise := p.acceptors[voter].Prepare(proposer.Prepare())
	p.records[voter] = p.acceptors[voter].Record()
	p.inFlight = append(p.inFlight, func() {
		if !proposer.Promised(p.base.GetVoters()[voter], promise) {
			return
		}
		wanted := viewOf(5, strconv.Itoa(number))
		proposer.Choose(wanted)
		accept := proposer.Accept()
		for voter := range p.acceptors {
			p.inFlight = append(p.inFlight, func() { p.accept(voter, proposer, accept) })
		}
	})
}

func (p *paxos) accept(voter int, proposer *Proposer, accept *pb.Accept) {
	accepted := p.acceptors[voter].Accept(accept)
	p.records[voter] = p.acceptors[voter].Record()
	p.inFlight = append(p.inFlight, func() {
		if proposer.Accepted(p.base.GetVoters()[voter], accepted) {
			data, _ := proto.Marshal(proposer.Value())
			p.decided[string(data)] = true
		}
	})
}

// step starts a proposal, restarts an acceptor or delivers a message, at random.
func (p *paxos) step(t *rapid.T) {
	draw := rapid.IntRange(0, 19).Draw(t, "action")
	if draw == 0 && len(p.proposers) < 6 {
		p.propose()
		return
	}
	if draw == 1 {
		voter := rapid.IntRange(0, len(p.acceptors)-1).Draw(t, "restarted")
		p.acceptors[voter] = RestoreAcceptor(p.records[voter])
		p.restarts++
		return
	}
	if len(p.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "message")
	deliver := p.inFlight[index]
	if draw != 2 { // otherwise the message is duplicated
		p.inFlight = append(p.inFlight[:index], p.inFlight[index+1:]...)
	}
	if draw != 3 { // otherwise the message is lost
		deliver()
	}
}

func TestAtMostOneValueIsDecided(t *testing.T) {
	decisions := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newPaxos(rapid.IntRange(1, 5).Draw(t, "voters"))
		p.propose()
		p.propose()
		for range 150 {
			p.step(t)
		}
		require.LessOrEqual(t, len(p.decided), 1)
		decisions += len(p.decided)
	})
	require.Positive(t, decisions)
}

func TestUndisturbedProposerDecidesItsValue(t *testing.T) {
	p := newPaxos(3)
	p.propose()
	for len(p.inFlight) > 0 {
		deliver := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		deliver()
	}
	require.Len(t, p.decided, 1)
	require.Equal(t, Decided, p.proposers[0].Phase())
	require.Equal(t, "0", p.proposers[0].Value().GetVoters()[0].GetIdentity())
}

func TestProposerCountsEachVoterOnceAndIgnoresNonVoters(t *testing.T) {
	base := viewOf(2, "a", "b", "c")
	proposer := NewProposer(base, NextProposalNumber(nil, "p"))
	promise := &pb.Promise{ViewNumber: 3, Ballot: proposer.number, Promised: proposer.number, Granted: true}
	require.False(t, proposer.Promised(replica("a"), promise))
	require.False(t, proposer.Promised(replica("a"), promise))
	require.False(t, proposer.Promised(replica("stranger"), promise))
	other := &pb.Promise{ViewNumber: 4, Ballot: proposer.number, Granted: true}
	require.False(t, proposer.Promised(replica("c"), other), "promise for another view")
	require.True(t, proposer.Promised(replica("b"), promise))
}

func TestRejectionWithHigherNumberSupersedesTheProposal(t *testing.T) {
	proposer := NewProposer(viewOf(2, "a", "b", "c"), NextProposalNumber(nil, "p"))
	higher := &pb.Ballot{Round: 9, Proposer: "q"}
	proposer.Promised(replica("a"), &pb.Promise{ViewNumber: 3, Ballot: proposer.number, Promised: higher})
	require.Equal(t, Superseded, proposer.Phase())
	require.Positive(t, CompareProposalNumbers(NextProposalNumber(proposer.HighestObserved(), "p"), higher))
}

func TestRejectionWithoutHigherNumberIsIgnored(t *testing.T) {
	proposer := NewProposer(viewOf(2, "a"), NextProposalNumber(nil, "p"))
	require.False(t, proposer.Promised(replica("a"), &pb.Promise{ViewNumber: 3, Ballot: proposer.number}))
	require.Equal(t, Preparing, proposer.Phase())
}

func TestVotersOfBootstrapViewAreIdentifiedByAddress(t *testing.T) {
	view := BootstrapView([]string{"a:8146", "b:8146", "c:8146"})
	require.Equal(t, 1, VoterIndex(view, replica("b")))
	require.Equal(t, NotFound, VoterIndex(view, replica("d")))
	require.Equal(t, 2, Majority(view))
	decided := viewOf(1, "a", "b")
	wiped := &pb.Replica{Identity: "other", ControlAddress: "b:8146"}
	require.Equal(t, NotFound, VoterIndex(decided, wiped), "a machine that lost its disk has another identity")
}
