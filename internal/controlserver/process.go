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
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/control"
	"fieldrelay/internal/operatorapi"
	"fieldrelay/internal/quorum"
	"fieldrelay/internal/registry"
	"fieldrelay/internal/route"
	"fieldrelay/internal/settings"
)

const (
	// maxEndpointsLifetime is how long clients may use the directory's addresses.
	maxEndpointsLifetime = time.Second

	// pollTimeout bounds one reading of the platform's list, all pages together.
	pollTimeout = registry.PollTimeout

	// maxDrainingEndpointTime and drainingGraceDivisor (one in so many of the grace period) bound the time for which a proxy that drains
	// may be named.
	maxDrainingEndpointTime = 2 * time.Second
	drainingGraceDivisor    = 4

	// countersInterval is the time between two lines of counters.
	countersInterval = 30 * time.Second
)

// process is one control process without its sockets.
type process struct {
	options          Options
	logger           *zap.Logger
	settings         *settingsWatcher
	node             Node // set by attach
	soft             *softState
	platform         *platformClient
	operatorCounters operatorapi.Counters
	watchCounters    watchCounters // to agents
	rotation         atomic.Uint64
	homeIndex        atomic.Pointer[homeIndexCache] // of the newest configuration that a client asked for; nil: none did
	shuttingDown     chan struct{}
	started          time.Time

	polls          sync.WaitGroup
	pollContext    context.Context
	stopPolls      context.CancelFunc
	pollsSucceeded atomic.Int64
	pollsFailed    atomic.Int64

	wasOwner         bool
	wasAuthoritative bool
}

// homes are the home regions of hosts in one state of the configuration.
type homeIndexCache struct {
	snapshot *catalog.Snapshot
	index    *route.HomeIndex
}

// newProcess returns a process that knows nothing yet. seed draws its epochs, its waits and the first version
// of its members, and has to differ from start to start.
func newProcess(watch *settingsWatcher, logger *zap.Logger, seed uint64) *process {
	initial := watch.Current()
	random := rand.New(rand.NewPCG(seed, 0))
	p := &process{
		logger:       logger,
		settings:     watch,
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

// now is the steady time since the start.
func (p *process) now() time.Duration { return time.Since(p.started) }

// attach gives the process its node. It comes before every other call but those that the node itself makes.
func (p *process) attach(node Node) { p.node = node }

// operatorOptions configures the operator's API and the directory.
func (p *process) operatorOptions() operatorapi.Options {
	return operatorapi.Options{
		Orders:    p.node,
		Ready:     func() bool { return p.node.Status().Founded },
		InTouch:   func() bool { return p.node.Status().Authoritative },
		ZoneKnown: p.knowsZone,
		Endpoints: func(host, region, zone string) []string {
			client := registry.Client{Region: region, Zone: zone, Homes: p.homeRegionsOf(host), Leaving: p.drainingEndpointTime()}
			return p.soft.Endpoints(client, p.rotation.Add(1))
		},
		EndpointsLifetime: func() time.Duration {
			return endpointsLifetime(p.settings.Current())
		},
		Counters: &p.operatorCounters,
	}
}

// drainingEndpointTime is how long a proxy that drains may be named: it takes requests for a little longer, and clients keep its
// address for a second or more.
func (p *process) drainingEndpointTime() time.Duration {
	return min(maxDrainingEndpointTime, p.settings.Current().Bounds.Grace()/drainingGraceDivisor)
}

// homeRegionsOf tells where requests to a host may be served. While this machine is out of touch, its configuration may
// be old: any host may be bound then.
func (p *process) homeRegionsOf(host string) route.HomeRegions {
	status := p.node.Status()
	if !status.Authoritative || status.Committed == nil {
		return route.HomeRegions{Unreadable: true}
	}
	known := p.homeIndex.Load()
	if known == nil || known.snapshot != status.Committed {
		known = &homeIndexCache{snapshot: status.Committed, index: route.NewHomeIndex(status.Committed)}
		p.homeIndex.Store(known)
	}
	return known.index.Of(host)
}

// knowsZone reports whether the deployment has a zone of this name. One that is evacuated is known wherever the
// order for it arrives again, also to a machine whose settings do not name it, or not yet.
func (p *process) knowsZone(zone string) bool {
	if p.settings.Current().KnowsZone(zone) {
		return true
	}
	committed := p.node.Status().Committed
	return committed != nil && committed.Evacuated(zone)
}

func endpointsLifetime(current *settings.Settings) time.Duration {
	longest := current.Bounds.TTLMax()
	if longest <= 0 {
		return maxEndpointsLifetime
	}
	return min(maxEndpointsLifetime, longest)
}

// act does what the inventory asks for.
func (p *process) execute(action registry.Action) {
	switch action := action.(type) {
	case registry.StartPoll:
		p.polls.Go(p.poll)
	case registry.SendList:
		p.node.BroadcastServerList(action.List)
	default:
		p.logLagEvent(action)
	}
}

// poll reads the platform's list once.
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

// tick does what time alone brings about.
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
	p.logChanges(status.Authoritative)
}

// successionPosition is the place of this machine among the voters; the last if it does not vote.
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

// logChanges writes a line when this machine's part changed.
func (p *process) logChanges(authoritative bool) {
	if authoritative != p.wasAuthoritative {
		p.wasAuthoritative = authoritative
		p.logger.Info("holds the agreed state", zap.Bool("authoritative", authoritative))
	}
	if holder := p.soft.IsOwner(); holder != p.wasOwner {
		p.wasOwner = holder
		p.logger.Info("duty of the platform's list", zap.Bool("holder", holder))
	}
}

// logCounters writes the periodic line.
func (p *process) logCounters() {
	picture := p.soft.Snapshot()
	fields := []zap.Field{
		zap.Int64("acknowledged", p.operatorCounters.Acknowledged.Load()),
		zap.Int64("refused", p.operatorCounters.Refused.Load()),
		zap.Int64("unavailable", p.operatorCounters.Unavailable.Load()),
		zap.Int64("lookups", p.operatorCounters.Lookups.Load()),
		zap.Int64("polls", p.pollsSucceeded.Load()),
		zap.Int64("polls_failed", p.pollsFailed.Load()),
		zap.Int("agents_live", picture.members.Live()),
		zap.Int("servers", picture.list.Len()),
	}
	fields = append(fields, lagFields(p.soft.LagStats())...)
	p.logger.Info("counters", append(fields, p.watchCounters.fields()...)...)
}

// settingsChanged follows new settings.
func (p *process) settingsChanged(ctx context.Context, fresh *settings.Settings) {
	p.soft.SetRate(fresh.CloudAPI.Rate)
	p.node.SetSeeds(ctx, fresh.Seeds)
}

// heartbeat and serverListReceived are what the node tells.
func (p *process) heartbeatReceived(_ *pb.Replica, heartbeat *pb.Heartbeat) {
	p.soft.Heartbeat(heartbeat)
}

func (p *process) serverListReceived(list *pb.ServerList) { p.soft.ServerList(list) }
