package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/region/limits"
	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/settings"
)

const (
	// configStreamPort is the index, in the machine's port range, of the port that the agent calls.
	configStreamPort = 2
	// countersInterval is the interval of the log lines with the counters.
	countersInterval = time.Minute
	// housekeepingInterval is the interval of the checks of idle connections, the settings file and the agent.
	housekeepingInterval = time.Second
	// Bodies in flight may use 1/bodyMemoryFraction of the memory limit of the settings.
	bodyMemoryFraction = 8
	megabyte           = 1 << 20
	// reservedDescriptors is the number of file descriptors that are reserved for purposes other than connections. Half
	// of the remaining descriptors are for connections of clients and half for connections to servers.
	reservedDescriptors = 256
	// minConnections is the lower bound of the limit on clients' connections.
	minConnections = 64
	// headerReadTimeout is the time limit for reading the head of a request from the platform or the agent.
	headerReadTimeout = 5 * time.Second
)

// process is a running proxy. One goroutine calls start, serve, drain and stop, in this order.
//
// start starts the accept loop for clients, the send and receive loops of the announcer, and one goroutine for each
// internal server. These goroutines end after stop has closed their listener or socket; stop doesn't wait for them,
// since the process exits afterwards. net/http runs a goroutine for each connection. drain waits for the connections of
// clients.
type process struct {
	options          Options
	disabled         policy.Switches
	logger           *zap.Logger
	lifecycle        *lifecycle
	snapshots        *snapshotStore
	dispatcher       *dispatcher
	announcer        *announcer // nil if announcements are disabled
	pool             *upstream.Pool
	memory           *memoryLimit
	counters         *counters
	liveness         *agentLiveness
	started          time.Time
	listener         *clientListener
	settings         *settingsWatcher
	gracePeriod      atomic.Int64    // grace period of a shutdown, in nanoseconds
	baseContext      context.Context // parent of the contexts of all requests
	cancelRequests   context.CancelFunc
	internalServers  []*http.Server // servers for callers other than clients
	configStreamAddr net.Addr
	readyAddr        net.Addr
}

func newProcess(configured *settings.Settings, logger *zap.Logger, options Options) *process {
	bounds := configured.Bounds
	disabled := configured.Policy.Switches().Union(options.Disabled)
	placer := placement.New(placement.Config{
		Host:      configured.Hostname,
		Zone:      configured.Zone,
		Regions:   configured.Zones,
		Seed:      rand.Uint64(),
		SlowStart: limits.SlowStartConfig{Excess: bounds.WarmExcess, Extra: bounds.WarmExtra},
		Off:       disabled,
	})
	budget := limits.NewRetryBudget(limits.RetryConfig{
		Ratio:  bounds.RetryRatio,
		Extra:  bounds.RetryExtra,
		Window: bounds.RetryWindow(),
	}, configured.Hostname)
	p := &process{
		options:    options,
		disabled:   disabled,
		logger:     logger,
		snapshots:  newSnapshotStore(),
		dispatcher: newDispatcher(placer, budget),
		pool:       upstream.NewPool(upstream.Config{DisableReuse: disabled.Off(policy.ConnectionReuse)}),
		memory:     newMemoryLimit(int64(configured.Limits.MemoryMB * megabyte / bodyMemoryFraction)),
		counters:   &counters{},
		liveness:   &agentLiveness{logger: logger},
		started:    time.Now(),
	}
	p.baseContext, p.cancelRequests = context.WithCancel(context.Background())
	p.lifecycle = &lifecycle{snapshot: p.snapshots.load}
	p.gracePeriod.Store(int64(bounds.Grace()))
	path, _ := settings.Path() // empty if there is no settings file; nothing is reloaded then
	p.settings = newSettingsWatcher(path, logger, p.applySettings)
	return p
}

// applySettings applies the settings that can change while the process runs.
func (p *process) applySettings(changed *settings.Settings) {
	p.gracePeriod.Store(int64(changed.Bounds.Grace()))
}

// start opens the listeners in this order: for clients, for announcements, for the platform's readiness checks, and last
// for the agent, whose calls make the proxy ready. Requests that arrive earlier wait, see waitUntilUsable. If start
// returns an error, the caller calls stop.
func (p *process) start(configured *settings.Settings) error {
	// TCP keep-alive probes are disabled on clients' connections, since the idle time-out closes idle connections.
	config := net.ListenConfig{KeepAlive: -1}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(p.baseContext, "tcp4", configured.Binds.Edge)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	p.startAnnouncer(configured)
	connections := max((configured.Limits.Descriptors-reservedDescriptors)/2, minConnections)
	p.listener = newClientListener(p.baseContext, listener, p.requestHandler(), connections, p.counters, p.logger)
	go p.listener.serve()
	if p.readyAddr, err = p.serveInternal(configured.Binds.Ready, p.lifecycle); err != nil {
		return err
	}
	address := p.options.ConfigStreamAddress
	if address == "" {
		address = configured.LoopbackPort(configStreamPort)
	}
	p.configStreamAddr, err = p.serveInternal(address, p.configStreamHandler(configured))
	return err
}

