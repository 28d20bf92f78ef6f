package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/frontend"
	fronthttp "fieldrelay/internal/sidecar/frontend/http"
	"fieldrelay/internal/sidecar/handover"
	"fieldrelay/internal/sidecar/logging"
	"fieldrelay/internal/sidecar/manage"
	"fieldrelay/internal/sidecar/memorytuner"
	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/source/platform"
	transporthttp "fieldrelay/internal/sidecar/transport/http"
)

// metricsPrefix is the prefix of every StatsD line.
const metricsPrefix = "lb"

// sidecar holds the components of the sidecar in one process.
type sidecar struct {
	cfg          *config.Config
	inherited    *handover.Inherited
	hub          *logging.Hub
	log          zerolog.Logger
	memory       memorytuner.Plan
	gate         *budget.Gate
	metrics      *metrics.Registry
	relay        *relay.Relay
	list         *platform.Actor // nil until it is started
	fleet        *fleetClient
	suspensions  *fleetSuspensions
	stored       *storedState
	classes      *fronthttp.Classes
	listeners    *frontend.Set
	operations   *operations
	managed      *manage.Server // nil: no management address
	drainTimeout time.Duration  // time in which pending requests may be answered at the shutdown
	stopped      chan struct{}  // closed by close
}

// build creates the components and starts those that do not serve clients. close must be called even after an error.
func (s *sidecar) build(out io.Writer, join StartFleet) error {
	cfg := s.cfg
	runtime.GOMAXPROCS(cfg.Procs)
	s.hub = logging.New(out, cfg.Name, cfg.Operator.Log)
	s.log = s.hub.Component("daemon")
	s.buildMemory()
	s.metrics = metrics.New(metricsPrefix)
	s.metrics.List(classNames(cfg.Logic.Classes)...)
	if err := s.buildRelay(); err != nil {
		return err
	}
	suspended := s.restoreSuspensions()
	if err := s.adoptPlatformSocket(); err != nil {
		return err
	}
	s.startList(join)
	for _, name := range suspended {
		s.suspensions.setByHand(name, true)
	}
	s.buildListeners(join)
	if err := s.startManagement(); err != nil {
		return err
	}
	go memorytuner.Watch(s.memory, s.gate, s.relievePressure, s.hub.Component("memory"), s.stopped)
	return nil
}

// buildMemory sizes the byte budget by the memory that the process uses before it serves.
func (s *sidecar) buildMemory() {
	sizes, err := memorytuner.Read()
	if err != nil {
		s.log.Warn().Err(err).Msg("memory use of the process not known: byte budget not compared with it")
		sizes = memorytuner.Unknown
	}
	s.memory = memorytuner.NewPlan(s.cfg.MemoryBytes, sizes)
	s.gate = budget.NewGate(s.memory.Budget(), s.cfg.Inbound)
}

func (s *sidecar) buildRelay() (err error) {
	cfg := s.cfg
	transport := transporthttp.NewTransport(transporthttp.Options{
		DialTimeout: cfg.DialTimeout, ConnIdle: cfg.ConnIdle, SettleTime: transporthttp.SettleTime,
		DrainGrace: cfg.DrainGrace, GoneIsAdvisory: cfg.Logic.Contract.GoneIsAdvisory,
		MaxConns: cfg.Outbound, Gate: s.gate, Metrics: s.metrics,
	}, s.hub.Component("node"))
	if s.relay, err = relay.New(cfg.Logic, cfg.Seed, transport, s.hub.Component("relay")); err != nil {
		return err
	}
	s.metrics.Hosts(s.relay.ServerCounts)
	return nil
}

// restoreSuspensions suspends the servers that were suspended by hand in an earlier process, and returns their names.
func (s *sidecar) restoreSuspensions() []string {
	s.stored = newStoredState(os.TempDir(), s.cfg.Name)
	names, err := loadSuspensions(s.stored)
	if err != nil {
		s.log.Warn().Err(err).Msg("suspensions of the previous process not restored")
	}
	for _, name := range names {
		s.relay.Suspend(name, false, func([]string, error) {})
	}
	return names
}

// adoptPlatformSocket uses the platform's listening socket, unless the replaced process has handed it over.
func (s *sidecar) adoptPlatformSocket() error {
	if s.cfg.SocketFD < 0 || s.inherited.Listeners[s.cfg.Listen] != nil {
		return nil
	}
	ln, err := platformSocket(s.cfg.SocketFD)
	if err != nil {
		return err
	}
	s.inherited.Listeners[s.cfg.Listen] = ln
	return nil
}

