package proxy

import (
	"net/http"
	"sync/atomic"
	"time"
)

// phase is a stage of a proxy's life.
type phase int32

const (
	phaseServing   phase = iota
	phaseDraining        // told to end; requests are served as before, and clients are asked to leave
	phaseRejecting       // new requests are refused, those that are being served go on
	phaseAborting        // what is still being served is broken off
)

// lifecycle holds the phase, which only ever goes forward.
type lifecycle struct {
	current    atomic.Int32
	snapshot   func() *snapshot
	drainTimes atomic.Pointer[drainTimes] // nil: not told to end
}

func (l *lifecycle) phase() phase { return phase(l.current.Load()) }

func (l *lifecycle) enter(next phase) { l.current.Store(int32(next)) }

// leave begins the drain: the process was told to end.
func (l *lifecycle) drain(times drainTimes) {
	l.drainTimes.Store(&times)
	l.enter(phaseDraining)
}

// takes tells whether a request may be taken that lasts until its deadline at most. Shortly after the process was
// told to end, every request may be: clients have hardly heard of it. Later ones must not be broken off.
func (l *lifecycle) accepts(now, deadline time.Time) bool {
	times := l.drainTimes.Load()
	return times == nil || now.Before(times.deadlineCheck) || deadline.Before(times.abort)
}

// draining tells whether the process was told to end.
func (l *lifecycle) draining() bool { return l.phase() >= phaseDraining }

// ready tells whether clients may be sent here.
func (l *lifecycle) ready(current *snapshot) bool { return current.complete() && !l.draining() }

// ServeHTTP answers the platform's check.
func (l *lifecycle) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != "/api/readyz":
		writer.WriteHeader(http.StatusNotFound)
	case l.ready(l.snapshot()):
		writer.WriteHeader(http.StatusOK)
	default:
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
