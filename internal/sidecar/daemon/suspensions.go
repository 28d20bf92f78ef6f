package daemon

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/relay"
	"fieldrelay/internal/sidecar/verdict"
)

// fleetSuspensions applies the fleet's statements on servers to the relay, and stores them. Suspensions by hand at this
// sidecar are tracked separately: a server takes requests again once it is suspended neither by the fleet nor by hand.
type fleetSuspensions struct {
	relay  *relay.Relay
	stored *storedState
	log    zerolog.Logger

	mu      sync.Mutex
	byFleet []string        // names of servers that the fleet has suspended
	byHand  map[string]bool // names of servers suspended by hand
}

func newFleetSuspensions(r *relay.Relay, stored *storedState, log zerolog.Logger) *fleetSuspensions {
	return &fleetSuspensions{relay: r, stored: stored, log: log, byHand: map[string]bool{}}
}

// restore applies and returns the statements that an earlier process has stored.
func (s *fleetSuspensions) restore() []verdict.Statement {
	var statements []verdict.Statement
	if err := s.stored.load(keyFleetStatements, &statements); err != nil {
		s.log.Warn().Err(err).Msg("suspensions by the fleet not restored")
		return nil
	}
	if len(statements) > 0 {
		s.apply(statements)
	}
	return statements
}

// onChanged applies and stores the current statements.
func (s *fleetSuspensions) onChanged(all []verdict.Statement) {
	s.apply(all)
	if err := s.stored.save(keyFleetStatements, all); err != nil {
		s.log.Error().Err(err).Msg("suspensions by the fleet not stored")
	}
}

// apply suspends the servers that the statements suspend, and restores those that they no longer suspend.
func (s *fleetSuspensions) apply(all []verdict.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next []string
	for _, w := range all {
		if w.Suspended {
			next = append(next, w.Node)
		}
	}
	done := func(event, server string) func([]string, error) {
		return func(_ []string, err error) {
			s.log.Info().Str("server", server).Err(err).Msg(event)
		}
	}
	for _, server := range next {
		if !slices.Contains(s.byFleet, server) {
			s.relay.Suspend(server, false, done("suspended for the fleet", server))
		}
	}
	for _, server := range s.byFleet {
		if !slices.Contains(next, server) && !s.byHand[server] {
			s.relay.Restore(server, done("restored for the fleet", server))
		}
	}
	s.byFleet = next
}

// reportDraining passes new statements on draining servers to the relay.
func (s *fleetSuspensions) reportDraining(updates []verdict.Statement) {
	for _, w := range updates {
		s.relay.ReportDrain(w.Node, w.Since, w.Suspended)
	}
}

// setByHand records that a server was suspended by hand, or restored. It reports whether the fleet has it suspended.
func (s *fleetSuspensions) setByHand(server string, suspended bool) (byFleet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspended {
		s.byHand[server] = true
	} else {
		delete(s.byHand, server)
	}
	return slices.Contains(s.byFleet, server)
}

// byHandOnly returns the suspended servers without those that only the fleet has suspended.
func (s *fleetSuspensions) byHandOnly(suspended []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(suspended), func(name string) bool {
		return slices.Contains(s.byFleet, name) && !s.byHand[name]
	})
}
