package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/config"
	"fieldrelay/internal/front"
	fronthttp "fieldrelay/internal/front/http"
	"fieldrelay/internal/handover"
	"fieldrelay/internal/logging"
	"fieldrelay/internal/manage"
	"fieldrelay/internal/metrics"
	"fieldrelay/internal/reconfig"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/resident"
	"fieldrelay/internal/source/platform"
	transporthttp "fieldrelay/internal/transport/http"
	"fieldrelay/logic"
)

// metricsPrefix begins every StatsD line.
const metricsPrefix = "lb"

const (
	shutdownDelay     = 500 * time.Millisecond // after SIGTERM, new connections go on coming for so long
	answerGracePeriod = 10 * time.Second       // over the longest deadline, for the last answers
	// After the last answer, for claims that were given up to be reported.
	lastResultsTimeout = 100 * time.Millisecond
	readyPollInterval  = 10 * time.Millisecond // of the looks of a process that replaces another
)

// run serves until SIGTERM and then until all that was taken is answered. On SIGHUP it reads its configuration
// again. It logs to out.
func run(getenv func(string) string, out io.Writer, join StartFleet) error {
	// From the first moment on: left to the system, a SIGHUP would end the process.
	hangup, terminate, replace := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(replace, syscall.SIGUSR2)
	defer signal.Stop(hangup)
	defer signal.Stop(terminate)
	defer signal.Stop(replace)
	inherited, err := handover.Inherit()
	if err != nil {
		return err
	}

	cfg, err := config.Load(getenv, getenv(operatorEnv))
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(cfg.Procs)
	hub := logging.New(out, cfg.Name, cfg.Operator.Log)
	log := hub.Part("daemon")

	sizes, err := resident.Read()
	if err != nil {
		log.Warn().Err(err).Msg("memory not told by the system: the budget is not compared with it")
		sizes = resident.Unknown
	}
	plan := resident.NewPlan(cfg.MemoryBytes, sizes)
	gate := budget.NewGate(plan.Budget(), cfg.Inbound)
	figures := metrics.New(metricsPrefix)
	figures.List(classNames(cfg.Logic.Classes)...)

	nodes := transporthttp.NewTransport(transporthttp.Options{DialTimeout: cfg.DialTimeout, ConnIdle: cfg.ConnIdle,
		SettleTime: transporthttp.SettleTime, DrainGrace: cfg.DrainGrace, GoneIsAdvisory: cfg.Logic.Contract.GoneIsAdvisory, MaxConns: cfg.Outbound, Gate: gate,
		Metrics: figures}, hub.Part("node"))
	core, err := relay.New(cfg.Logic, cfg.Seed, nodes, hub.Part("relay"))
	if err != nil {
		return err
	}
	figures.Hosts(core.ServerCounts)
	kept := newStoredState(os.TempDir(), cfg.Name)
	names, err := loadSuspensions(kept)
	if err != nil {
		log.Warn().Err(err).Msg("suspensions of the process before not taken")
	}
	for _, name := range names {
		core.Suspend(name, false, func([]string, error) {})
	}
	if cfg.SocketFD >= 0 && inherited.Listeners[cfg.Listen] == nil {
		ln, err := platformSocket(cfg.SocketFD)
		if err != nil {
			return err
		}
		inherited.Listeners[cfg.Listen] = ln
	}
	list := platform.New(cfg.Discovery, core, gate, hub.Part("list"))
	members := &fleetClient{name: cfg.Name, log: hub.Part("fleet"), join: join, zone: cfg.Logic.Zone, tenants: cfg.Logic.Tenants, relay: core, suspensions: newFleetSuspensions(core, kept, hub.Part("fleet"))}
	if join != nil {
		core.SetObserver(members)
	}
	core.Start(list)
	list.Start(cfg.Known)
	if !cfg.Logic.Subscribe { // the module asks for nothing where lists are pushed
		list.KeepWatching()
	}
	defer list.Close()

	patience := cfg.LongestDeadline() + answerGracePeriod
	classes := fronthttp.NewClasses(cfg.Logic.Classes, cfg.Logic.Tenants)
	for _, name := range names {
		members.suspensions.setByHand(name, true)
	}
	var admit fronthttp.Admit
	if join != nil {
		admit = members.admit
	}
	fronts := front.NewSet(func(front.Listener) front.Server {
		return fronthttp.New(core, fronthttp.Options{ClassSettings: cfg.Logic.Classes, Limits: cfg.Logic.Limits, Gate: gate,
			Metrics: figures, Classes: classes, Admit: admit}, hub.Part("front"))
	}, inherited.Listeners, patience, hub.Part("front"))
	ops := &operations{relay: core, listeners: fronts, metrics: figures, fleet: members, fleetSuspensions: members.suspensions, stored: kept, log: hub.Part("manage")}
	var managed *manage.Server
	if ln := inherited.Listeners[cfg.Mgmt]; cfg.Mgmt != "" && ln != nil {
		managed = manage.Serve(ln, ops, hub.Part("manage"))
		delete(inherited.Listeners, cfg.Mgmt) // it is no front's
	} else if cfg.Mgmt != "" {
		if managed, err = manage.Listen(cfg.Mgmt, ops, hub.Part("manage")); err != nil {
			return fmt.Errorf("mgmt %s: %w", cfg.Mgmt, err)
		}
	}
	if managed != nil {
		defer managed.Close()
	}
	stop := make(chan struct{})
	defer close(stop)
	go resident.Watch(plan, gate, func(d budget.Pressure) {
		if d >= budget.CloseIdle {
			for _, f := range fronts.Servers() {
				f.TrimIdle()
			}
			core.TrimIdle()
		}
	}, hub.Part("memory"), stop)
	opened, err := fronts.Prepare(cfg.Fronts())
	if err != nil {
		return err
	}
	if err := takeOver(inherited, core, cfg.Operator.Replace.Wait()); err != nil {
		return err
	}
	if !inherited.Replaces() {
		if err := members.start(cfg.Operator.Fleet, cfg.Operator.Quota, cfg.Operator.Rules, false); err != nil {
			return err
		}
	}
	opened.Commit()
	fronts.CloseUnused()
	if inherited.Replaces() { // only now has the process before this one cause to leave the fleet's address
		members.start(cfg.Operator.Fleet, cfg.Operator.Quota, cfg.Operator.Rules, true)
	}
	ops.servingSince.Store(time.Now().UnixNano())
	log.Info().Stringer("listen", fronts.Listeners()[cfg.Listen].Addr()).Int("procs", cfg.Procs).Int("inbound", cfg.Inbound).
		Int("outbound", cfg.Outbound).Int64("floor", plan.Floor).Int64("budget", plan.Budget()).
		Int("pid", os.Getpid()).Bool("replaces", inherited.Replaces()).Msg("serving")

	d := &daemon{metrics: figures, getenv: getenv, running: cfg, generation: 1, log: log, replaced: make(chan replacement, 1), parts: []reconfig.Part[*config.Config]{
		{Name: "front", Prepare: func(next *config.Config) (reconfig.Change, error) {
			next.Listen = cfg.Listen // the platform's own does not move
			change, err := fronts.Prepare(next.Fronts())
			if err != nil {
				return nil, err
			}
			return change, nil
		}},
		{Name: "log", Prepare: func(next *config.Config) (reconfig.Change, error) {
			return reconfig.Do(func() { hub.Set(next.Operator.Log) }), nil
		}},
		{Name: "classes", Prepare: func(next *config.Config) (reconfig.Change, error) {
			return reconfig.Do(func() {
				names := classNames(next.Logic.Classes)
				figures.List(names...)
				core.Reconfigure(next.Logic, func(err error) {
					if err != nil {
						log.Error().Err(err).Msg("classes not changed")
					}
				})
				members.setTenants(next.Logic.Tenants)
				classes.Set(next.Logic.Classes, next.Logic.Tenants) // after the relay's mailbox has the change: it comes first
				log.Info().Strs("classes", names).Int("attempts", next.Logic.Limits.MaxAttempts).Msg("classes in force")
			}), nil
		}},
		{Name: "fleet", Prepare: members.prepare},
		{Name: "list", Prepare: func(next *config.Config) (reconfig.Change, error) {
			return reconfig.Do(func() { list.SetAddr(next.Discovery) }), nil
		}},
	}}
	handedOver := false
	for serving := true; serving; {
		select {
		case err := <-fronts.Failed():
			return err
		case <-hangup:
			d.reload()
		case <-replace:
			listeners := fronts.Listeners()
			if managed != nil { // bound twice, the new process could not start
				listeners[cfg.Mgmt] = managed.Listener()
			}
			d.replace(listeners)
		case r := <-d.replaced:
			handedOver = d.replacedBy(r)
			serving = !handedOver
		case <-terminate:
			serving = false
			ops.stopping.Store(true)
		}
	}
	handedOver = d.endReplacement() || handedOver
	log.Info().Bool("handed over", handedOver).Msg("terminating")
	if handedOver && managed != nil {
		managed.Close() // the new process answers there now
	}
	members.stop(handedOver)
	if !handedOver {
		for _, f := range fronts.Servers() {
			f.MarkNotReady()
		}
		<-time.After(shutdownDelay)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	err = fronts.Shutdown(ctx, handedOver)
	left := unreturnedBytes(gate)
	log.Info().Int64("jobs", left.Reserved[budget.Requests]).Int64("answers", left.Reserved[budget.Answers]).Msg("ended")
	return err
}

// classNames are the names of classes, in their order.
func classNames(classes []logic.Class) []string {
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	return names
}

// unreturnedBytes tells what is held once all is answered. The last claims may still have to be reported.
func unreturnedBytes(gate *budget.Gate) budget.State {
	s := gate.State()
	for end := time.Now().Add(lastResultsTimeout); s.Reserved[budget.Requests]+s.Reserved[budget.Answers] > 0 && time.Now().Before(end); s = gate.State() {
		<-time.After(lastResultsTimeout / 50)
	}
	return s
}

// takeOver waits until this process can serve and then tells the one that it replaces, if there is one.
func takeOver(inherited *handover.Inherited, core *relay.Relay, patience time.Duration) error {
	for end := time.Now().Add(patience); inherited.Replaces() && !core.Ready(); <-time.After(readyPollInterval) {
		if time.Now().After(end) {
			return errors.New("no execute node is listed in time: the process before this one goes on")
		}
	}
	return inherited.Ready()
}

// daemon is what changes while it runs. It belongs to the goroutine of run.
type daemon struct {
	metrics    *metrics.Registry
	getenv     func(string) string
	running    *config.Config // as it was started
	generation int            // of the settings in force
	parts      []reconfig.Part[*config.Config]
	log        zerolog.Logger

	replacing         bool
	cancelReplacement context.CancelFunc // ends the start of the new process
	reloadPending     bool               // one was asked for meanwhile
	replaced          chan replacement
}

// replacement is how the start of a new process ended.
type replacement struct {
	pid int
	err error
}

// reload takes over from the files what can change while the sidecar serves. All parts prepare before anything takes
// effect; of a file that cannot be used nothing is taken.
func (d *daemon) reload() {
	if d.replacing { // the new process reads the files itself; if it does not take over, they are read here
		d.reloadPending = true
		return
	}
	next, err := config.Reload(d.getenv, d.getenv(operatorEnv))
	if err == nil {
		err = reconfig.Apply(d.parts, next)
	}
	if err != nil {
		d.log.Error().Err(err).Int("generation", d.generation).Msg("configuration not reloaded")
		d.metrics.Reconfigured(false)
		return
	}
	d.generation++
	d.metrics.Reconfigured(true)
	d.log.Info().Int("generation", d.generation).Str("discovery", next.Discovery).Strs("at next start", d.running.Changed(next)).
		Msg("configuration reloaded")
}

// replace starts the program anew, as its file is now, and hands it the listeners.
func (d *daemon) replace(listeners map[string]net.Listener) {
	if !d.running.Operator.Replace.Enabled || d.replacing {
		d.log.Warn().Bool("enabled", d.running.Operator.Replace.Enabled).Bool("under way", d.replacing).Msg("replacement not started")
		return
	}
	binary, err := os.Executable()
	if err != nil {
		d.log.Error().Err(err).Msg("replacement not started")
		return
	}
	binary = successor(binary)
	d.replacing = true
	wait := d.running.Operator.Replace.Wait()
	d.log.Info().Str("binary", binary).Dur("patience", wait).Msg("replacement started")
	ctx, giveUp := context.WithCancel(context.Background())
	d.cancelReplacement = giveUp
	go func() {
		defer giveUp()
		pid, err := handover.Start(ctx, binary, nil, listeners, wait)
		d.replaced <- replacement{pid, err}
	}()
}

// endReplacement ends the start of a new process that is under way, since this one has been told to end and has no time to wait
// for it: what it has taken must be answered before it is killed. It tells whether the new one has taken over all the same.
func (d *daemon) endReplacement() bool {
	if !d.replacing {
		return false
	}
	d.cancelReplacement()
	d.reloadPending = false
	return d.replacedBy(<-d.replaced)
}

// replacedBy takes in how that ended. It tells whether the new process has taken over.
func (d *daemon) replacedBy(r replacement) bool {
	d.replacing = false
	if r.err == nil {
		d.log.Info().Int("pid", r.pid).Msg("replaced")
		return true
	}
	d.log.Error().Err(r.err).Msg("replacement failed, this process goes on")
	if d.reloadPending {
		d.reloadPending = false
		d.reload()
	}
	return false
}
