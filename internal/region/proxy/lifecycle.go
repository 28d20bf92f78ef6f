package proxy

import (
	"net/http"
	"sync/atomic"
	"time"
)

// phase is a phase in the life of the process.
type phase int32

const (
	phaseServing   phase = iota // requests are accepted
	phaseDraining               // shutdown has begun: requests are accepted, and connections are closed after responses
	phaseRejecting              // new requests are rejected, and requests in flight continue
	phaseAborting               // requests in flight are canceled
)

// lifecycle holds the phase, which only advances, and serves the platform's readiness check. It is safe for concurrent
// use.
type lifecycle struct {
	current    atomic.Int32
	snapshot   func() *snapshot
	drainTimes atomic.Pointer[drainTimes] // nil until the shutdown begins
}

func (l *lifecycle) phase() phase { return phase(l.current.Load()) }

func (l *lifecycle) enter(next phase) { l.current.Store(int32(next)) }

// drain enters the draining phase with the given times.
func (l *lifecycle) drain(times drainTimes) {
	l.drainTimes.Store(&times)
	l.enter(phaseDraining)
}

// accepts reports whether a request that arrives now is accepted, given when it is expected to end and when it ends at the
// latest; see drainTimes.accepts.
func (l *lifecycle) accepts(now, expectedEnd, deadline time.Time) bool {
	times := l.drainTimes.Load()
	return times == nil || times.accepts(now, expectedEnd, deadline)
}

// draining reports whether the shutdown has begun.
func (l *lifecycle) draining() bool { return l.phase() >= phaseDraining }

// ready reports whether clients may be directed to this proxy.
func (l *lifecycle) ready(current *snapshot) bool { return current.complete() && !l.draining() }

// ServeHTTP serves the platform's readiness check.
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
