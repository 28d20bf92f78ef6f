package agent

import (
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/lag"
)

// Limits above which a delay is worth a line of the log, and at whose end another.
const (
	// replicaLagThreshold is for a change that somebody told of and that this agent lacks.
	replicaLagThreshold = 500 * time.Millisecond
	// proxyLagThreshold is for a change that this agent holds and that its proxy has not reported.
	proxyLagThreshold = 500 * time.Millisecond
	// unconfirmedThreshold is for the state held: since a control machine that holds the agreed state last knew no newer one.
	unconfirmedThreshold = 2 * time.Second
)

// lateness measures, by this machine's steady clock, where a change of the control state is late: on its way to this
// agent, or from here to the proxy. It decides nothing.
type lagMonitor struct {
	advertised   lag.Timeline // sequences that anybody told of
	applied      lag.Timeline // sequences that this agent held
	reported     proxyReport
	lastProxyLag time.Duration // from holding a sequence to the proxy's report of it
	maxProxyLag  time.Duration

	lastSource  updateSource // of the sequence held
	confirmedAt time.Duration

	replicaEpisode     lag.Episode
	proxyEpisode       lag.Episode
	unconfirmedEpisode lag.Episode
}

// proxyReport is what one process of the proxy reported to hold.
type proxyReport struct {
	incarnation   uint64
	sequence      uint64
	firstReportAt time.Duration // when the process was first heard of
}

// observe looks at the state after an event.
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

// observeProxy measures how long the proxy took for what it reports.
func (m *lagMonitor) observeProxy(now time.Duration, status *pb.ProxyStatus) {
	if status.GetIncarnation() != m.reported.incarnation || m.reported.firstReportAt == 0 {
		m.reported = proxyReport{incarnation: status.GetIncarnation(), sequence: status.GetSequence(), firstReportAt: now}
		return
	}
	if status.GetSequence() <= m.reported.sequence {
		return
	}
	if _, lacked := m.applied.FirstMissing(m.reported.sequence); lacked {
		m.lastProxyLag = m.proxyLag(now)
		m.maxProxyLag = max(m.maxProxyLag, m.lastProxyLag)
	}
	m.reported.sequence = status.GetSequence()
}

// replicaLag is how long this agent has lacked a change that it was told of.
func (m *lagMonitor) replicaLag(now time.Duration) time.Duration {
	return m.advertised.Lag(now, m.applied.Newest(), 0)
}

// proxyLag is how long the proxy has lacked a change that this agent holds, as far as is known.
func (m *lagMonitor) proxyLag(now time.Duration) time.Duration {
	if m.reported.firstReportAt == 0 {
		return 0
	}
	return m.applied.Lag(now, m.reported.sequence, m.reported.firstReportAt)
}

// confirm notes that a control machine which holds the agreed state knew nothing newer than this agent.
func (m *lagMonitor) confirm(now time.Duration) { m.confirmedAt = now }

// log writes a line when a delay goes over its limit, and when it is back.
func (m *lagMonitor) log(now time.Duration, logger *zap.Logger) {
	replicaLag := m.replicaLag(now)
	switch m.replicaEpisode.Update(replicaLag, replicaLagThreshold) {
	case lag.Began:
		logger.Warn("copy late", zap.Uint64("held", m.applied.Newest()), zap.Uint64("told", m.advertised.Newest()), zap.Duration("lag", replicaLag))
	case lag.Ended:
		logger.Info("copy up to date again", zap.Uint64("held", m.applied.Newest()), zap.Duration("longest", m.replicaEpisode.Longest()),
			zap.Stringer("by", m.lastSource))
	}
	proxyLag := m.proxyLag(now)
	switch m.proxyEpisode.Update(proxyLag, proxyLagThreshold) {
	case lag.Began:
		logger.Warn("proxy late", zap.Uint64("held", m.applied.Newest()), zap.Uint64("reported", m.reported.sequence), zap.Duration("lag", proxyLag))
	case lag.Ended:
		logger.Info("proxy up to date again", zap.Uint64("reported", m.reported.sequence), zap.Duration("longest", m.proxyEpisode.Longest()))
	}
	switch m.unconfirmedEpisode.Update(now-m.confirmedAt, unconfirmedThreshold) {
	case lag.Began:
		logger.Warn("state unconfirmed", zap.Uint64("held", m.applied.Newest()), zap.Duration("for", now-m.confirmedAt))
	case lag.Ended:
		logger.Info("state confirmed again", zap.Uint64("held", m.applied.Newest()), zap.Duration("longest", m.unconfirmedEpisode.Longest()))
	}
}

// fields are the figures for the counters' line.
func (m *lagMonitor) fields(now time.Duration) []zap.Field {
	return []zap.Field{
		zap.Uint64("told_sequence", m.advertised.Newest()),
		zap.Duration("copy_lag", m.replicaLag(now)),
		zap.Duration("proxy_lag", m.proxyLag(now)),
		zap.Duration("proxy_lag_last", m.lastProxyLag),
		zap.Duration("proxy_lag_max", m.maxProxyLag),
		zap.Duration("unconfirmed", now-m.confirmedAt),
	}
}
