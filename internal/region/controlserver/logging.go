package controlserver

import (
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/registry"
)

// countersInterval is the interval at which the counters are logged.
const countersInterval = 30 * time.Second

// logRoleChanges logs changes of this machine's authority, of the requirement that it lacks for authority, and of its
// ownership of the polling role.
func (p *process) logRoleChanges(status control.Status) {
	if status.Authoritative != p.wasAuthoritative || status.AuthorityGap != p.lastAuthorityGap {
		p.wasAuthoritative = status.Authoritative
		p.lastAuthorityGap = status.AuthorityGap
		p.logger.Info("authority changed",
			zap.Bool("authoritative", status.Authoritative),
			zap.String("missing", string(status.AuthorityGap)))
	}
	if owner := p.soft.IsOwner(); owner != p.wasOwner {
		p.wasOwner = owner
		p.logger.Info("server list polling role changed", zap.Bool("owner", owner))
	}
}

// logLagAction logs an action of the lag monitor; other actions are ignored.
func (p *process) logLagAction(action registry.Action) {
	switch action := action.(type) {
	case registry.AgentLagging:
		p.logger.Warn("agent lagging",
			zap.String("host", action.Host),
			zap.Uint64("reported_sequence", action.Reported),
			zap.Uint64("committed_sequence", action.Committed),
			zap.Duration("lag", action.Lag),
			zap.Bool("ready", action.Ready))
	case registry.AgentCaughtUp:
		p.logger.Info("agent lag ended",
			zap.String("host", action.Host),
			zap.Uint64("reported_sequence", action.Reported),
			zap.Duration("max_lag", action.LongestLag),
			zap.Bool("contact_lost", action.LostContact))
	case registry.ProxyBoundExceeded:
		p.logger.Error("proxy exceeded the lag bound",
			zap.String("host", action.Host),
			zap.Uint64("reported_sequence", action.Reported),
			zap.Uint64("committed_sequence", action.Committed),
			zap.Duration("lag", action.Lag),
			zap.Duration("bound", action.Bound))
	}
}

// logCounters logs the counters since the start, and present values.
func (p *process) logCounters() {
	snapshot := p.soft.Snapshot()
	fields := []zap.Field{
		zap.Int64("orders_acknowledged", p.operatorCounters.Acknowledged.Load()),
		zap.Int64("orders_rejected", p.operatorCounters.Rejected.Load()),
		zap.Int64("orders_unavailable", p.operatorCounters.Unavailable.Load()),
		zap.Int64("lookups", p.operatorCounters.Lookups.Load()),
		zap.Int64("polls_succeeded", p.pollsSucceeded.Load()),
		zap.Int64("polls_failed", p.pollsFailed.Load()),
		zap.Int("agents_live", snapshot.members.Live()),
		zap.Int("servers", snapshot.list.Len()),
	}
	fields = append(fields, p.coordinationFields()...)
	fields = append(fields, lagFields(p.soft.LagStats())...)
	p.logger.Info("counters", append(fields, p.watchCounters.fields()...)...)
}

// coordinationFields returns the log fields of the calls of applications for the log line with the counters.
func (p *process) coordinationFields() []zap.Field {
	status := p.node.CoordinationStatus()
	return []zap.Field{
		zap.Int64("calls_executed", p.callCounters.Executed.Load()),
		zap.Int64("calls_refused", p.callCounters.Refused.Load()),
		zap.Int64("calls_not_executed", p.callCounters.NotExecuted.Load()),
		zap.Int64("calls_unknown", p.callCounters.Unknown.Load()),
		zap.Int("calls_pending", status.Pending),
		zap.Int("watches_waiting", status.Watches),
		zap.Int("registers", status.Registers),
		zap.Int("register_bytes", status.Bytes),
		zap.Int("registers_proposing", status.Proposing),
		zap.Uint64("register_epoch", status.Epoch),
	}
}

// lagFields returns the log fields of the lag monitor for the log line with the counters.
func lagFields(stats registry.LagStats) []zap.Field {
	return []zap.Field{
		zap.Int("agents_lagging", stats.Lagging),
		zap.Duration("max_lag", stats.LongestLag),
		zap.String("max_lag_host", stats.LongestLagHost),
		zap.Uint64("lag_bound_exceeded", stats.Violations),
	}
}
