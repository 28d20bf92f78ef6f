package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/chain"
	"fieldrelay/internal/quorum"
)

// Times of founding, after a machine's start.
const (
	// founderGatherWindow is the time for machines other than the seeds to be heard, so that they vote from the start.
	founderGatherWindow = 450 * time.Millisecond
	// partialFoundingDelay is when a majority of the seeds founds without the others.
	partialFoundingDelay = 1500 * time.Millisecond
)

// founders are the machines that start for the first time, with this one, in the order of their hosts. Of two
// identities on one host, the one heard last counts.
func (m *Machine) founders() []*pb.Replica {
	latest := make(map[string]*peer)
	for _, identity := range sortedKeys(m.peers.known) {
		found := m.peers.known[identity]
		if !m.isLive(identity) || !found.heartbeat.GetBootstrap() {
			continue
		}
		host := found.replica.GetHost()
		if earlier := latest[host]; earlier == nil || found.lastContact > earlier.lastContact {
			latest[host] = found
		}
	}
	if m.bootstrap {
		latest[m.self.GetHost()] = &peer{replica: m.self}
	}
	var founders []*pb.Replica
	for _, host := range sortedKeys(latest) {
		founders = append(founders, latest[host].replica)
	}
	return founders
}

// founderAt returns the founder that serves an operator's address; nil if none was heard.
func (m *Machine) founderAt(controlAddress string) *pb.Replica {
	for _, founder := range m.founders() {
		if founder.GetControlAddress() == controlAddress {
			return founder
		}
	}
	return nil
}

// seesFounders reports whether enough seeds were heard to found the system.
func (m *Machine) seesFounders() bool {
	heard := 0
	for _, seed := range m.config.Seeds {
		if m.founderAt(seed) != nil {
			heard++
		}
	}
	age := m.now - m.started
	if heard == len(m.config.Seeds) {
		return age >= founderGatherWindow
	}
	return heard >= quorum.Majority(m.base()) && age >= partialFoundingDelay
}

// foundingView is the first view: all founders vote, seeds first if there are too many.
func (m *Machine) foundingView() *pb.View {
	voters := m.founders()
	slices.SortStableFunc(voters, func(a, b *pb.Replica) int {
		return cmp.Compare(m.seedOrder(a), m.seedOrder(b))
	})
	voters = voters[:min(len(voters), quorum.MaxVoters)]
	return &pb.View{
		Number:  1,
		Cluster: strconv.FormatUint(m.random.Uint64(), 36),
		Voters:  voters,
		Chain:   chain.InitialChain(voters, m.config.Requirement),
	}
}

// seedOrder is the place of a machine among the seeds; all others come after them.
func (m *Machine) seedOrder(replica *pb.Replica) int {
	place := slices.Index(m.config.Seeds, replica.GetControlAddress())
	if place < 0 {
		return len(m.config.Seeds)
	}
	return place
}
