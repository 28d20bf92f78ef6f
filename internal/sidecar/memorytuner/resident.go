// Package memorytuner compares the resident memory of the process with what its byte budget counts, and sets the garbage
// collector and the size of the budget accordingly. Plan makes the decisions; Watch reads the sizes and applies them. How
// operators see it is described in docs/sidecar/limits.md.
package memorytuner

import (
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
)

const (
	checkInterval         = time.Second            // between two checks
	pressureCheckInterval = 200 * time.Millisecond // between two checks under pressure or before memory is returned
	minFreeInterval       = 10 * time.Second       // between two returns of surplus memory to the system
	calmBeforeFree        = time.Second            // time without pressure before memory is returned to the system
)

// Watch adjusts a gate and the garbage collector to the resident memory until stop is closed. It calls relieve on its own
// goroutine at every check under pressure, with the current level.
func Watch(p Plan, gate *budget.Gate, relieve func(budget.Pressure), log zerolog.Logger, stop <-chan struct{}) {
	w := &watcher{plan: p, gate: gate, relieve: relieve, log: log, fullSize: gate.State().Total}
	w.check()
	for {
		wait := checkInterval
		if w.pressure > budget.NoPressure || w.freePending {
			wait = pressureCheckInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-gate.PressureChanged():
			w.applyPressure()
		case <-timer.C:
			w.check()
		case <-stop:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// watcher is the state of Watch. It is owned by one goroutine.
type watcher struct {
	plan        Plan
	gate        *budget.Gate
	relieve     func(budget.Pressure)
	log         zerolog.Logger
	fullSize    int64 // initial size of the budget
	sizes       Sizes // sizes at the last check
	pressure    budget.Pressure
	gcPercent   int   // GC percentage last set
	limit       int64 // soft limit of the Go runtime last set
	freePending bool  // memory is to be returned to the system
	calmSince   time.Time
	lastFree    time.Time
	shrunkBy    int64 // bytes by which the budget has shrunk since it had its full size
}

// applyPressure logs each pressure level that begins or ends, calls relieve under pressure, and sets the collector.
func (w *watcher) applyPressure() {
	s := w.gate.State()
	for w.pressure < s.Pressure {
		w.pressure++
		w.log.Warn().Stringer("degree", w.pressure).Int64("held", s.Sum()).Int64("of", s.Total).Int("waiting", s.Waiting).
			Msg("memory pressure begins")
	}
	for w.pressure > s.Pressure {
		w.log.Info().Stringer("degree", w.pressure).Int64("held", s.Sum()).Int64("of", s.Total).Msg("memory pressure ends")
		w.pressure--
		w.calmSince = time.Now()
	}
	if w.pressure > budget.NoPressure {
		w.freePending = true
		w.relieve(w.pressure)
	}
	w.setCollector(s)
}

func (w *watcher) setCollector(s budget.State) {
	limit, percent := w.plan.Collector(w.sizes, s.Sum())
	if limit != w.limit {
		w.limit = limit
		debug.SetMemoryLimit(limit)
	}
	if percent != w.gcPercent {
		w.gcPercent = percent
		debug.SetGCPercent(percent)
	}
}

// check compares the budget with the resident memory. If the system does not report sizes, the budget keeps its size.
func (w *watcher) check() {
	sizes, err := Read()
	if err == nil {
		w.sizes = sizes
	}
	w.applyPressure()
	if err != nil {
		return
	}
	s := w.gate.State()
	w.resize(s)
	w.freeSurplus(s)
}

// resize sets the size of the budget according to the resident memory.
func (w *watcher) resize(s budget.State) {
	size, by := w.plan.Resize(s.Total, w.fullSize, w.sizes.Resident)
	if size != s.Total {
		w.gate.Resize(size)
	}
	switch {
	case by > 0 && w.shrunkBy == 0:
		w.log.Warn().Int64("resident", w.sizes.Resident).Int64("limit", w.plan.Limit).Int64("held", s.Sum()).
			Int64("by", by).Msg("resident memory exceeds what the byte budget accounts for: budget shrinks")
		w.shrunkBy = by
	case by > 0:
		w.shrunkBy += by
	case w.shrunkBy > 0 && size == w.fullSize:
		w.log.Info().Int64("in all", w.shrunkBy).Msg("byte budget is back at its full size")
		w.shrunkBy = 0
	}
}

// freeSurplus returns unused memory to the system after pressure or a burst, once there was no pressure for calmBeforeFree.
func (w *watcher) freeSurplus(s budget.State) {
	if w.pressure > budget.NoPressure {
		return
	}
	if !w.freePending && time.Since(w.lastFree) > minFreeInterval && w.plan.Surplus(w.sizes, s.Sum()) {
		w.freePending, w.calmSince = true, time.Now()
	}
	if w.freePending && time.Since(w.calmSince) > calmBeforeFree {
		w.freePending, w.lastFree = false, time.Now()
		debug.FreeOSMemory()
	}
}
