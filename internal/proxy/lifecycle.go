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

// drainTimes are the instants of a drain.
type drainTimes struct {
	deadlineCheck time.Time // from which on only requests are taken that end before abandon
	abort         time.Time // when what is still being served is broken off
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

const (
	// maxDrainAccept is how long a proxy that was told to end goes on taking requests: clients keep its address
	// for up to three times the directory's time to live.
	maxDrainAccept = 3500 * time.Millisecond
	// maxUncheckedAccept is how long it takes requests whatever their deadline. The rules forgive that requests are broken off
	// which were sent up to 3 s after SIGTERM; the rest of these is for the time that the signal takes.
	maxUncheckedAccept = 2800 * time.Millisecond
	// inFlightReserve is the part of the grace period that is left for requests begun while lingering.
	inFlightReserve = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the process to end.
	exitReserve = 500 * time.Millisecond
)

// drainPlan tells, from the moment at which the process is told to end, from when on it takes only requests that
// end in time, when it stops taking requests and when it breaks off those that are left.
type drainPlan struct {
	deadlineCheck time.Duration
	reject        time.Duration
	abort         time.Duration
}

// from gives the instants of a plan that begins at a moment.
func (p drainPlan) start(start time.Time) drainTimes {
	return drainTimes{deadlineCheck: start.Add(p.deadlineCheck), abort: start.Add(p.abort)}
}

func planDrain(grace time.Duration) drainPlan {
	abandon := max(grace-exitReserve, grace/2)
	refuse := min(maxDrainAccept, max(grace-inFlightReserve, grace/3))
	return drainPlan{deadlineCheck: min(maxUncheckedAccept, refuse), reject: refuse, abort: abandon}
}
