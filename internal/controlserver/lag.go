package controlserver

import (
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/registry"
	"fieldrelay/internal/settings"
)

// ObserveCommitted tells the lateness of the newest state that is committed here. It is cheap for one that is known.
func (s *softState) ObserveCommitted(committed *catalog.Snapshot) {
	if committed == nil || committed.Sequence() <= s.observedSequence.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lagMonitor.Committed(s.now(), committed.Sequence())
	s.observedSequence.Store(max(s.observedSequence.Load(), committed.Sequence()))
}

// SetLagBounds tells the lateness what bounds hold, and whether this machine holds the agreed state.
func (s *softState) SetLagBounds(bounds registry.LagBounds, authoritative bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lagMonitor.SetBounds(bounds)
	if !authoritative {
		s.lagMonitor.SuspendBounds(s.now())
	}
}

// LagStats summarises which agents are behind.
func (s *softState) LagStats() registry.LagStats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lagMonitor.Stats(s.now())
}

// lagBounds are the bounds of the settings.
func lagBounds(bounds settings.Bounds) registry.LagBounds {
	return registry.LagBounds{
		Contact: bounds.ContactFor(),
		Apply:   bounds.ApplyWithin(),
		Stretch: bounds.Stretch(),
	}
}

// logLagEvent writes a line for an event of the lateness.
func (p *process) logLagEvent(action registry.Action) {
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

// lagFields are the figures for the counters' line.
func lagFields(figures registry.LagStats) []zap.Field {
	return []zap.Field{
		zap.Int("agents_behind", figures.Behind),
		zap.Duration("oldest_lag", figures.Oldest),
		zap.String("oldest_lag_host", figures.OldestHost),
		zap.Uint64("late_proxies", figures.Violations),
	}
}

// lagStatus is what people on call are told.
func lagStatus(figures registry.LagStats) *pb.LatenessStatus {
	return &pb.LatenessStatus{
		AgentsBehind: uint32(figures.Behind),
		OldestLagMs:  milliseconds(figures.Oldest),
		OldestHost:   figures.OldestHost,
		LateProxies:  figures.Violations,
	}
}
