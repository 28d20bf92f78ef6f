// Package agent is the process beside each proxy of the regional system. It keeps a copy of the control state and
// of the server list, which it gets from a control machine by long polls and from other agents by gossip, and
// feeds the proxy with it over loopback.
//
// One goroutine owns the state (core); calls and the service to other agents run beside it and talk to it by
// events over one bounded queue.
package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/settings"
	"fieldrelay/internal/shuffle"
)

// Ports of a machine, counted from the first for own messages.
const (
	peerPort      = 1 // the agents' service
	proxyLinkPort = 2 // the proxy's service on the loopback interface
)

// eventQueueSize is the number of events that may wait for the core.
const eventQueueSize = 64

// Options replace what an agent takes from its settings. The zero value replaces nothing.
type Options struct {
	// Proxy is the address of the proxy's feed.
	Proxy string
	// Listener serves the other agents; its address is the one that they are told.
	Listener net.Listener
	// LinkAddress turns a seed into the address of that control machine's link service.
	LinkAddress func(seed string) (string, error)
	// Dial opens connections to control machines, to other agents and to the proxy, as net.Dialer.DialContext does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// SettingsPath is the settings file to follow.
	SettingsPath string
}

// Run is an agent's life. It begins to end when ctx is done: control is told at once, and the proxy is served until it
// is gone or the time of grace is nearly over. The error is nil unless the agent couldn't start.
func Run(ctx context.Context, from *settings.Settings, logger *zap.Logger) error {
	path, err := settings.Path()
	if err != nil {
		path = ""
	}
	return RunWith(ctx, from, logger, Options{SettingsPath: path})
}

// RunWith is Run with options.
func RunWith(ctx context.Context, from *settings.Settings, logger *zap.Logger, options Options) error {
	options, err := options.complete(ctx, from)
	if err != nil {
		return err
	}
	process := newProcess(from, logger, options)
	return process.run(ctx)
}

// complete fills in what options leave to the settings.
func (o Options) complete(ctx context.Context, from *settings.Settings) (Options, error) {
	if o.Proxy == "" {
		o.Proxy = from.LoopbackPort(proxyLinkPort)
	}
	if o.LinkAddress == nil {
		o.LinkAddress = linkAddress(from.PortRange[0])
	}
	if o.Listener == nil {
		listener, err := listen(ctx, from.Port(peerPort))
		if err != nil {
			return o, err
		}
		o.Listener = listener
	}
	return o, nil
}

// process joins the core with its shells.
type process struct {
	core     *core
	caller   *caller
	server   *http.Server
	listener net.Listener
	reloader *reloader
	events   chan event
	started  time.Time
	cancel   context.CancelFunc // ends all calls
	logger   *zap.Logger
}

func newProcess(from *settings.Settings, logger *zap.Logger, options Options) *process {
	neighbour := shuffle.Neighbour{
		Host:    from.Hostname,
		Address: options.Listener.Addr().String(),
		Zone:    from.Zone,
		Region:  from.Region,
	}
	seeds := resolveSeeds(from.Seeds, options.LinkAddress, logger)
	events := make(chan event, eventQueueSize)
	calls, cancel := context.WithCancel(context.Background())
	post := func(received event) {
		select {
		case events <- received:
		case <-calls.Done():
		}
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	calling := newCaller(calls, neighbour, options.Proxy, post)
	if options.Dial != nil {
		calling.dialWith(options.Dial)
	}
	self := identity{neighbour: neighbour, incarnation: newIncarnation(time.Now())}
	return &process{
		core:     newCore(self, seeds, from.Bounds.Grace(), random, logger),
		caller:   calling,
		server:   newServer(events, logger),
		listener: options.Listener,
		reloader: newReloader(options.SettingsPath, seeds, options.LinkAddress, logger),
		events:   events,
		started:  time.Now(),
		cancel:   cancel,
		logger:   logger,
	}
}

// incarnationRandomBits is how much of an incarnation is random: two starts in one millisecond differ.
const incarnationRandomBits = 20

// newIncarnation is a number that rises from start to start, as far as the time of day does.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// run serves until the core is over.
func (p *process) run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(p.listener) }()
	p.logger.Info("agent started",
		zap.String("host", p.core.identity.neighbour.Host),
		zap.String("address", p.core.identity.neighbour.Address),
		zap.Uint64("incarnation", p.core.identity.incarnation))
	err := p.loop(ctx, served)
	p.cancel()
	closeErr := p.server.Close()
	p.caller.wait()
	p.core.logCounters(p.now())
	p.logger.Info("agent ended", zap.Error(err))
	return errors.CombineErrors(err, errors.Wrap(closeErr, "close the service to other agents"))
}

// loop is the goroutine that owns the core. It returns when the core is over, or with an error when the service to
// other agents has ended.
func (p *process) loop(ctx context.Context, served <-chan error) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	timer := time.NewTimer(0)
	defer timer.Stop()
	shutdownRequestedBy := ctx.Done()
	for {
		var received event = tick{}
		select {
		case received = <-p.events:
		case <-timer.C:
		case <-hangups:
			p.applySeeds(p.reloader.reload())
		case <-shutdownRequestedBy:
			shutdownRequestedBy = nil
			received = shutdownRequested{}
		case err := <-served:
			return errors.Wrap(err, "serve the other agents")
		}
		p.step(received)
		now := p.now()
		if p.core.finished(now) {
			return nil
		}
		p.applySeeds(p.reloader.poll(now))
		timer.Reset(max(p.core.nextTick(now)-now, minTickInterval))
	}
}

// minTickInterval bounds how often the core is woken when nothing has happened.
const minTickInterval = 5 * time.Millisecond

// step tells the core an event and begins the calls that it wants.
func (p *process) step(received event) {
	for _, call := range p.core.step(p.now(), received) {
		if !p.caller.start(call) {
			p.core.counters.droppedActions++
		}
	}
}

func (p *process) applySeeds(seeds []string, changed bool) {
	if changed {
		p.step(seedsReloaded{addresses: seeds})
	}
}

// now is the steady clock of the core. It begins above 0.
func (p *process) now() time.Duration { return time.Since(p.started) + time.Nanosecond }