// startList starts the relay and the source of the server list. The fleet is joined later.
func (s *sidecar) startList(join StartFleet) {
	cfg, log := s.cfg, s.hub.Component("fleet")
	list := platform.New(cfg.Discovery, s.relay, s.gate, s.hub.Component("list"))
	s.suspensions = newFleetSuspensions(s.relay, s.stored, log)
	s.fleet = &fleetClient{name: cfg.Name, log: log, join: join, zone: cfg.Logic.Zone, tenants: cfg.Logic.Tenants,
		relay: s.relay, suspensions: s.suspensions}
	if join != nil {
		s.relay.SetObserver(s.fleet)
	}
	s.relay.Start(list)
	list.Start(cfg.Known)
	if !cfg.Logic.Subscribe { // where lists are pushed, the module requests none
		list.KeepWatching()
	}
	s.list = list
}

func (s *sidecar) buildListeners(join StartFleet) {
	cfg := s.cfg
	s.drainTimeout = cfg.LongestDeadline() + answerGracePeriod
	s.classes = fronthttp.NewClasses(cfg.Logic.Classes, cfg.Logic.Tenants)
	options := fronthttp.Options{ClassSettings: cfg.Logic.Classes, Limits: cfg.Logic.Limits, Gate: s.gate,
		Metrics: s.metrics, Classes: s.classes}
	if join != nil {
		options.Admit = s.fleet.admit
	}
	newServer := func(frontend.Listener) frontend.Server {
		return fronthttp.New(s.relay, options, s.hub.Component("front"))
	}
	s.listeners = frontend.NewSet(newServer, s.inherited.Listeners, s.drainTimeout, s.hub.Component("front"))
}

// startManagement serves the management address, if one is configured.
func (s *sidecar) startManagement() (err error) {
	log, address := s.hub.Component("manage"), s.cfg.Mgmt
	s.operations = &operations{relay: s.relay, listeners: s.listeners, metrics: s.metrics, fleet: s.fleet,
		fleetSuspensions: s.suspensions, stored: s.stored, log: log}
	if address == "" {
		return nil
	}
	if ln := s.inherited.Listeners[address]; ln != nil {
		s.managed = manage.Serve(ln, s.operations, log)
		delete(s.inherited.Listeners, address) // it does not serve clients
		return nil
	}
	if s.managed, err = manage.Listen(address, s.operations, log); err != nil {
		s.managed = nil
		return fmt.Errorf("mgmt %s: %w", address, err)
	}
	return nil
}

// relievePressure closes idle connections at a memory pressure of CloseIdle or more.
func (s *sidecar) relievePressure(p budget.Pressure) {
	if p < budget.CloseIdle {
		return
	}
	for _, server := range s.listeners.Servers() {
		server.TrimIdle()
	}
	s.relay.TrimIdle()
}

// serve takes over from the replaced process, if there is one, joins the fleet and lets the listeners serve.
func (s *sidecar) serve() error {
	opened, err := s.listeners.Prepare(s.cfg.Fronts())
	if err != nil {
		return err
	}
	operator := &s.cfg.Operator
	if err := s.takeOver(operator.Replace.Timeout()); err != nil {
		return err
	}
	replaces := s.inherited.Replaces()
	if !replaces {
		if err := s.fleet.start(operator.Fleet, operator.Quota, operator.Rules, false); err != nil {
			return err
		}
	}
	opened.Commit()
	s.listeners.CloseUnused()
	if replaces { // the replaced process releases the fleet's address only from here on
		if err := s.fleet.start(operator.Fleet, operator.Quota, operator.Rules, true); err != nil {
			s.log.Error().Err(err).Msg("fleet not joined, serving alone")
		}
	}
	s.operations.servingSince.Store(time.Now().UnixNano())
	s.log.Info().Stringer("listen", s.listeners.Listeners()[s.cfg.Listen].Addr()).Int("procs", s.cfg.Procs).
		Int("inbound", s.cfg.Inbound).Int("outbound", s.cfg.Outbound).Int64("floor", s.memory.Floor).
		Int64("budget", s.memory.Budget()).Int("pid", os.Getpid()).Bool("replaces", replaces).Msg("serving")
	return nil
}

// errNoServerListed is the error of a replacement process that cannot serve and so does not take over.
var errNoServerListed = errors.New("handover: no execute node was listed within the timeout: the replaced process goes on serving")

// takeOver waits until this process can serve, and then notifies the process that it replaces, if there is one.
func (s *sidecar) takeOver(timeout time.Duration) error {
	for end := time.Now().Add(timeout); s.inherited.Replaces() && !s.relay.Ready(); <-time.After(readyPollInterval) {
		if time.Now().After(end) {
			return errNoServerListed
		}
	}
	return s.inherited.Ready()
}

// close stops the components that build has started.
func (s *sidecar) close() {
	close(s.stopped)
	if s.managed != nil {
		s.closeManagement()
	}
	if s.list != nil {
		s.list.Close()
	}
}

func (s *sidecar) closeManagement() { _ = s.managed.Close() } // an error means that it is closed already
