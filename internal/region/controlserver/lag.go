package controlserver

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/registry"
	"fieldrelay/internal/region/settings"
)

// ObserveCommitted reports the newest snapshot committed at this machine to the lag monitor. It takes no lock if the
// snapshot is already known.
func (s *softState) ObserveCommitted(committed *catalog.Snapshot) {
	if committed == nil || committed.Sequence() <= s.observedSequence.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lagMonitor.RecordCommit(s.now(), committed.Sequence())
	s.observedSequence.Store(max(s.observedSequence.Load(), committed.Sequence()))
}

// SetLagBounds sets the bounds of the lag monitor. If this machine is not authoritative, it counts as unsynchronized,
// and the bounds are extended accordingly.
func (s *softState) SetLagBounds(bounds registry.LagBounds, authoritative bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lagMonitor.SetBounds(bounds)
	if !authoritative {
		s.lagMonitor.ObserveUnsynchronized(s.now())
	}
}

// LagStats returns how far agents lag behind the committed state.
func (s *softState) LagStats() registry.LagStats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lagMonitor.Stats(s.now())
}

// lagBounds converts bounds of the settings to bounds of the lag monitor.
func lagBounds(bounds settings.Bounds) registry.LagBounds {
	return registry.LagBounds{
		MinContact:              bounds.ContactFor(),
		ApplyDelay:              bounds.ApplyWithin(),
		UnsynchronizedAllowance: bounds.Stretch(),
	}
}

// lagStatus returns the part of a status report about lagging agents.
func lagStatus(stats registry.LagStats) *pb.LagStatus {
	return &pb.LagStatus{
		AgentsBehind: uint32(stats.Lagging),
		OldestLagMs:  milliseconds(stats.LongestLag),
		OldestHost:   stats.LongestLagHost,
		LateProxies:  stats.Violations,
	}
}
