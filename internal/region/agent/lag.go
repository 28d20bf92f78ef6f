package agent

import (
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/lag"
)

// Thresholds of lags. A line is logged when a lag rises above its threshold, and another line when the lag falls below
// the threshold again.
const (
	// replicaLagThreshold applies to the time that the replica has lacked a change advertised to this agent.
	replicaLagThreshold = 500 * time.Millisecond
	// proxyLagThreshold applies to the time that the proxy has not reported a change that the replica has.
	proxyLagThreshold = 500 * time.Millisecond
	// unconfirmedThreshold applies to the time since a control machine with authority last had nothing newer than the
	// replica.
	unconfirmedThreshold = 2 * time.Second
)

// lagMonitor measures the propagation delay of changes of the control state, by the monotonic clock of this machine:
// from the advertisement to the replica of this agent, and from the replica to the proxy. No decision depends on it.
type lagMonitor struct {
	advertised   lag.Timeline // sequences advertised by control machines and other agents
	applied      lag.Timeline // sequences of the replica
	reported     proxyReport
	lastProxyLag time.Duration // last measured time from the replica's adoption of a sequence to the proxy's report of it
	maxProxyLag  time.Duration // maximum of lastProxyLag

	lastSource  updateSource  // source of the last increase of the replica's sequence
	confirmedAt time.Duration // time at which a control machine with authority last had nothing newer

	replicaEpisode     lag.Episode
	proxyEpisode       lag.Episode
	unconfirmedEpisode lag.Episode
}

// proxyReport is the last sequence that a proxy process has reported.
type proxyReport struct {
	incarnation   uint64        // incarnation of the proxy process
	sequence      uint64        // last reported sequence
	firstReportAt time.Duration // time of the first report of that process; 0: no proxy is known
}

// observe records the state after an event: the sequence of the replica and the last status of the proxy, nil if there
// is none.
func (m *lagMonitor) observe(now time.Duration, received event, sequence uint64, proxy *pb.ProxyStatus) {
	m.advertised.Record(advertisedSequence(received), now)
	if sequence > m.applied.Newest() {
		m.advertised.Record(sequence, now)
		m.applied.Record(sequence, now)
		m.lastSource = updateSourceOf(received)
	}
	if proxy != nil {
		m.observeProxy(now, proxy)
	}
}

// observeProxy measures the proxy lag when the proxy reports a higher sequence.
func (m *lagMonitor) observeProxy(now time.Duration, status *pb.ProxyStatus) {
	if status.GetIncarnation() != m.reported.incarnation || m.reported.firstReportAt == 0 {
		m.reported = proxyReport{incarnation: status.GetIncarnation(), sequence: status.GetSequence(), firstReportAt: now}
		return
	}
	if status.GetSequence() <= m.reported.sequence {
		return
	}
	if _, lagged := m.applied.FirstMissing(m.reported.sequence); lagged {
		m.lastProxyLag = m.proxyLag(now)
		m.maxProxyLag = max(m.maxProxyLag, m.lastProxyLag)
	}
	m.reported.sequence = status.GetSequence()
}

// replicaLag returns how long the replica has lacked an advertised change; 0 if it lacks no advertised change.
func (m *lagMonitor) replicaLag(now time.Duration) time.Duration {
	return m.advertised.Lag(now, m.applied.Newest(), 0)
}

// proxyLag returns how long the proxy has not reported a change that the replica has, 0 if the proxy has reported all
// changes or no proxy is known.
func (m *lagMonitor) proxyLag(now time.Duration) time.Duration {
	if m.reported.firstReportAt == 0 {
		return 0
	}
	return m.applied.Lag(now, m.reported.sequence, m.reported.firstReportAt)
}

// confirm records that a control machine with authority had nothing newer than the replica.
func (m *lagMonitor) confirm(now time.Duration) { m.confirmedAt = now }

// log writes a log line when a lag rises above its threshold, and another line when the lag falls below it again.
func (m *lagMonitor) log(now time.Duration, logger *zap.Logger) {
	m.logReplicaLag(now, logger)
	m.logProxyLag(now, logger)
	m.logUnconfirmed(now, logger)
}

func (m *lagMonitor) logReplicaLag(now time.Duration, logger *zap.Logger) {
	current := m.replicaLag(now)
	switch m.replicaEpisode.Update(current, replicaLagThreshold) {
	case lag.Began:
		logger.Warn("replica lagging",
			zap.Uint64("sequence", m.applied.Newest()),
			zap.Uint64("advertised_sequence", m.advertised.Newest()),
			zap.Duration("lag", current))
	case lag.Ended:
		logger.Info("replica caught up",
			zap.Uint64("sequence", m.applied.Newest()),
			zap.Duration("max_lag", m.replicaEpisode.Peak()),
			zap.Stringer("source", m.lastSource))
	}
}

func (m *lagMonitor) logProxyLag(now time.Duration, logger *zap.Logger) {
	current := m.proxyLag(now)
	switch m.proxyEpisode.Update(current, proxyLagThreshold) {
	case lag.Began:
		logger.Warn("proxy lagging",
			zap.Uint64("sequence", m.applied.Newest()),
			zap.Uint64("proxy_sequence", m.reported.sequence),
			zap.Duration("lag", current))
	case lag.Ended:
		logger.Info("proxy caught up",
			zap.Uint64("proxy_sequence", m.reported.sequence),
			zap.Duration("max_lag", m.proxyEpisode.Peak()))
	}
}

func (m *lagMonitor) logUnconfirmed(now time.Duration, logger *zap.Logger) {
	current := now - m.confirmedAt
	switch m.unconfirmedEpisode.Update(current, unconfirmedThreshold) {
	case lag.Began:
		logger.Warn("state unconfirmed",
			zap.Uint64("sequence", m.applied.Newest()),
			zap.Duration("unconfirmed", current))
	case lag.Ended:
		logger.Info("state confirmed",
			zap.Uint64("sequence", m.applied.Newest()),
			zap.Duration("max_unconfirmed", m.unconfirmedEpisode.Peak()))
	}
}

// fields returns the lags for the counters log line.
func (m *lagMonitor) fields(now time.Duration) []zap.Field {
	return []zap.Field{
		zap.Uint64("advertised_sequence", m.advertised.Newest()),
		zap.Duration("replica_lag", m.replicaLag(now)),
		zap.Duration("proxy_lag", m.proxyLag(now)),
		zap.Duration("proxy_lag_last", m.lastProxyLag),
		zap.Duration("proxy_lag_max", m.maxProxyLag),
		zap.Duration("unconfirmed", now-m.confirmedAt),
	}
}
