// Package resident compares what the process holds in memory, as the system
// tells it, with what its budget believes, and sets the collector and the
// budget by it. Plan is the decision alone; Watch reads the system and acts.
package resident

import (
	"bufio"
	"errors"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/budget"
)

const (
	checkInterval         = time.Second            // of a look at the system
	pressureCheckInterval = 200 * time.Millisecond // the same, under pressure
	minFreeInterval       = 10 * time.Second       // and no sooner than so long after the last time
	calmBeforeFree        = time.Second            // calm for so long, what the flood has left is given back to the system
)

// How the limit of the process is shared out.
const (
	marginFraction   = 0.06    // of the limit is left to chance, and
	minMargin        = 5 << 19 // so many bytes at the least: a collector that gets no core for a moment comes late
	liveFraction     = 0.7     // of the rest may be live: with less garbage between two collections, those never end
	minHeap          = 2 << 20 // bytes of heap over the floor, below which no budget can work
	shrinkFraction   = 0.5     // of what is found too much is taken from the budget at a look,
	growFraction     = 0.05    // and of the full size given back at a later one
	shrinkAbove      = 0.95    // of the limit: resident memory over that is too much,
	growBelow        = 0.85    // and under that leaves room again
	maxGCPercent     = 100     // the collector's usual pace
	minGCPercent     = 25      // and its hardest
	untouchedProgram = 1 << 20 // bytes of the program that are first touched when it serves
)

// Sizes is the memory of a process in bytes, as the system tells it.
type Sizes struct {
	Resident       int64 // all of it
	File           int64 // of that, pages of files: the program itself
	RuntimeCounted int64 // what the Go runtime holds against its soft limit
}

// Unknown is taken for the sizes of a process whose system does not tell them: more than was ever seen at a start.
var Unknown = Sizes{Resident: 12 << 20, File: 8 << 20}

// Read tells the sizes of this process. It is an error where the system does not tell.
func Read() (Sizes, error) {
	f, err := os.Open("/proc/self/status")
	if err != nil {
		return Sizes{}, err
	}
	defer f.Close()
	var s Sizes
	for lines := bufio.NewScanner(f); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), ":")
		var to *int64
		switch key {
		case "VmRSS":
			to = &s.Resident
		case "RssFile":
			to = &s.File
		default:
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return Sizes{}, err
		}
		*to = kb << 10
	}
	if s.Resident == 0 {
		return Sizes{}, errors.New("resident: the system tells no VmRSS")
	}
	counted := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(counted)
	s.RuntimeCounted = int64(counted[0].Value.Uint64() - counted[1].Value.Uint64())
	return s, nil
}

// untouched is what the Go runtime counts that is not resident: it has asked for it and never written there.
func (s Sizes) untouched() int64 { return max(s.RuntimeCounted-(s.Resident-s.File), 0) }

// Plan shares out a limit of bytes.
type Plan struct {
	Limit int64 // of the process
	Floor int64 // what it takes before it serves
	File  int64 // allowed for pages of files
}

// NewPlan makes a plan from the sizes of a process that does not serve yet. More of its program is touched once it
// does.
func NewPlan(limit int64, at Sizes) Plan {
	return Plan{Limit: limit, Floor: at.Resident + untouchedProgram, File: at.File + untouchedProgram}
}

func (p Plan) usable() int64 { return p.Limit - max(int64(marginFraction*float64(p.Limit)), minMargin) }

// Budget is the number of live bytes that may be held for others.
func (p Plan) Budget() int64 {
	return int64(liveFraction * float64(max(p.usable()-p.Floor, minHeap)))
}

// Collector gives the soft limit of the Go runtime in bytes and the collector's percentage for so many live bytes:
// the runtime alone would collect without pause once it comes near its limit. What the runtime counts and the system
// does not is no memory: with it left in, a small limit was reached while a quarter of it was free.
func (p Plan) Collector(at Sizes, held int64) (limit int64, percent int) {
	limit = p.usable() - max(at.File, p.File) + at.untouched()
	heap := max(p.Floor-p.File, 0) + held
	return limit, int(min(max(100*(limit-heap)/max(heap, 1), minGCPercent), maxGCPercent))
}

// Surplus tells whether much more is resident than the program and what is held take: a burst that never was pressure
// has left it, and the runtime alone gives it back over minutes.
func (p Plan) Surplus(at Sizes, held int64) bool {
	return at.Resident > p.Floor+2*held+p.Limit/8
}

// Resize gives the size that a budget should have after a look, and by how much it had to shrink.
func (p Plan) Resize(total, full, resident int64) (size, by int64) {
	if over := resident - int64(shrinkAbove*float64(p.Limit)); over > 0 {
		by = int64(shrinkFraction * float64(over))
		return total - by, by
	}
	if resident < int64(growBelow*float64(p.Limit)) {
		return min(total+int64(growFraction*float64(full)), full), 0
	}
	return total, 0
}

// Watch keeps a gate and the collector in step with the system until stop is closed. relieve is called, on its
// goroutine, at every look under pressure, with the present degree.
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

type watcher struct {
	plan        Plan
	gate        *budget.Gate
	relieve     func(budget.Pressure)
	log         zerolog.Logger
	fullSize    int64
	sizes       Sizes // at the last look
	pressure    budget.Pressure
	gcPercent   int
	limit       int64
	freePending bool // memory is to be given back to the system
	calmSince   time.Time
	lastFree    time.Time // when memory was last given back
	shrunkBy    int64     // as last told
}

// step takes in the degree, and tells where each begins and ends.
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

// look compares the budget with the system.
func (w *watcher) check() {
	sizes, err := Read()
	if err == nil {
		w.sizes = sizes
	}
	w.applyPressure()
	if err != nil {
		return // a system that does not tell: the plan holds as it was made
	}
	s := w.gate.State()
	size, by := w.plan.Resize(s.Total, w.fullSize, sizes.Resident)
	if size != s.Total {
		w.gate.Resize(size)
	}
	switch {
	case by > 0 && w.shrunkBy == 0:
		w.log.Warn().Int64("resident", sizes.Resident).Int64("limit", w.plan.Limit).Int64("held", s.Sum()).Int64("by", by).
			Msg("more memory is resident than the budget tells: it shrinks")
		w.shrunkBy = by
	case by > 0:
		w.shrunkBy += by
	case w.shrunkBy > 0 && size == w.fullSize:
		w.log.Info().Int64("in all", w.shrunkBy).Msg("the budget has its full size again")
		w.shrunkBy = 0
	}
	if !w.freePending && w.pressure == budget.NoPressure && time.Since(w.lastFree) > minFreeInterval && w.plan.Surplus(sizes, s.Sum()) {
		w.freePending, w.calmSince = true, time.Now()
	}
	if w.freePending && w.pressure == budget.NoPressure && time.Since(w.calmSince) > calmBeforeFree {
		w.freePending, w.lastFree = false, time.Now()
		debug.FreeOSMemory()
	}
}
