package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/faultline"
)

// kind is a kind of trouble.
type kind int

const (
	killControl kind = iota
	restartControl
	pauseControl
	wipeControl
	killAllControls
	cutControl
	cutHalves
	cutOneWayCore
	slowControl
	killEdge
	restartEdge
	killAgent
	pauseAgent
	pauseProxy
	pauseEdge
	cutEdgeOffCore
	cutEdgeOffAll
	cutEdgeOneWay
	cutEdgeOffOne
	narrowEdge
	holdEdge
	kinds
)

var kindNames = [kinds]string{
	"kill control", "restart control", "pause control", "wipe control", "kill all controls", "cut control off core",
	"cut core in halves", "cut core one way", "slow control", "kill edge", "restart edge", "kill agent", "pause agent",
	"pause proxy", "pause edge", "cut edge off core", "cut edge off all", "cut edge one way", "cut edge off one control",
	"narrow edge", "hold up edge",
}

func (k kind) String() string { return kindNames[k] }

// planned is a trouble of the schedule.
type planned struct {
	kind    kind
	at      moment
	lasts   time.Duration
	control int
	edge    int
	other   int // a second control machine
	fault   faultline.Fault
}

func (p planned) String() string {
	return fmt.Sprintf("%7.2f s, %.2f s: %s (core-%d, edge-%d, core-%d, %+v)", p.at.Seconds(), p.lasts.Seconds(), p.kind,
		p.control+1, p.edge+1, p.other+1, p.fault)
}

// Bounds of the schedule.
const (
	longestTrouble = 5 * time.Second
	shortestDown   = 100 * time.Millisecond
	longestAllDown = 700 * time.Millisecond // of all control machines at once: they are back within a second
	longestCalm    = 9 * time.Second        // between two groups of troubles, in one of three cases
	shortCalm      = 2 * time.Second        // in the others
	overlapSpan    = 2 * time.Second        // in which the troubles of a group begin
	afterWipe      = 10 * time.Second       // from a lost disk until the next trouble: one disk may be lost at a time
	slowestRate    = 20 << 10               // bytes a second of each connection
	rateSpan       = 200 << 10
	longestHold    = 400 * time.Millisecond
)

// scheduleOf draws groups of two or three troubles that overlap, with calm times between them, short ones mostly.
func scheduleOf(seed uint64, from, until moment, controls, edges int) []planned {
	random := rand.New(rand.NewPCG(seed, 1))
	var schedule []planned
	for at := from; at < until; {
		end := at
		wiped := false
		for range 2 + random.IntN(2) {
			next := drawTrouble(random, controls, edges)
			if next.kind == wipeControl && wiped {
				continue
			}
			wiped = wiped || next.kind == wipeControl
			next.at = at + time.Duration(random.Int64N(int64(overlapSpan)))
			end = max(end, next.at+next.lasts)
			schedule = append(schedule, next)
		}
		calm := shortCalm
		if random.IntN(3) == 0 {
			calm = longestCalm
		}
		at = end + time.Duration(random.Int64N(int64(calm)))
		if wiped {
			at = max(at, end+afterWipe)
		}
	}
	slices.SortStableFunc(schedule, func(a, b planned) int { return cmp.Compare(a.at, b.at) })
	return schedule
}

func drawTrouble(random *rand.Rand, controls, edges int) planned {
	lasts := shortestDown + time.Duration(random.Int64N(int64(longestTrouble-shortestDown)))
	next := planned{kind: kind(random.IntN(int(kinds))), lasts: lasts, control: random.IntN(controls), edge: random.IntN(edges)}
	next.other = (next.control + 1 + random.IntN(controls-1)) % controls
	switch next.kind {
	case killAllControls:
		next.lasts = min(next.lasts, longestAllDown)
	case narrowEdge, slowControl:
		next.fault.Rate = slowestRate + random.IntN(rateSpan)
	case holdEdge:
		next.fault.Delay = time.Duration(random.Int64N(int64(longestHold)))
	case cutControl, cutHalves, cutOneWayCore, cutEdgeOffCore, cutEdgeOffAll, cutEdgeOneWay, cutEdgeOffOne:
		next.fault.Drop = true
	default: // done to processes
	}
	return next
}

// scope tells which machines a trouble touches.
func (p planned) scope(plan *layout) trouble {
	edge, control := plan.edges[p.edge].name, plan.controls[p.control].name
	all := make([]string, 0, len(plan.controls))
	for _, one := range plan.controls {
		all = append(all, one.name)
	}
	own := trouble{kind: p.kind.String()}
	switch p.kind {
	case killAllControls:
		own.core = all
	case cutHalves:
		own.core = all[:len(all)/2]
	case killControl, restartControl, pauseControl, wipeControl, cutControl, cutOneWayCore, slowControl:
		own.core = []string{control}
	default:
		own.edges = []string{edge}
	}
	own.unstable = len(own.core) > 0
	return own
}

// effectOn is what a trouble does to links; a trouble of processes does nothing to them.
func (p planned) effectOn(plan *layout) effect {
	edge, control, other := plan.edges[p.edge].name, plan.controls[p.control].name, plan.controls[p.other].name
	isCore := func(name string) bool { return strings.HasPrefix(name, "core-") }
	half := p.scope(plan).core
	covers := func(way) bool { return false }
	switch p.kind {
	case cutControl:
		covers = func(w way) bool { return isCore(w.from) && isCore(w.to) && (w.from == control || w.to == control) }
	case cutHalves:
		covers = func(w way) bool {
			return isCore(w.from) && isCore(w.to) && slices.Contains(half, w.from) != slices.Contains(half, w.to)
		}
	case cutOneWayCore:
		covers = func(w way) bool { return w == way{control, other} }
	case slowControl:
		covers = func(w way) bool { return w.from == control || w.to == control }
	case cutEdgeOffCore:
		covers = func(w way) bool { return w.from == edge && isCore(w.to) || isCore(w.from) && w.to == edge }
	case cutEdgeOffAll, narrowEdge, holdEdge:
		covers = func(w way) bool { return w.from == edge || w.to == edge }
	case cutEdgeOneWay:
		covers = func(w way) bool { return isCore(w.from) && w.to == edge }
	case cutEdgeOffOne:
		covers = func(w way) bool { return w == way{edge, control} || w == way{control, edge} }
	default:
	}
	return effect{covers: covers, fault: p.fault}
}
