package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fieldrelay/internal/faultline"
	"fieldrelay/internal/onehost"
	"fieldrelay/internal/settings"
)

// deed is what a trouble does.
type deed int

const (
	kills deed = iota
	terminates
	stops  // and lets go on
	wipes  // kills and empties the disk
	cuts   // links
	slows  // links
	delays // links
)

// extent is how much of the core a trouble strikes.
type extent int

const (
	noControl extent = iota // but an edge machine
	oneControl
	halfTheCore
	allControls
)

// kind is a kind of trouble.
type kind struct {
	name   string
	core   extent
	does   deed
	spares role                                     // a process of the machine that it leaves alone
	covers func(on *struck, way faultline.Way) bool // the ways that it cuts, slows or delays
}

// kinds are all kinds of troubles.
var kinds = []*kind{
	{name: "kill control", core: oneControl, does: kills},
	{name: "restart control", core: oneControl, does: terminates},
	{name: "pause control", core: oneControl, does: stops},
	{name: "wipe control", core: oneControl, does: wipes},
	{name: "kill all controls", core: allControls, does: kills},
	{name: "cut control off core", core: oneControl, does: cuts, covers: func(on *struck, way faultline.Way) bool {
		return isControl(way.From) && isControl(way.To) && (way.From == on.control || way.To == on.control)
	}},
	{name: "cut core in halves", core: halfTheCore, does: cuts, covers: func(on *struck, way faultline.Way) bool {
		return isControl(way.From) && isControl(way.To) && slices.Contains(on.core, way.From) != slices.Contains(on.core, way.To)
	}},
	{name: "cut core one way", core: oneControl, does: cuts, covers: func(on *struck, way faultline.Way) bool {
		return way.From == on.control && way.To == on.other
	}},
	{name: "slow control", core: oneControl, does: slows, covers: func(on *struck, way faultline.Way) bool {
		return way.From == on.control || way.To == on.control
	}},
	{name: "kill edge", does: kills},
	{name: "restart edge", does: terminates},
	{name: "pause edge", does: stops},
	{name: "kill agent", does: kills, spares: roleProxy},
	{name: "pause agent", does: stops, spares: roleProxy},
	{name: "pause proxy", does: stops, spares: roleAgent},
	{name: "cut edge off core", does: cuts, covers: func(on *struck, way faultline.Way) bool {
		return way.From == on.edge && isControl(way.To) || isControl(way.From) && way.To == on.edge
	}},
	{name: "cut edge one way", does: cuts, covers: func(on *struck, way faultline.Way) bool { return isControl(way.From) && way.To == on.edge }},
	{name: "cut edge off one control", does: cuts, covers: func(on *struck, way faultline.Way) bool {
		return way.From == on.edge && way.To == on.control || way.From == on.control && way.To == on.edge
	}},
	{name: "cut edge off all", does: cuts, covers: (*struck).ofEdge},
	{name: "narrow edge", does: slows, covers: (*struck).ofEdge},
	{name: "hold up edge", does: delays, covers: (*struck).ofEdge},
}

// struck are the names of the machines that a trouble was drawn for, and those of the core that count as lost.
type struck struct {
	edge, control, other string
	core                 []string
}

// ofEdge covers all ways from and to the edge machine.
func (s *struck) ofEdge(way faultline.Way) bool { return way.From == s.edge || way.To == s.edge }

// planned is a trouble of the schedule. Machines are told by their numbers, from 0.
type planned struct {
	kind                 *kind
	at                   moment
	lasts                time.Duration
	edge, control, other int
	fault                faultline.Fault
}

func (p planned) String() string {
	return fmt.Sprintf("%7.2f s, %.2f s: %s (edge-%d, control-%d, control-%d, delay %s, rate %d)", p.at.Seconds(), p.lasts.Seconds(),
		p.kind.name, p.edge+1, p.control+1, p.other+1, p.fault.Delay, p.fault.Rate)
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
		end, wiped := at, false
		for range 2 + random.IntN(2) {
			next := drawTrouble(random, controls, edges)
			if next.kind.does == wipes && wiped {
				continue
			}
			wiped = wiped || next.kind.does == wipes
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
	next := planned{kind: kinds[random.IntN(len(kinds))], lasts: lasts, control: random.IntN(controls), edge: random.IntN(edges)}
	next.other = (next.control + 1 + random.IntN(controls-1)) % controls
	switch next.kind.does {
	case cuts:
		next.fault.Drop = true
	case slows:
		next.fault.Rate = slowestRate + random.IntN(rateSpan)
	case delays:
		next.fault.Delay = time.Duration(random.Int64N(int64(longestHold)))
	}
	if next.kind.core == allControls {
		next.lasts = min(next.lasts, longestAllDown)
	}
	return next
}

func isControl(name string) bool { return strings.HasPrefix(name, "control-") }

// strikes tells which machines a trouble strikes, and what the history keeps of it.
func (p planned) strikes(plan *onehost.Layout) (*struck, *trouble) {
	controls := hostsOf(plan.Controls)
	on := &struck{edge: plan.Edges[p.edge].Hostname, control: controls[p.control], other: controls[p.other]}
	own := &trouble{kind: p.kind.name, unstable: p.kind.core != noControl}
	switch p.kind.core {
	case oneControl:
		on.core = []string{on.control}
	case halfTheCore:
		on.core = controls[:len(controls)/2]
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
