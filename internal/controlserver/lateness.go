package controlserver

import (
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/registry"
	"fieldrelay/internal/settings"
)

// NoteCommitted tells the lateness of the newest state that is committed here. It is cheap for one that is known.
func (s *softState) NoteCommitted(committed *catalog.Snapshot) {
	if committed == nil || committed.Sequence() <= s.committed.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lateness.Committed(s.now(), committed.Sequence())
	s.committed.Store(max(s.committed.Load(), committed.Sequence()))
}

// SetLatenessBounds tells the lateness what bounds hold, and whether this machine holds the agreed state.
func (s *softState) SetLatenessBounds(bounds registry.LagBounds, authoritative bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lateness.SetBounds(bounds)
	if !authoritative {
		s.lateness.SuspendBounds(s.now())
	}
}

// Lateness summarises which agents are behind.
func (s *softState) Lateness() registry.LagStats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lateness.Stats(s.now())
}

// latenessBounds are the bounds of the settings.
func latenessBounds(bounds settings.Bounds) registry.LagBounds {
	return registry.LagBounds{
		Contact: bounds.ContactFor(),
		Apply:   bounds.ApplyWithin(),
		Stretch: bounds.Stretch(),
	}
}

// logLateness writes a line for an event of the lateness.
func (p *process) logLateness(action registry.Action) {
	switch event := action.(type) {
	case registry.AgentLagging:
		p.logger.Warn("agent late",
			zap.String("host", event.Host),
			zap.Uint64("reported", event.Reported),
			zap.Uint64("committed", event.Committed),
			zap.Duration("lag", event.Lag),
			zap.Bool("ready", event.Ready))
	case registry.AgentCaughtUp:
		p.logger.Info("agent late no more",
			zap.String("host", event.Host),
			zap.Uint64("reported", event.Reported),
			zap.Duration("longest", event.Longest),
			zap.Bool("unheard", event.Unheard))
	case registry.ProxyBoundExceeded:
		p.logger.Error("proxy breaks the bound on changes",
			zap.String("host", event.Host),
			zap.Uint64("reported", event.Reported),
			zap.Uint64("committed", event.Committed),
			zap.Duration("lag", event.Lag),
			zap.Duration("bound", event.Bound))
	}
}

// latenessFields are the figures for the counters' line.
func latenessFields(figures registry.LagStats) []zap.Field {
	return []zap.Field{
		zap.Int("agents_behind", figures.Behind),
		zap.Duration("oldest_lag", figures.Oldest),
		zap.String("oldest_lag_host", figures.OldestHost),
		zap.Uint64("late_proxies", figures.Violations),
	}
}

// latenessStatus is what people on call are told.
func latenessStatus(figures registry.LagStats) *pb.LatenessStatus {
	return &pb.LatenessStatus{
		AgentsBehind: uint32(figures.Behind),
		OldestLagMs:  wholeMilliseconds(figures.Oldest),
		OldestHost:   figures.OldestHost,
		LateProxies:  figures.Violations,
	}
}
