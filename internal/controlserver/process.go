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
	// endpointsLifetime is how long clients may use the directory's addresses.
	endpointsLifetime = time.Second

	// pollTimeout bounds one reading of the platform's list, all pages together.
	pollTimeout = registry.PollTimeout

	// longestLeaving and leavingShare (one in so many of the grace period) bound the time for which a proxy that drains
	// may be named.
	longestLeaving = 2 * time.Second
	leavingShare   = 4

	// countersEvery is the time between two lines of counters.
	countersEvery = 30 * time.Second
)

// process is one control process without its sockets.
type process struct {
	options  Options
	logger   *zap.Logger
	settings *settingsWatch
	node     Node // set by attach
	soft     *softState
	platform *platformClient
	calls    operatorapi.Counters
	answers  answerCounters // to agents
	rotation atomic.Uint64
	homes    atomic.Pointer[homes] // of the newest configuration that a client asked for; nil: none did
	ending   chan struct{}
	started  time.Time

	polls       sync.WaitGroup
	pollContext context.Context
	stopPolls   context.CancelFunc
	pollsGood   atomic.Int64
	pollsFailed atomic.Int64

	wasHolder        bool
	wasAuthoritative bool
}

// homes are the home regions of hosts in one state of the configuration.
type homes struct {
	snapshot *catalog.Snapshot
	index    *route.HomeIndex
}

// newProcess returns a process that knows nothing yet. seed draws its epochs, its waits and the first version
// of its members, and has to differ from start to start.
func newProcess(watch *settingsWatch, logger *zap.Logger, seed uint64) *process {
	initial := watch.Current()
	random := rand.New(rand.NewPCG(seed, 0))
	p := &process{
		logger:   logger,
		settings: watch,
		platform: newPlatformClient(),
		ending:   make(chan struct{}),
		started:  time.Now(),
	}
	p.pollContext, p.stopPolls = context.WithCancel(context.Background())
	agents := registry.NewAgents(random.Uint64N(1 << 62))
	inventory := registry.NewServerInventory(initial.Hostname, initial.CloudAPI.Rate, random)
	p.soft = newSoftState(p.now, agents, inventory, p.act)
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
			client := registry.Client{Region: region, Zone: zone, Homes: p.homesOf(host), Leaving: p.leavingTime()}
			return p.soft.Endpoints(client, p.rotation.Add(1))
		},
		EndpointsLifetime: func() time.Duration {
			return lifetimeOfEndpoints(p.settings.Current())
		},
		Counters: &p.calls,
	}
}

// leavingTime is how long a proxy that drains may be named: it takes requests for a little longer, and clients keep its
// address for a second or more.
func (p *process) leavingTime() time.Duration {
	return min(longestLeaving, p.settings.Current().Bounds.Grace()/leavingShare)
}

// homesOf tells where requests to a host may be served. While this machine is out of touch, its configuration may
// be old: any host may be bound then.
func (p *process) homesOf(host string) route.HomeRegions {
	status := p.node.Status()
	if !status.Authoritative || status.Committed == nil {
		return route.HomeRegions{Unreadable: true}
	}
	known := p.homes.Load()
	if known == nil || known.snapshot != status.Committed {
		known = &homes{snapshot: status.Committed, index: route.NewHomeIndex(status.Committed)}
		p.homes.Store(known)
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

func lifetimeOfEndpoints(current *settings.Settings) time.Duration {
	longest := current.Bounds.TTLMax()
	if longest <= 0 {
		return endpointsLifetime
	}
	return min(endpointsLifetime, longest)
}

// act does what the inventory asks for.
func (p *process) act(action registry.Action) {
	switch action := action.(type) {
	case registry.StartPoll:
		p.polls.Go(p.poll)
	case registry.SendList:
		p.node.BroadcastServerList(action.List)
	default:
		p.logLateness(action)
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
		p.pollsGood.Add(1)
	}
	p.soft.PollDone(registry.PollDone{SentAt: sentAt, Pages: pages, Servers: servers, Failed: err != nil})
}

// tick does what time alone brings about.
func (p *process) tick() {
	status := p.node.Status()
	var tick registry.Tick
	if status.Founded && p.settings.Current().CloudAPI.Address != "" {
		tick.LiveHosts = status.Live
		tick.Position = placeOf(status)
		tick.Partitioned = len(status.Live) < quorum.Majority(status.View)
	}
	p.soft.NoteCommitted(status.Committed)
	p.soft.SetLatenessBounds(latenessBounds(p.settings.Current().Bounds), status.Authoritative)
	p.soft.Tick(tick)
	p.logChanges(status.Authoritative)
}

// placeOf is the place of this machine among the voters; the last if it does not vote.
func placeOf(status control.Status) int {
	voters := status.View.GetVoters()
	place := slices.IndexFunc(voters, func(voter *pb.Replica) bool {
		return voter.GetIdentity() == status.Self.GetIdentity()
	})
	if place < 0 {
		return len(voters)
	}
	return place
}

// logChanges writes a line when this machine's part changed.
func (p *process) logChanges(authoritative bool) {
	if authoritative != p.wasAuthoritative {
		p.wasAuthoritative = authoritative
		p.logger.Info("holds the agreed state", zap.Bool("authoritative", authoritative))
	}
	if holder := p.soft.Holder(); holder != p.wasHolder {
		p.wasHolder = holder
		p.logger.Info("duty of the platform's list", zap.Bool("holder", holder))
	}
}

// logCounters writes the periodic line.
func (p *process) logCounters() {
	picture := p.soft.Picture()
	fields := []zap.Field{
		zap.Int64("acknowledged", p.calls.Acknowledged.Load()),
		zap.Int64("refused", p.calls.Refused.Load()),
		zap.Int64("unavailable", p.calls.Unavailable.Load()),
		zap.Int64("lookups", p.calls.Lookups.Load()),
		zap.Int64("polls", p.pollsGood.Load()),
		zap.Int64("polls_failed", p.pollsFailed.Load()),
		zap.Int("agents_live", picture.members.Live()),
		zap.Int("servers", picture.list.Len()),
	}
	fields = append(fields, latenessFields(p.soft.Lateness())...)
	p.logger.Info("counters", append(fields, p.answers.fields()...)...)
}

// settingsChanged follows new settings.
func (p *process) settingsChanged(ctx context.Context, fresh *settings.Settings) {
	p.soft.SetRate(fresh.CloudAPI.Rate)
	p.node.SetSeeds(ctx, fresh.Seeds)
}

// heartbeat and serverList are what the node tells.
func (p *process) heartbeat(_ *pb.Replica, heartbeat *pb.Heartbeat) { p.soft.Heartbeat(heartbeat) }

func (p *process) serverList(list *pb.ServerList) { p.soft.ServerList(list) }
