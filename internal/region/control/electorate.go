package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// electorate is the set of machines that decide on the next view: the voters of the view in force, or the seeds before
// the first view exists.
type electorate struct {
	local       *localMachine
	replica     *chain.Replica
	output      *stepOutput
	seeds       []string
	peerAddress func(controlAddress string) string
}

// decidingView returns the view whose voters decide on the next view.
func (e *electorate) decidingView() *pb.View {
	if view := viewInForce(e.replica); view != nil {
		return view
	}
	return quorum.BootstrapView(e.seeds)
}

// includesSelf reports whether this machine votes on the next view. Before the first view exists, a seed votes only if
// it was started with an empty disk and the bootstrap setting: a seed that has lost its disk may have voted before.
func (e *electorate) includesSelf() bool {
	if viewInForce(e.replica) == nil && !e.local.bootstrap {
		return false
	}
	return quorum.VoterIndex(e.decidingView(), e.local.replica) != quorum.NotFound
}

// sendToAll sends a message to all voters on the next view, this machine included.
func (e *electorate) sendToAll(message *pb.Message) {
	for _, voter := range e.decidingView().GetVoters() {
		e.sendTo(voter, message)
	}
}

// sendTo sends a message to one voter. Before the first view exists, the only known field of a voter is the address of
// its operator API.
func (e *electorate) sendTo(voter *pb.Replica, message *pb.Message) {
	switch {
	case e.local.is(voter):
		e.output.sendToSelf(message)
	case voter.GetIdentity() == "":
		e.output.sendTo(e.peerAddress(voter.GetControlAddress()), "", message)
	default:
		e.output.send(voter, message)
	}
}
