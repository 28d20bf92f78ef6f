package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// electorate is who decides on the next view: the voters of the view in force, and before founding the seeds.
type electorate struct {
	local       *localMachine
	replica     *chain.Replica
	output      *stepOutput
	seeds       []string
	peerAddress func(controlAddress string) string
}

// decidingView is the view whose voters decide on the next one.
func (e *electorate) decidingView() *pb.View {
	if view := viewInForce(e.replica); view != nil {
		return view
	}
	return quorum.BootstrapView(e.seeds)
}

// includesSelf reports whether this machine votes on the next view. Before founding, a seed does only if it was started to
// bootstrap on an empty disk: one that has lost its disk may have voted before.
func (e *electorate) includesSelf() bool {
	if viewInForce(e.replica) == nil && !e.local.bootstrap {
		return false
	}
	return quorum.VoterIndex(e.decidingView(), e.local.replica) != quorum.NotFound
}

// sendToAll sends to all voters on the next view, this machine included.
func (e *electorate) sendToAll(message *pb.Message) {
	for _, voter := range e.decidingView().GetVoters() {
		e.sendTo(voter, message)
	}
}

// sendTo sends to one voter, which before founding is known by its operator's address only.
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
