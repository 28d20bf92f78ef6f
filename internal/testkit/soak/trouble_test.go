package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/faultline"
	"fieldrelay/internal/testkit/localcluster"
)

// deed is what a trouble does.
type deed int

const (
	kills deed = iota
	terminates
	stops       // and lets go on
	wipes       // kills and empties the disk
	wipesInTurn // kills and empties the disk, machine after machine, each once the one before counts as back
	series      // stops and lets go on several times, machine after machine, and kills in the end
	restarts    // ends and starts several times
	cuts        // links
	slows       // links
	delays      // links
)

// extent is how much of the core a trouble strikes.
type extent int

const (
	noControl extent = iota // but an edge machine
	oneControl
	halfTheCore
	mostControls // all but one
	allControls
)

// kind is a kind of trouble.
type kind struct {
	name        string
	core        extent
	does        deed
	afterAnswer bool                                     // it waits for the next acknowledgement of a call
	spares      role                                     // a process of the machine that it leaves alone
	covers      func(on *struck, way faultline.Way) bool // the ways that it cuts, slows or delays
}

// kinds are all kinds of troubles.
var kinds = []*kind{
	{name: "kill control", core: oneControl, does: kills},
	{name: "restart control", core: oneControl, does: terminates},
	{name: "series of restarts of control", core: oneControl, does: restarts},
	{name: "pause control", core: oneControl, does: stops},
	{name: "wipe control", core: oneControl, does: wipes},
	{name: "kill all controls", core: allControls, does: kills},
	{name: "cut control off core", core: oneControl, does: cuts, covers: controlInCore},
	{name: "cut core in halves", core: halfTheCore, does: cuts, covers: betweenHalves},
	{name: "cut core one way", core: oneControl, does: cuts, covers: controlToOther},
	{name: "slow control", core: oneControl, does: slows, covers: ofControl},
	{name: "kill edge", does: kills},
	{name: "restart edge", does: terminates},
	{name: "series of restarts of edge", does: restarts},
	{name: "pause edge", does: stops},
	{name: "kill agent", does: kills, spares: roleProxy},
	{name: "pause agent", does: stops, spares: roleProxy},
	{name: "pause proxy", does: stops, spares: roleAgent},
	{name: "cut edge off core", does: cuts, covers: edgeAndCore},
	{name: "cut edge one way", does: cuts, covers: coreToEdge},
	{name: "cut edge off one control", does: cuts, covers: edgeAndControl},
	{name: "cut edge off all", does: cuts, covers: ofEdge},
	{name: "narrow edge", does: slows, covers: ofEdge},
	{name: "hold up edge", does: delays, covers: ofEdge},
}

// callKinds are troubles for runs with applications, besides all others: most of them strike the core.
var callKinds = []*kind{
	{name: "kill all controls after an answer", core: allControls, does: kills, afterAnswer: true},
	{name: "kill most controls after an answer", core: mostControls, does: kills, afterAnswer: true},
	{name: "kill control after an answer", core: oneControl, does: kills, afterAnswer: true},
	{name: "wipe control after an answer", core: oneControl, does: wipes, afterAnswer: true},
	{name: "lose all disks in turn", core: allControls, does: wipesInTurn},
	{name: "series of signals to controls", core: allControls, does: series},
	{name: "series of signals to most controls", core: mostControls, does: series},
}

// callKindsWeight is how often a trouble of callKinds is drawn as compared with one of kinds.
const callKindsWeight = 3

// kindsFor are the kinds of troubles of a run.
func kindsFor(asked runPlan) []*kind {
	if !asked.applications {
		return kinds
	}
	return slices.Concat(kinds, slices.Repeat(callKinds, callKindsWeight))
}

func ofEdge(on *struck, way faultline.Way) bool         { return touches(way, on.edge) }
func edgeAndCore(on *struck, way faultline.Way) bool    { return ofEdge(on, way) && !inEdge(way) }
func coreToEdge(on *struck, way faultline.Way) bool     { return isControl(way.From) && way.To == on.edge }
func edgeAndControl(on *struck, way faultline.Way) bool { return ofEdge(on, way) && ofControl(on, way) }
func ofControl(on *struck, way faultline.Way) bool      { return touches(way, on.control) }
func controlInCore(on *struck, way faultline.Way) bool  { return inCore(way) && ofControl(on, way) }
func controlToOther(on *struck, way faultline.Way) bool {
	return way == faultline.Way{From: on.control, To: on.other}
}
func betweenHalves(on *struck, way faultline.Way) bool {
	return inCore(way) && slices.Contains(on.core, way.From) != slices.Contains(on.core, way.To)
}

