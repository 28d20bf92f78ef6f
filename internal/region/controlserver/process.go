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

// pollTimeout bounds one poll of the platform's server list, all pages together.
const pollTimeout = registry.PollTimeout

// process is one control process without its sockets.
//
// The goroutine of runLoop owns wasOwner, wasAuthoritative and lastAuthorityGap. Polls run in goroutines of the group polls, which
// shutDown waits for. Everything else is safe for concurrent use once attach has returned.
type process struct {
	options          Options
	logger           *zap.Logger
	settings         *settingsWatcher
	node             Node // set by attach
	soft             *softState
	platform         *platformClient
	operatorCounters operatorapi.Counters
	callCounters     coordinationapi.Counters
	watchCounters    watchCounters
	rotation         atomic.Uint64                  // of the endpoints in answers of the directory
	homeIndex        atomic.Pointer[homeIndexCache] // nil until the first lookup
	shuttingDown     chan struct{}                  // closed when the shutdown begins
	started          time.Time

	polls          sync.WaitGroup
	pollContext    context.Context // of all polls; canceled by stopPolls
	stopPolls      context.CancelFunc
	pollsSucceeded atomic.Int64
	pollsFailed    atomic.Int64

	wasOwner         bool
	wasAuthoritative bool
	lastAuthorityGap control.AuthorityGap
}

// newProcess returns a process with empty state. seed determines its epochs, its random waits and the first version of
// its members; it must differ from start to start.
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

// now returns the monotonic time since the start.
func (p *process) now() time.Duration { return time.Since(p.started) }

// attach sets the node. It must precede every other call but the node's own: the node is started with callbacks of the
// process, which do not use it.
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

// tick advances the soft state by the node's present status. Without a view or an address of the platform this machine
// is no candidate for the polling role: LiveHosts stays empty.
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

// successionPosition returns the position of this machine among the voters, by which it takes the polling role over;
// a machine that does not vote comes last.
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

// settingsChanged applies new settings to what does not read them on each use.
func (p *process) settingsChanged(ctx context.Context, current *settings.Settings) {
	p.soft.SetRate(current.CloudAPI.Rate)
	p.node.SetSeeds(ctx, current.Seeds)
}

// heartbeatReceived is the node's callback for heartbeats of other control machines.
func (p *process) heartbeatReceived(_ *pb.Replica, heartbeat *pb.Heartbeat) {
	p.soft.Heartbeat(heartbeat)
}

// serverListReceived is the node's callback for server lists of other control machines.
func (p *process) serverListReceived(list *pb.ServerList) { p.soft.ServerList(list) }
