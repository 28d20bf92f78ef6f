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

	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/region/shuffle"
)

const (
	// eventQueueSize is the capacity of the event queue of the core.
	eventQueueSize = 64
	// minTickInterval is the minimum time between two ticks of the core while no event is posted.
	minTickInterval = 5 * time.Millisecond
	// incarnationRandomBits is the number of random bits in an incarnation, which distinguish two starts within the
	// same millisecond.
	incarnationRandomBits = 20
)

// process runs the core and its I/O: the calls, the server for other agents and the watch on the settings file.
type process struct {
	core     *core
	caller   *caller
	server   *http.Server
	listener net.Listener
	seeds    *seedsWatcher
	events   chan event
	started  time.Time
	cancel   context.CancelFunc // cancels all calls
	logger   *zap.Logger
}

// newProcess returns the process of an agent. The options must have their defaults filled in.
func newProcess(config *settings.Settings, logger *zap.Logger, options Options) *process {
	neighbour := shuffle.Neighbour{
		Host:    config.Hostname,
		Address: options.Listener.Addr().String(),
		Zone:    config.Zone,
		Region:  config.Region,
	}
	seeds := resolveSeeds(config.Seeds, options.LinkAddress, logger)
	events := make(chan event, eventQueueSize)
	// Calls outlive the context of Run: they are canceled once the core has finished its shutdown.
	callCtx, cancel := context.WithCancel(context.Background())
	post := func(received event) {
		select {
		case events <- received:
		case <-callCtx.Done():
		}
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	client := newCaller(callCtx, neighbour, options.Proxy, post)
	if options.Dial != nil {
		client.dialWith(options.Dial)
	}
	self := identity{neighbour: neighbour, incarnation: newIncarnation(time.Now())}
	return &process{
		core:     newCore(self, seeds, config.Bounds.Grace(), random, logger),
		caller:   client,
		server:   newServer(events, logger),
		listener: options.Listener,
		seeds:    newSeedsWatcher(options.SettingsPath, seeds, options.LinkAddress, logger),
		events:   events,
		started:  time.Now(),
		cancel:   cancel,
		logger:   logger,
	}
}

// newIncarnation returns a number that increases from start to start, as long as the wall clock does not go back.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// run serves until the core has finished, then cancels the calls in flight and waits for their end.
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
	p.logger.Info("agent stopped", zap.Error(err))
	return errors.CombineErrors(err, errors.Wrap(closeErr, "close the server for other agents"))
}

// loop runs in the goroutine that owns the core. It returns when the core has finished, or with an error when the
// server for other agents has stopped.
func (p *process) loop(ctx context.Context, served <-chan error) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	timer := time.NewTimer(0)
	defer timer.Stop()
	shutdown := ctx.Done()
	for {
		var received event = tick{}
		select {
		case received = <-p.events:
		case <-timer.C:
		case <-hangups:
			p.applySeeds(p.seeds.reload())
		case <-shutdown:
			shutdown = nil // shutdownRequested is passed to the core only once
			received = shutdownRequested{}
		case err := <-served:
			return errors.Wrap(err, "serve calls of other agents")
		}
		p.step(received)
		now := p.now()
		if p.core.finished(now) {
			return nil
		}
		p.applySeeds(p.seeds.poll(now))
		timer.Reset(max(p.core.nextTick(now)-now, minTickInterval))
	}
}

// step passes an event to the core and starts the calls that the core returns.
func (p *process) step(received event) {
	for _, call := range p.core.step(p.now(), received) {
		if !p.caller.start(call) {
			p.core.counters.droppedActions++
		}
	}
}

// applySeeds passes the seeds to the core if they have changed.
func (p *process) applySeeds(seeds []string, changed bool) {
	if changed {
		p.step(seedsReloaded{addresses: seeds})
	}
}

// now returns the time of the core's monotonic clock. The clock begins above 0, since the time 0 means "not yet" in the
// core.
func (p *process) now() time.Duration { return time.Since(p.started) + time.Nanosecond }
