package control

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/quorum"
)

// seesNeed reports whether this machine should have another view decided.
func (m *Machine) seesNeed() bool {
	if m.View() == nil {
		return m.seesFounders()
	}
	if !m.isWell() || !m.hearsMajority() || m.now-m.started < startupListenWindow {
		return false
	}
	if m.acceptor.HasAccepted() && m.now-m.election.accepted > undecidedTimeout {
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
		if !m.isLive(identity) || m.isLeaving(identity) {
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
	members, change := chain.NextChain(view, voters, m.candidates(voters), m.config.Requirement)
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