func touches(way faultline.Way, machine string) bool { return way.From == machine || way.To == machine }
func inCore(way faultline.Way) bool                  { return isControl(way.From) && isControl(way.To) }
func inEdge(way faultline.Way) bool                  { return !isControl(way.From) && !isControl(way.To) }
func isControl(name string) bool                     { return strings.HasPrefix(name, "control-") }

// struck are the names of the machines that a trouble was drawn for, and those of the core that count as lost.
type struck struct {
	edge, control, other string
	core                 []string
}

// planned is a trouble of the schedule. Machines are told by their numbers, from 0.
type planned struct {
	kind                 *kind
	at                   moment
	lasts                time.Duration
	edge, control, other int
	fault                faultline.Fault
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
func scheduleOf(from []*kind, seed uint64, begin, until moment, controls, edges int) []planned {
	random := rand.New(rand.NewPCG(seed, 1))
	var schedule []planned
	for at := begin; at < until; {
		end, wiped := at, false
		for range 2 + random.IntN(2) {
			next := drawTrouble(random, from, controls, edges)
			if next.kind.does.losesDisks() && wiped {
				continue
			}
			wiped = wiped || next.kind.does.losesDisks()
			next.at = at + time.Duration(random.Int64N(int64(overlapSpan)))
			end = max(end, next.at+next.span(controls))
			if next.kind.does == wipesInTurn {
				// Nothing else strikes meanwhile: each machine counts as lost until it has had sync-s.
				inGroup := func(one planned) bool { return one.at >= at }
				schedule = append(slices.DeleteFunc(schedule, inGroup), next)
				break
			}
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

// losesDisks tells whether a trouble empties disks.
func (d deed) losesDisks() bool { return d == wipes || d == wipesInTurn }

// backAfter is the time from the start of a machine that lost its disk until it counts as back, and somewhat more.
const backAfter = 4500 * time.Millisecond

// span is how long a trouble lasts for all its machines.
func (p planned) span(controls int) time.Duration {
	if p.kind.does == wipesInTurn {
		return time.Duration(controls) * (p.lasts + backAfter)
	}
	return p.lasts
}

func drawTrouble(random *rand.Rand, from []*kind, controls, edges int) planned {
	lasts := shortestDown + time.Duration(random.Int64N(int64(longestTrouble-shortestDown)))
	next := planned{kind: from[random.IntN(len(from))], lasts: lasts, control: random.IntN(controls), edge: random.IntN(edges)}
	next.other = (next.control + 1 + random.IntN(controls-1)) % controls
	switch next.kind.does {
	case cuts:
		next.fault.Drop = true
	case slows:
		next.fault.Rate = slowestRate + random.IntN(rateSpan)
	case delays:
		next.fault.Delay = time.Duration(random.Int64N(int64(longestHold)))
	}
	if next.kind.core >= mostControls {
		next.lasts = min(next.lasts, longestAllDown)
	}
	return next
}

// strikes tells which machines a trouble strikes, and what the history keeps of it.
func (p planned) strikes(plan *localcluster.Layout) (*struck, *trouble) {
	controls := hostsOf(plan.Controls)
	on := &struck{edge: plan.Edges[p.edge].Hostname, control: controls[p.control], other: controls[p.other]}
	own := &trouble{kind: p.kind.name, unstable: p.kind.core != noControl}
	switch p.kind.core {
	case oneControl:
		on.core = []string{on.control}
	case halfTheCore:
		on.core = controls[:len(controls)/2]
	case mostControls:
		on.core = slices.DeleteFunc(controls, func(name string) bool { return name == on.control })
	case allControls:
		on.core = controls
	default:
		own.edges = []string{on.edge}
	}
	own.core = on.core
	return on, own
}

func hostsOf(machines []*settings.Settings) (names []string) {
	for _, one := range machines {
		names = append(names, one.Hostname)
	}
	return names
}
