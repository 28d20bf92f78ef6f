package daemon

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/handover"
)

const (
	shutdownDelay     = 500 * time.Millisecond // time for which new connections are still accepted after SIGTERM
	answerGracePeriod = 10 * time.Second       // time beyond the longest deadline for sending the last answers
	// lastResultsTimeout is the time after the last answer within which canceled attempts return their results.
	lastResultsTimeout = 100 * time.Millisecond
	// readyPollInterval is how often a process that replaces another checks whether it can serve.
	readyPollInterval = 10 * time.Millisecond
)

// signals are the signals that the daemon handles.
type signals struct {
	reload, terminate, replace chan os.Signal
}

// notifySignals must be called before anything else: by the system's default action a SIGHUP would end the process.
func notifySignals() *signals {
	s := &signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.replace, syscall.SIGUSR2)
	return s
}

func (s *signals) stop() {
	signal.Stop(s.reload)
	signal.Stop(s.terminate)
	signal.Stop(s.replace)
}

// run serves until SIGTERM, or until a new process has taken over, and then answers all pending requests. On SIGHUP it
// reloads its configuration, on SIGUSR2 it starts a new process. It logs to out.
func run(getenv func(string) string, out io.Writer, join StartFleet) error {
	signals := notifySignals()
	defer signals.stop()
	inherited, err := handover.Inherit()
	if err != nil {
		return err
	}
	cfg, err := config.Load(getenv, getenv(operatorEnv))
	if err != nil {
		return err
	}
	s := &sidecar{cfg: cfg, inherited: inherited, stopped: make(chan struct{})}
	defer s.close()
	if err := s.build(out, join); err != nil {
		return err
	}
	if err := s.serve(); err != nil {
		return err
	}
	d := &daemon{metrics: s.metrics, getenv: getenv, running: cfg, generation: 1, log: s.log,
		replaced: make(chan replacement, 1), participants: s.reloadParticipants()}
	handedOver, err := d.wait(s, signals)
	if err != nil {
		return err
	}
	return s.shutDown(handedOver)
}

// wait handles signals until the process has to terminate. It reports whether a new process has taken over.
func (d *daemon) wait(s *sidecar, signals *signals) (handedOver bool, err error) {
	for serving := true; serving; {
		select {
		case err := <-s.listeners.Failed():
			return false, err
		case <-signals.reload:
			d.reload()
		case <-signals.replace:
			listeners := s.listeners.Listeners()
			if s.managed != nil { // the new process could not bind the same address and would fail to start
				listeners[s.cfg.Mgmt] = s.managed.Listener()
			}
			d.replace(listeners)
		case r := <-d.replaced:
			handedOver = d.replacedBy(r)
			serving = !handedOver
		case <-signals.terminate:
			serving = false
			s.operations.stopping.Store(true)
		}
	}
	return d.endReplacement() || handedOver, nil
}

// shutDown ends the sidecar after all requests are answered. After a handover the new process goes on serving.
func (s *sidecar) shutDown(handedOver bool) error {
	s.log.Info().Bool("handed over", handedOver).Msg("terminating")
	if handedOver && s.managed != nil {
		s.closeManagement() // the new process answers at the management address now
	}
	s.fleet.stop(handedOver)
	if !handedOver {
		for _, server := range s.listeners.Servers() {
			server.MarkNotReady()
		}
		<-time.After(shutdownDelay)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	err := s.listeners.Shutdown(ctx, handedOver)
	unreturned := unreturnedBytes(s.gate).Reserved
	s.log.Info().Int64("jobs", unreturned[budget.Requests]).Int64("answers", unreturned[budget.Answers]).Msg("ended")
	return err
}

// unreturnedBytes returns the bytes still reserved after all requests are answered. It waits up to lastResultsTimeout for
// results of attempts that have not yet arrived.
func unreturnedBytes(gate *budget.Gate) budget.State {
	s := gate.State()
	end := time.Now().Add(lastResultsTimeout)
	for s.Reserved[budget.Requests]+s.Reserved[budget.Answers] > 0 && time.Now().Before(end) {
		<-time.After(lastResultsTimeout / 50)
		s = gate.State()
	}
	return s
}
