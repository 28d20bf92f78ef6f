package controlserver

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/settings"
)

const (
	// shutdownTimeout is the maximum time that open calls of operators and clients have to complete at the shutdown.
	shutdownTimeout = 2 * time.Second

	// peersShutdownTimeout is the maximum time that open long polls of agents have to complete at the shutdown.
	peersShutdownTimeout = 200 * time.Millisecond
)

// Options override defaults of a control process. The zero value overrides none.
type Options struct {
	// Dial opens connections to other control machines.
	Dial control.Dial
}

// Run runs the control process until ctx ends, shuts it down gracefully and returns after the accepted calls have been
// answered or have timed out. In the meantime it watches the settings file that the environment specifies, and reads
// the file again upon SIGHUP.
func Run(ctx context.Context, initial *settings.Settings, logger *zap.Logger) error {
	return RunWith(ctx, initial, logger, Options{})
}

// RunWith is like Run, but with options.
func RunWith(ctx context.Context, initial *settings.Settings, logger *zap.Logger, options Options) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path, err := settings.Path()
	if err != nil {
		path = "" // no file to watch
	}
	p := newProcess(newSettingsWatcher(path, initial, logger), logger, rand.Uint64())
	p.options = options

	// The node outlives ctx, since accepted calls need it. Only its start is aborted when ctx ends, since the start may
	// wait for a failing disk.
	nodeContext, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	cancelStartAbort := context.AfterFunc(ctx, stopNode)
	node, err := p.startNode(nodeContext)
	if err != nil {
		return err
	}
	if aborted := !cancelStartAbort(); aborted {
		return nil
	}
	p.attach(node)
	return p.serve(ctx, hangups, stopNode)
}

// startNode starts the node of the replicated control state, which runs until ctx ends.
func (p *process) startNode(ctx context.Context) (*control.Node, error) {
	initial := p.settings.Current()
	node, err := control.Start(ctx, control.Options{
		Settings:       initial,
		Logger:         p.logger,
		ControlAddress: initial.Binds.Control,
		Dial:           p.options.Dial,
		SoftState:      p.soft.Report,
		OnHeartbeat:    p.heartbeatReceived,
		OnServerList:   p.serverListReceived,
	})
	return node, errors.Wrap(err, "start the replicated control state")
}

// serve opens the listeners, runs the process until ctx ends and shuts it down. The goroutines of the servers end with
// the shutdown; the capacity of failed is sufficient for all of their errors, so that no goroutine blocks.
func (p *process) serve(ctx context.Context, hangups <-chan os.Signal, stopNode func()) error {
	servers, err := p.listenAll(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, server := range servers {
		go func() { failed <- server.Serve() }()
	}
	p.logger.Info("control process started", zap.String("host", p.settings.Current().Hostname))
	err = p.runLoop(ctx, hangups, failed)
	p.shutDown(servers, stopNode)
	p.logCounters()
	return err
}

// runLoop handles timers, signals and changes of the settings file until ctx ends or a server fails.
func (p *process) runLoop(ctx context.Context, hangups <-chan os.Signal, failed <-chan error) error {
	ticks := time.NewTicker(startupTickInterval)
	defer ticks.Stop()
	startupEnd := time.NewTimer(startupDuration)
	defer startupEnd.Stop()
	settingsChecks := time.NewTicker(settingsCheckInterval)
	defer settingsChecks.Stop()
	counters := time.NewTicker(countersInterval)
	defer counters.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return errors.Wrap(err, "serve HTTP")
		case <-ticks.C:
			p.tick()
		case <-startupEnd.C:
			ticks.Reset(tickInterval)
		case <-settingsChecks.C:
			p.checkSettings(ctx, false)
		case <-hangups:
			p.checkSettings(ctx, true)
		case <-counters.C:
			p.logCounters()
		}
	}
}

// checkSettings reloads the settings file if it has changed or if forced is set, and applies changed settings.
func (p *process) checkSettings(ctx context.Context, forced bool) {
	if p.settings.Check(forced) {
		p.settingsChanged(ctx, p.settings.Current())
	}
}

// shutDown shuts the process down gracefully: it ends the long polls, leaves the cluster and completes the accepted
// calls. The calls and the leave need the node and the peer port, so these are stopped last.
func (p *process) shutDown(servers []*listeningServer, stopNode func()) {
	close(p.shuttingDown)
	p.stopPolls()
	var group sync.WaitGroup
	group.Go(p.leave)
	for _, server := range servers {
		if !server.peers {
			group.Go(func() { server.shutDown(shutdownTimeout) })
		}
	}
	group.Wait()
	stopNode()
	for _, server := range servers {
		if server.peers {
			server.shutDown(peersShutdownTimeout)
		}
	}
	p.polls.Wait()
}

// leave removes this machine from the set of control machines and logs the result. Package control bounds the duration.
func (p *process) leave() {
	began := time.Now()
	agreed := p.node.Leave(context.Background())
	p.logger.Info("leave finished", zap.Bool("agreed", agreed), zap.Duration("duration", time.Since(began)))
}
