package controlserver

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/coordinationapi"
	"fieldrelay/internal/region/operatorapi"
	"fieldrelay/internal/region/quorum"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/settings"
)

// pollTimeout is the maximum duration of one poll of the platform's server list, for all pages together.
const pollTimeout = registry.PollTimeout

// process is one control process without its sockets.
//
// The fields wasOwner, wasAuthoritative and lastAuthorityGap are confined to the goroutine of runLoop. Polls run in
// goroutines of the group polls, for which shutDown waits. All else is safe for concurrent use once attach has
// returned.
type process struct {
	options          Options
	logger           *zap.Logger
	settings         *settingsWatcher
	node             Node // nil until attach is called
	soft             *softState
	platform         *platformClient
	operatorCounters operatorapi.Counters
	callCounters     coordinationapi.Counters
	watchCounters    watchCounters
	rotation         atomic.Uint64                  // rotation of the endpoints in the next response of the directory
	homeIndex        atomic.Pointer[homeIndexCache] // nil until the first lookup
	shuttingDown     chan struct{}                  // closed when the shutdown begins
	started          time.Time

	polls          sync.WaitGroup
	pollContext    context.Context // context of all polls; canceled by stopPolls
	stopPolls      context.CancelFunc
	pollsSucceeded atomic.Int64
	pollsFailed    atomic.Int64

	wasOwner         bool
	wasAuthoritative bool
	lastAuthorityGap control.AuthorityGap
}

// newProcess returns a process with empty state. seed determines the epochs, the random delays and the first version of
// the members; it must be different at each start.
func newProcess(watcher *settingsWatcher, logger *zap.Logger, seed uint64) *process {
	initial := watcher.Current()
	random := rand.New(rand.NewPCG(seed, 0))
	p := &process{
		logger:       logger,
		settings:     watcher,
		platform:     newPlatformClient(),
		shuttingDown: make(chan struct{}),
		started:      time.Now(),
	}
	p.pollContext, p.stopPolls = context.WithCancel(context.Background())
	agents := registry.NewAgents(random.Uint64N(1 << 62))
	inventory := registry.NewServerInventory(initial.Hostname, initial.CloudAPI.Rate, random)
	p.soft = newSoftState(p.now, agents, inventory, p.execute)
	return p
}

// now returns the time since the start by the monotonic clock.
func (p *process) now() time.Duration { return time.Since(p.started) }

// attach sets the node. It must be called before all other methods, except for the callbacks with which the node is
// started, which do not use the node.
func (p *process) attach(node Node) { p.node = node }

// execute executes an action of the soft state.
func (p *process) execute(action registry.Action) {
	switch action := action.(type) {
	case registry.StartPoll:
		p.polls.Go(p.poll)
	case registry.SendList:
		p.node.BroadcastServerList(action.List)
	default:
		p.logLagAction(action)
	}
}

// poll reads the platform's server list once and passes the result to the soft state.
func (p *process) poll() {
	ctx, cancel := context.WithTimeout(p.pollContext, pollTimeout)
	defer cancel()
	sentAt := p.now()
	servers, pages, err := p.platform.Read(ctx, p.settings.Current().CloudAPI.Address)
	if err != nil {
		p.pollsFailed.Add(1)
	} else {
		p.pollsSucceeded.Add(1)
	}
	p.soft.PollDone(registry.PollDone{SentAt: sentAt, Pages: pages, Servers: servers, Failed: err != nil})
}

// tick advances the soft state with the node's present status. Without a view or an address of the platform, this
// machine is not a candidate for the polling role, and LiveHosts stays empty.
func (p *process) tick() {
	status := p.node.Status()
	var tick registry.Tick
	if status.Founded && p.settings.Current().CloudAPI.Address != "" {
		tick.LiveHosts = status.Live
		tick.Position = successionPosition(status)
		tick.Partitioned = len(status.Live) < quorum.Majority(status.View)
	}
	p.soft.ObserveCommitted(status.Committed)
	p.soft.SetLagBounds(lagBounds(p.settings.Current().Bounds), status.Authoritative)
	p.soft.Tick(tick)
	p.logRoleChanges(status)
}

// successionPosition returns the position of this machine among the voters, which determines the order of takeovers of
// the polling role. A machine that does not vote comes last.
func successionPosition(status control.Status) int {
	voters := status.View.GetVoters()
	position := slices.IndexFunc(voters, func(voter *pb.Replica) bool {
		return voter.GetIdentity() == status.Self.GetIdentity()
	})
	if position < 0 {
		return len(voters)
	}
	return position
}

// settingsChanged applies new settings to the components that do not read the settings at each use.
func (p *process) settingsChanged(ctx context.Context, current *settings.Settings) {
	p.soft.SetRate(current.CloudAPI.Rate)
	p.node.SetSeeds(ctx, current.Seeds)
}

// heartbeatReceived is the node's callback for heartbeats from other control machines.
func (p *process) heartbeatReceived(_ *pb.Replica, heartbeat *pb.Heartbeat) {
	p.soft.Heartbeat(heartbeat)
}

// serverListReceived is the node's callback for server lists from other control machines.
func (p *process) serverListReceived(list *pb.ServerList) { p.soft.ServerList(list) }
