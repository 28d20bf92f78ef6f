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
	phaseLeaving         // told to end; requests are served as before, and clients are asked to leave
	phaseRefusing        // new requests are refused, those that are being served go on
	phaseAbandoned       // what is still being served is broken off
)

// lifecycle holds the phase, which only ever goes forward.
type lifecycle struct {
	current atomic.Int32
	held    func() *snapshot
}

func (l *lifecycle) phase() phase { return phase(l.current.Load()) }

func (l *lifecycle) enter(next phase) { l.current.Store(int32(next)) }

// draining tells whether the process was told to end.
func (l *lifecycle) draining() bool { return l.phase() >= phaseLeaving }

// ready tells whether clients may be sent here.
func (l *lifecycle) ready(held *snapshot) bool { return held.complete() && !l.draining() }

// ServeHTTP answers the platform's check.
func (l *lifecycle) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != "/api/readyz":
		writer.WriteHeader(http.StatusNotFound)
	case l.ready(l.held()):
		writer.WriteHeader(http.StatusOK)
	default:
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// maxLinger is how long a proxy that was told to end goes on taking requests: clients keep its address
	// for up to three times the directory's time to live.
	maxLinger = 3500 * time.Millisecond
	// lingerReserve is the part of the grace period that is left for requests begun while lingering.
	lingerReserve = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the process to end.
	exitReserve = 500 * time.Millisecond
)

// drainPlan tells, from the moment at which the process is told to end, when it stops taking requests and
// when it breaks off those that are left.
type drainPlan struct {
	refuse  time.Duration
	abandon time.Duration
}

func planDrain(grace time.Duration) drainPlan {
	abandon := max(grace-exitReserve, grace/2)
	refuse := min(maxLinger, max(grace-lingerReserve, grace/3))
	return drainPlan{refuse: refuse, abandon: abandon}
}
