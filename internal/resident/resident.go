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
	pace     = time.Second            // of a look at the system
	pressing = 200 * time.Millisecond // the same, under pressure
	freeing  = 10 * time.Second       // and no sooner than so long after the last time
	resting  = time.Second            // calm for so long, what the flood has left is given back to the system
)

// How the limit of the process is shared out.
const (
	margin      = 0.06    // of the limit is left to chance, and
	leastMargin = 5 << 19 // so many bytes at the least: a collector that gets no core for a moment comes late
	live        = 0.7     // of the rest may be live: with less garbage between two collections, those never end
	least       = 2 << 20 // bytes of heap over the floor, below which no budget can work
	shrink      = 0.5     // of what is found too much is taken from the budget at a look,
	regrow      = 0.05    // and of the full size given back at a later one
	alarm       = 0.95    // of the limit: resident memory over that is too much,
	relief      = 0.85    // and under that leaves room again
	freePercent = 100     // the collector's usual pace
	tightest    = 25      // and its hardest
	unseen      = 1 << 20 // bytes of the program that are first touched when it serves
)

// Sizes is the memory of a process in bytes, as the system tells it.
type Sizes struct {
	Resident int64 // all of it
	File     int64 // of that, pages of files: the program itself
	Counted  int64 // what the Go runtime holds against its soft limit
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
	s.Counted = int64(counted[0].Value.Uint64() - counted[1].Value.Uint64())
	return s, nil
}

// untouched is what the Go runtime counts that is not resident: it has asked for it and never written there.
func (s Sizes) untouched() int64 { return max(s.Counted-(s.Resident-s.File), 0) }

// Plan shares out a limit of bytes.
type Plan struct {
	Limit int64 // of the process
	Floor int64 // what it takes before it serves
	File  int64 // allowed for pages of files
}

// NewPlan makes a plan from the sizes of a process that does not serve yet. More of its program is touched once it
// does.
func NewPlan(limit int64, at Sizes) Plan {
	return Plan{Limit: limit, Floor: at.Resident + unseen, File: at.File + unseen}
}

func (p Plan) usable() int64 { return p.Limit - max(int64(margin*float64(p.Limit)), leastMargin) }

// Budget is the number of live bytes that may be held for others.
func (p Plan) Budget() int64 {
	return int64(live * float64(max(p.usable()-p.Floor, least)))
}

// Collector gives the soft limit of the Go runtime in bytes and the collector's percentage for so many live bytes:
// the runtime alone would collect without pause once it comes near its limit. What the runtime counts and the system
// does not is no memory: with it left in, a small limit was reached while a quarter of it was free.
func (p Plan) Collector(at Sizes, held int64) (limit int64, percent int) {
	limit = p.usable() - max(at.File, p.File) + at.untouched()
	heap := max(p.Floor-p.File, 0) + held
	return limit, int(min(max(100*(limit-heap)/max(heap, 1), tightest), freePercent))
}

// Surplus tells whether much more is resident than the program and what is held take: a burst that never was pressure
// has left it, and the runtime alone gives it back over minutes.
func (p Plan) Surplus(at Sizes, held int64) bool {
	return at.Resident > p.Floor+2*held+p.Limit/8
}

// Resize gives the size that a budget should have after a look, and by how much it had to shrink.
func (p Plan) Resize(total, full, resident int64) (size, by int64) {
	if over := resident - int64(alarm*float64(p.Limit)); over > 0 {
		by = int64(shrink * float64(over))
		return total - by, by
	}
	if resident < int64(relief*float64(p.Limit)) {
		return min(total+int64(regrow*float64(full)), full), 0
	}
	return total, 0
}

// Watch keeps a gate and the collector in step with the system until stop is closed. relieve is called, on its
// goroutine, at every look under pressure, with the present degree.
func Watch(p Plan, gate *budget.Gate, relieve func(budget.Pressure), log zerolog.Logger, stop <-chan struct{}) {
	w := &watch{plan: p, gate: gate, relieve: relieve, log: log, full: gate.State().Total}
	w.look()
	for {
		wait := pace
		if w.degree > budget.NoPressure || w.owed {
			wait = pressing
		}
		timer := time.NewTimer(wait)
		select {
		case <-gate.PressureChanged():
			w.step()
		case <-timer.C:
			w.look()
		case <-stop:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

type watch struct {
	plan    Plan
	gate    *budget.Gate
	relieve func(budget.Pressure)
	log     zerolog.Logger
	full    int64
	sizes   Sizes // at the last look
	degree  budget.Pressure
	percent int
	limit   int64
	owed    bool // memory is to be given back to the system
	calm    time.Time
	freed   time.Time // when memory was last given back
	shrunk  int64     // as last told
}

// step takes in the degree, and tells where each begins and ends.
func (w *watch) step() {
	s := w.gate.State()
	for w.degree < s.Pressure {
		w.degree++
		w.log.Warn().Stringer("degree", w.degree).Int64("held", s.Sum()).Int64("of", s.Total).Int("waiting", s.Waiting).
			Msg("memory pressure begins")
	}
	for w.degree > s.Pressure {
		w.log.Info().Stringer("degree", w.degree).Int64("held", s.Sum()).Int64("of", s.Total).Msg("memory pressure ends")
		w.degree--
		w.calm = time.Now()
	}
	if w.degree > budget.NoPressure {
		w.owed = true
		w.relieve(w.degree)
	}
	w.collector(s)
}

func (w *watch) collector(s budget.State) {
	limit, percent := w.plan.Collector(w.sizes, s.Sum())
	if limit != w.limit {
		w.limit = limit
		debug.SetMemoryLimit(limit)
	}
	if percent != w.percent {
		w.percent = percent
		debug.SetGCPercent(percent)
	}
}

// look compares the budget with the system.
func (w *watch) look() {
	sizes, err := Read()
	if err == nil {
		w.sizes = sizes
	}
	w.step()
	if err != nil {
		return // a system that does not tell: the plan holds as it was made
	}
	s := w.gate.State()
	size, by := w.plan.Resize(s.Total, w.full, sizes.Resident)
	if size != s.Total {
		w.gate.Resize(size)
	}
	switch {
	case by > 0 && w.shrunk == 0:
		w.log.Warn().Int64("resident", sizes.Resident).Int64("limit", w.plan.Limit).Int64("held", s.Sum()).Int64("by", by).
			Msg("more memory is resident than the budget tells: it shrinks")
		w.shrunk = by
	case by > 0:
		w.shrunk += by
	case w.shrunk > 0 && size == w.full:
		w.log.Info().Int64("in all", w.shrunk).Msg("the budget has its full size again")
		w.shrunk = 0
	}
	if !w.owed && w.degree == budget.NoPressure && time.Since(w.freed) > freeing && w.plan.Surplus(sizes, s.Sum()) {
		w.owed, w.calm = true, time.Now()
	}
	if w.owed && w.degree == budget.NoPressure && time.Since(w.calm) > resting {
		w.owed, w.freed = false, time.Now()
		debug.FreeOSMemory()
	}
}
