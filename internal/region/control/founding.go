package control

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
)

// Timing of the bootstrap, from the start of a machine.
const (
	// founderGatherWindow is how long the seeds wait for heartbeats of machines that are not seeds, so that those
	// machines become voters of the first view.
	founderGatherWindow = 450 * time.Millisecond
	// partialFoundingDelay is the time after which a majority of the seeds proposes the first view without the other
	// seeds.
	partialFoundingDelay = 1500 * time.Millisecond
)

// founding is the bootstrap of the cluster: the seeds decide on view 1 as the voters of view 0, by the same protocol as
// for every later view. Only machines that were started with an empty disk and the bootstrap setting take part. A
// machine that loses its disk later must be started without that setting, or it could bootstrap a second cluster.
type founding struct {
	clock       *clock
	local       *localMachine
	peers       *peerTable
	electorate  *electorate
	seeds       []string
	requirement chain.Requirement
	random      *rand.Rand
}

// founders returns the live machines that start for the first time, including this machine, in the order of their
// hosts. If a host has two identities, the list contains the identity whose message is the latest.
func (f *founding) founders() []*pb.Replica {
	latest := make(map[string]*peer)
	for _, identity := range f.peers.identities() {
		found := f.peers.known[identity]
		if !f.peers.isLive(identity) || !found.heartbeat.GetBootstrap() {
			continue
		}
		host := found.replica.GetHost()
		if earlier := latest[host]; earlier == nil || found.lastContact > earlier.lastContact {
			latest[host] = found
		}
	}
	if f.local.bootstrap {
		latest[f.local.replica.GetHost()] = &peer{replica: f.local.replica}
	}
	var founders []*pb.Replica
	for _, host := range sortedKeys(latest) {
		founders = append(founders, latest[host].replica)
	}
	return founders
}

// founderAt returns the founder with the given operator API address; nil if there is none.
func (f *founding) founderAt(controlAddress string) *pb.Replica {
	for _, founder := range f.founders() {
		if founder.GetControlAddress() == controlAddress {
			return founder
		}
	}
	return nil
}

// isReady reports whether enough seeds are live to decide on the first view.
func (f *founding) isReady() bool {
	present := 0
	for _, seed := range f.seeds {
		if f.founderAt(seed) != nil {
			present++
		}
	}
	if present == len(f.seeds) {
		return f.clock.uptime() >= founderGatherWindow
	}
	return present >= quorum.Majority(f.electorate.decidingView()) && f.clock.uptime() >= partialFoundingDelay
}

// firstView returns the first view to propose. Its voters are all founders, the seeds first if there are more than
// quorum.MaxVoters. Each call draws a new cluster name, so that machines of clusters that were bootstrapped separately
// ignore each other's messages.
func (f *founding) firstView() *pb.View {
	voters := f.founders()
	slices.SortStableFunc(voters, func(a, b *pb.Replica) int {
		return cmp.Compare(f.seedPosition(a), f.seedPosition(b))
	})
	voters = voters[:min(len(voters), quorum.MaxVoters)]
	return &pb.View{
		Number:      1,
		Cluster:     strconv.FormatUint(f.random.Uint64(), 36),
		Voters:      voters,
		Chain:       chain.InitialChain(voters, f.requirement),
		VotersEpoch: 1,
	}
}

// seedPosition is the index of a machine in the list of seeds; machines that are not seeds come after all seeds.
func (f *founding) seedPosition(replica *pb.Replica) int {
	position := slices.Index(f.seeds, replica.GetControlAddress())
	if position < 0 {
		return len(f.seeds)
	}
	return position
}
