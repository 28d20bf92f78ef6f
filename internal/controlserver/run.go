package controlserver

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/api/fieldrelay/v1/fieldrelayv1connect"
	"fieldrelay/internal/control"
	"fieldrelay/internal/operatorapi"
	"fieldrelay/internal/settings"
)

const (
	// shutdownTimeout bounds the time in which calls under way are answered after SIGTERM.
	shutdownTimeout = 2 * time.Second

	// peersShutdownTimeout bounds the time in which agents that waited get their answers.
	peersShutdownTimeout = 200 * time.Millisecond

	// peerPortIndex is the number of the port for messages of control machines and agents.
	peerPortIndex = 0

	// maxMessageBytes bounds one message from a control machine or an agent.
	maxMessageBytes = 32 << 20
)

// Options replace what a control process does by itself. The zero value replaces nothing.
type Options struct {
	// Dial opens connections to other control machines.
	Dial control.Dial
}

// Run is the control process: it serves until ctx ends and returns when every call that was taken has been
// answered. The settings file named by the environment is followed while it runs, also upon SIGHUP.
func Run(ctx context.Context, initial *settings.Settings, logger *zap.Logger) error {
	return RunWith(ctx, initial, logger, Options{})
}

// RunWith is Run with options.
func RunWith(ctx context.Context, initial *settings.Settings, logger *zap.Logger, options Options) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path, err := settings.Path()
	if err != nil {
		path = ""
	}
	p := newProcess(newSettingsWatcher(path, initial, logger), logger, rand.Uint64())
	p.options = options

	nodeContext, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	// A disk that refuses may hold the start up; later the node ends after the calls that it has to answer.
	endsEarly := context.AfterFunc(ctx, stopNode)
	node, err := p.startNode(nodeContext)
	if err != nil {
		return err
	}
	if !endsEarly() {
		return nil
	}
	p.attach(node)
	return p.serve(ctx, hangups, stopNode)
}

// startNode starts the replicated state; it ends with ctx.
func (p *process) startNode(ctx context.Context) (*control.Node, error) {
	initial := p.settings.Current()
	node, err := control.Start(ctx, control.Options{
		Settings:       initial,
		Logger:         p.logger,
		ControlAddress: initial.Binds.Control,
		Dial:           p.options.Dial,
		Soft:           p.soft.Report,
		OnHeartbeat:    p.heartbeatReceived,
		OnServerList:   p.serverListReceived,
	})
	return node, errors.Wrap(err, "start the replicated state")
}

// serve listens and works until ctx ends, and reads the settings again at each hangup. It stops the node once
// the calls that need it are answered.
func (p *process) serve(ctx context.Context, hangups <-chan os.Signal, stopNode func()) error {
	servers, err := p.listenAll(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, server := range servers {
		go func() { failed <- server.Serve() }()
	}
	p.logger.Info("control process serves", zap.String("host", p.settings.Current().Hostname))
	err = p.runLoop(ctx, hangups, failed)
	p.shutDown(servers, stopNode)
	p.logCounters()
	return err
}

// work follows time, signals and the settings file until ctx ends or a listener fails.
func (p *process) runLoop(ctx context.Context, hangups <-chan os.Signal, failed <-chan error) error {
	ticks := time.NewTicker(startupTickInterval)
	defer ticks.Stop()
	started := time.NewTimer(startupDuration)
	defer started.Stop()
	files := time.NewTicker(settingsCheckInterval)
	defer files.Stop()
	counters := time.NewTicker(countersInterval)
	defer counters.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return errors.Wrap(err, "serve")
		case <-ticks.C:
			p.tick()
		case <-started.C:
			ticks.Reset(tickInterval)
		case <-files.C:
			p.checkSettings(ctx, false)
		case <-hangups:
			p.checkSettings(ctx, true)
		case <-counters.C:
			p.logCounters()
		}
	}
}

func (p *process) checkSettings(ctx context.Context, forced bool) {
	if p.settings.Check(forced) {
		p.settingsChanged(ctx, p.settings.Current())
	}
}

// listeningServer is an HTTP server with its listener.
type listeningServer struct {
	server   *http.Server
	listener net.Listener
	peers    bool // serves control machines and agents, not callers from outside
}

// Serve serves until the server is shut down.
func (s *listeningServer) Serve() error { return s.server.Serve(s.listener) }

// listenAll opens all listeners, or none.
func (p *process) listenAll(ctx context.Context) ([]*listeningServer, error) {
	var servers []*listeningServer
	for address, handler := range p.handlers() {
		listener, err := listen(ctx, address)
		if err != nil {
			for _, opened := range servers {
				opened.listener.Close()
			}
			return nil, err
		}
		servers = append(servers, &listeningServer{
			server:   newHTTPServer(handler),
			listener: listener,
			peers:    address == p.settings.Current().Port(peerPortIndex),
		})
	}
	return servers, nil
}

// handlers returns what is served, by address.
func (p *process) handlers() map[string]http.Handler {
	current := p.settings.Current()
	services := make(map[string]operatorapi.Services)
	if address := current.Binds.Control; address != "" {
		services[address] = operatorapi.Services{Operator: true}
	}
	if address := current.Binds.Directory; address != "" {
		services[address] = operatorapi.Services{Operator: services[address].Operator, Directory: true}
	}
	handlers := map[string]http.Handler{current.Port(peerPortIndex): p.peerHandler(current.Hostname)}
	calls := operatorapi.New(p.operatorOptions())
	for address, chosen := range services {
		handlers[address] = calls.Handler(chosen)
	}
	return handlers
}

// peerHandler serves the other control machines and the agents. Answers are not compressed one by one: a compressor
// takes more memory than everything else here. What is large in them is packed once for all agents.
func (p *process) peerHandler(host string) http.Handler {
	options := []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
	agents := newLinkService(p.node, p.soft, host, p.shuttingDown)
	agents.counters = &p.watchCounters
	mux := http.NewServeMux()
	deliveries := append(slices.Clone(options), control.CompressedDeliveries())
	mux.Handle(fieldrelayv1connect.NewControlPeerHandler(p.node, deliveries...))
	mux.Handle(fieldrelayv1connect.NewControlLinkHandler(agents, options...))
	mux.Handle(fieldrelayv1connect.NewControlStatusHandler(statusService{p}, options...))
	return mux
}

// shutDown lets the agents go, has the other control machines go on without this one and answers the calls that
// were taken, for which the node and its peers are needed; then it stops the node and closes everything.
func (p *process) shutDown(servers []*listeningServer, stopNode func()) {
	close(p.shuttingDown)
	p.stopPolls()
	var group sync.WaitGroup
	group.Go(p.leave)
	for _, one := range servers {
		if !one.peers {
			group.Go(func() { one.shutDown(shutdownTimeout) })
		}
	}
	group.Wait()
	stopNode()
	for _, one := range servers {
		if one.peers {
			one.shutDown(peersShutdownTimeout)
		}
	}
	p.polls.Wait()
}

// leave ends this machine's part in the replicated state.
func (p *process) leave() {
	began := time.Now()
	agreed := p.node.Leave(context.Background())
	p.logger.Info("leaves", zap.Bool("agreed", agreed), zap.Duration("after", time.Since(began)))
}

// shutDown lets the server's calls end within a limit.
func (s *listeningServer) shutDown(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}
