package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/reconfig"
)

// daemon handles signals: it reloads the configuration and replaces the process. It is owned by one goroutine.
type daemon struct {
	metrics      *metrics.Registry
	getenv       func(string) string
	running      *config.Config // configuration at the start of the process
	generation   int            // generation number of the settings in force
	participants []reconfig.Participant[*config.Config]
	log          zerolog.Logger

	replacing         bool
	cancelReplacement context.CancelFunc // cancels the start of the new process
	reloadPending     bool               // a reload was requested while replacing
	replaced          chan replacement
}

// reload applies the settings of the files that can change while the sidecar serves. All participants prepare before any
// change takes effect; if a file has a fault, nothing of it is applied.
func (d *daemon) reload() {
	if d.replacing { // the new process reads the files; if it fails to take over, this one reloads them
		d.reloadPending = true
		return
	}
	next, err := config.Reload(d.getenv, d.getenv(operatorEnv))
	if err == nil {
		err = reconfig.Apply(d.participants, next)
	}
	if err != nil {
		d.log.Error().Err(err).Int("generation", d.generation).Msg("configuration not reloaded")
		d.metrics.Reconfigured(false)
		return
	}
	d.generation++
	d.metrics.Reconfigured(true)
	d.log.Info().Int("generation", d.generation).Str("discovery", next.Discovery).
		Strs("at next start", d.running.Changed(next)).Msg("configuration reloaded")
}

// reloadParticipants returns the components that a reload changes, in the order in which their changes take effect.
func (s *sidecar) reloadParticipants() []reconfig.Participant[*config.Config] {
	return []reconfig.Participant[*config.Config]{
		{Name: "front", Prepare: s.prepareListeners},
		{Name: "log", Prepare: func(next *config.Config) (reconfig.Change, error) {
			return reconfig.Do(func() { s.hub.Set(next.Operator.Log) }), nil
		}},
		{Name: "classes", Prepare: func(next *config.Config) (reconfig.Change, error) {
			return reconfig.Do(func() { s.setClasses(next.Logic) }), nil
		}},
		{Name: "fleet", Prepare: s.fleet.prepare},
		{Name: "list", Prepare: func(next *config.Config) (reconfig.Change, error) {
			return reconfig.Do(func() { s.list.SetAddr(next.Discovery) }), nil
		}},
	}
}

func (s *sidecar) prepareListeners(next *config.Config) (reconfig.Change, error) {
	next.Listen = s.cfg.Listen // the platform's own address does not change
	change, err := s.listeners.Prepare(next.Fronts())
	if err != nil {
		return nil, err // a nil *frontend.Change would be a reconfig.Change that is not nil
	}
	return change, nil
}

// setClasses applies new classes and tenants.
func (s *sidecar) setClasses(next logic.Config) {
	names := classNames(next.Classes)
	s.metrics.List(names...)
	s.relay.Reconfigure(next, func(err error) {
		if err != nil {
			s.log.Error().Err(err).Msg("classes not changed")
		}
	})
	s.fleet.setTenants(next.Tenants)
	s.classes.Set(next.Classes, next.Tenants) // after the change is in the relay's mailbox, which handles it before any request of a new class
	s.log.Info().Strs("classes", names).Int("attempts", next.Limits.MaxAttempts).Msg("classes in force")
}

// classNames returns the names of classes, in the order of the classes.
func classNames(classes []logic.Class) []string {
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	return names
}
