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

// Times of founding, after a machine's start.
const (
	// founderGatherWindow is the time for machines other than the seeds to be received from, so that they vote from the
	// start.
	founderGatherWindow = 450 * time.Millisecond
	// partialFoundingDelay is when a majority of the seeds founds without the others.
	partialFoundingDelay = 1500 * time.Millisecond
)

// founding is the bootstrap of the whole system: the seeds decide on view 1 as the voters of view 0, by the same
// protocol as on every later view. Only machines that were started to bootstrap on an empty disk take part; machines that
// lose their disks later must be started without that setting, or they could found the system a second time.
type founding struct {
	clock       *clock
	local       *localMachine
	peers       *peerTable
	electorate  *electorate
	seeds       []string
	requirement chain.Requirement
	random      *rand.Rand
}

// founders are the machines that start for the first time, with this one, in the order of their hosts. Of two
// identities on one host, the one received from last counts.
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

// founderAt returns the founder that serves an operator's address; nil if there is none.
func (f *founding) founderAt(controlAddress string) *pb.Replica {
	for _, founder := range f.founders() {
		if founder.GetControlAddress() == controlAddress {
			return founder
		}
	}
	return nil
}

// isReady reports whether enough seeds are there to found the system.
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

// firstView is the view to propose: all founders vote, seeds first if there are too many. Each call draws another name
// for the cluster, so that systems founded apart from each other do not mix.
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

// seedPosition is the position of a machine among the seeds; all others come after them.
func (f *founding) seedPosition(replica *pb.Replica) int {
	position := slices.Index(f.seeds, replica.GetControlAddress())
	if position < 0 {
		return len(f.seeds)
	}
	return position
}