// startAnnouncer opens the socket for announcements if they are enabled and the machine has a port for them. The proxy
// also serves without an announcer.
func (p *process) startAnnouncer(configured *settings.Settings) {
	ports := configured.PortRange
	if (p.disabled.Off(policy.Announcements) && p.disabled.Off(policy.FailureReports)) || ports[1]-ports[0] < announcePort {
		return
	}
	region := configured.RegionOf(configured.Zone)
	opened, err := newAnnouncer(configured.Port(announcePort), region, configured.Zone, p.dispatcher)
	if err != nil {
		p.logger.Warn("opening the announcement socket failed, announcements disabled", zap.Error(err))
		return
	}
	p.announcer = opened
	go opened.receiveLoop()
	go opened.sendLoop()
}

func (p *process) requestHandler() *handler {
	return &handler{
		snapshots:  p.snapshots,
		lifecycle:  p.lifecycle,
		dispatcher: p.dispatcher,
		announcer:  p.announcer,
		pool:       p.pool,
		roundTrips: newRoundTrips(),
		durations:  newRouteDurations(),
		memory:     p.memory,
		counters:   p.counters,
		random:     rand.Float64,
		disabled:   p.disabled,
	}
}

func (p *process) configStreamHandler(configured *settings.Settings) http.Handler {
	service := &configStream{
		host:        configured.Hostname,
		incarnation: rand.Uint64() | 1,
		edgeAddress: configured.Binds.Edge,
		snapshots:   p.snapshots,
		dispatcher:  p.dispatcher,
		announcer:   p.announcer,
		lifecycle:   p.lifecycle,
		counters:    p.counters,
		logger:      p.logger,
		liveness:    p.liveness,
		clock:       p.now,
		onSnapshot:  p.snapshotChanged,
	}
	path, handler := fieldrelayv1connect.NewProxyFeedHandler(service)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return mux
}

// snapshotChanged applies the connection limits of a changed configuration, and closes idle connections to servers that
// a changed server list no longer contains.
func (p *process) snapshotChanged(current *snapshot, applied update) {
	if applied.tableChanged {
		p.listener.setLimits(connLimitsOf(current.table.RequestLimits()))
	}
	if applied.listChanged {
		p.sweep(current)
	}
}

// sweep closes the idle connections to servers that have timed out or whose server is unreachable or no longer listed,
// and reports unreachable servers to placement.
func (p *process) sweep(current *snapshot) {
	unreachable := p.pool.Sweep(time.Now(), func(server upstream.Server) bool {
		_, listed := current.servers[server]
		return listed
	})
	for _, server := range unreachable {
		p.dispatcher.serverUnreachable(server.ID)
	}
}

// serveInternal starts a server for callers other than clients and returns its address. The server's goroutine ends when
// stop closes the server.
func (p *process) serveInternal(address string, handler http.Handler) (net.Addr, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerReadTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()), // errors of single connections are not logged
	}
	p.internalServers = append(p.internalServers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr(), nil
}

// serve does the periodic work and reloads the settings on request, until terminate is closed.
func (p *process) serve(terminate <-chan struct{}, reload <-chan os.Signal) {
	housekeeping := time.NewTicker(housekeepingInterval)
	defer housekeeping.Stop()
	report := time.NewTicker(countersInterval)
	defer report.Stop()
	for {
		select {
		case <-terminate:
			return
		case <-reload:
			p.settings.reload()
		case <-housekeeping.C:
			p.settings.reloadIfChanged()
			p.sweep(p.snapshots.load())
			p.liveness.checkTimeout(p.now())
		case <-report.C:
			p.logger.Info("counters", p.counterFields()...)
		}
	}
}

func (p *process) counterFields() []zap.Field {
	fields := p.counters.fields(p.pool.Stats(), p.dispatcher.slack(), p.memory.used.Load())
	fields = append(fields, placementFields(p.dispatcher.stats())...)
	return append(fields, zap.Duration("since_agent_contact", p.liveness.sinceContact(p.now())))
}

// now is the monotonic clock of the process: the time since its start.
func (p *process) now() time.Duration { return time.Since(p.started) }

// stop cancels the remaining requests and then closes the listener for clients, the internal servers, the idle
// connections to servers and the announcer, in an order in which nothing new can begin. It may also be called after
// start has failed.
func (p *process) stop() {
	p.cancelRequests()
	if p.listener != nil {
		p.listener.close()
	}
	for _, server := range p.internalServers {
		_ = server.Close()
	}
	p.pool.Close()
	p.announcer.close()
}
