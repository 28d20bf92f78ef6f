package agent

import (
	"time"

	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/lag"
)

// Limits above which a delay is worth a line of the log, and at whose end another.
const (
	// copyLate is for a change that somebody told of and that this agent lacks.
	copyLate = 500 * time.Millisecond
	// proxyLate is for a change that this agent holds and that its proxy has not reported.
	proxyLate = 500 * time.Millisecond
	// unconfirmedLate is for the state held: since a control machine that holds the agreed state last knew no newer one.
	unconfirmedLate = 2 * time.Second
)

// lateness measures, by this machine's steady clock, where a change of the control state is late: on its way to this
// agent, or from here to the proxy. It decides nothing.
type lateness struct {
	told     lag.Timeline // sequences that anybody told of
	held     lag.Timeline // sequences that this agent held
	reported proxyHolding
	lastFeed time.Duration // from holding a sequence to the proxy's report of it
	maxFeed  time.Duration

	broughtBy   delivery // of the sequence held
	confirmedAt time.Duration

	copyBehind  lag.Episode
	proxyBehind lag.Episode
	unconfirmed lag.Episode
}

// proxyHolding is what one process of the proxy reported to hold.
type proxyHolding struct {
	incarnation uint64
	sequence    uint64
	since       time.Duration // when the process was first heard of
}

// observe looks at the state after an event.
func (l *lateness) observe(now time.Duration, happened event, held uint64, proxy *pb.ProxyStatus) {
	l.told.Record(toldSequence(happened), now)
	if held > l.held.Newest() {
		l.told.Record(held, now)
		l.held.Record(held, now)
		l.broughtBy = deliveryOf(happened)
	}
	if proxy != nil {
		l.observeProxy(now, proxy)
	}
}

// observeProxy measures how long the proxy took for what it reports.
func (l *lateness) observeProxy(now time.Duration, status *pb.ProxyStatus) {
	if status.GetIncarnation() != l.reported.incarnation || l.reported.since == 0 {
		l.reported = proxyHolding{incarnation: status.GetIncarnation(), sequence: status.GetSequence(), since: now}
		return
	}
	if status.GetSequence() <= l.reported.sequence {
		return
	}
	if _, lacked := l.held.FirstMissing(l.reported.sequence); lacked {
		l.lastFeed = l.feedLag(now)
		l.maxFeed = max(l.maxFeed, l.lastFeed)
	}
	l.reported.sequence = status.GetSequence()
}

// copyLag is how long this agent has lacked a change that it was told of.
func (l *lateness) copyLag(now time.Duration) time.Duration {
	return l.told.Lag(now, l.held.Newest(), 0)
}

// feedLag is how long the proxy has lacked a change that this agent holds, as far as is known.
func (l *lateness) feedLag(now time.Duration) time.Duration {
	if l.reported.since == 0 {
		return 0
	}
	return l.held.Lag(now, l.reported.sequence, l.reported.since)
}

// confirm notes that a control machine which holds the agreed state knew nothing newer than this agent.
func (l *lateness) confirm(now time.Duration) { l.confirmedAt = now }

// log writes a line when a delay goes over its limit, and when it is back.
func (l *lateness) log(now time.Duration, logger *zap.Logger) {
	copyLag := l.copyLag(now)
	switch l.copyBehind.Update(copyLag, copyLate) {
	case lag.Began:
		logger.Warn("copy late", zap.Uint64("held", l.held.Newest()), zap.Uint64("told", l.told.Newest()), zap.Duration("lag", copyLag))
	case lag.Ended:
		logger.Info("copy up to date again", zap.Uint64("held", l.held.Newest()), zap.Duration("longest", l.copyBehind.Longest()),
			zap.Stringer("by", l.broughtBy))
	}
	feedLag := l.feedLag(now)
	switch l.proxyBehind.Update(feedLag, proxyLate) {
	case lag.Began:
		logger.Warn("proxy late", zap.Uint64("held", l.held.Newest()), zap.Uint64("reported", l.reported.sequence), zap.Duration("lag", feedLag))
	case lag.Ended:
		logger.Info("proxy up to date again", zap.Uint64("reported", l.reported.sequence), zap.Duration("longest", l.proxyBehind.Longest()))
	}
	switch l.unconfirmed.Update(now-l.confirmedAt, unconfirmedLate) {
	case lag.Began:
		logger.Warn("state unconfirmed", zap.Uint64("held", l.held.Newest()), zap.Duration("for", now-l.confirmedAt))
	case lag.Ended:
		logger.Info("state confirmed again", zap.Uint64("held", l.held.Newest()), zap.Duration("longest", l.unconfirmed.Longest()))
	}
}

// fields are the figures for the counters' line.
func (l *lateness) fields(now time.Duration) []zap.Field {
	return []zap.Field{
		zap.Uint64("told_sequence", l.told.Newest()),
		zap.Duration("copy_lag", l.copyLag(now)),
		zap.Duration("proxy_lag", l.feedLag(now)),
		zap.Duration("proxy_lag_last", l.lastFeed),
		zap.Duration("proxy_lag_max", l.maxFeed),
		zap.Duration("unconfirmed", now-l.confirmedAt),
	}
}
