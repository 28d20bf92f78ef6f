package processfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/faultline"
)

// Plan is what a run does. The same seed and size draw the same one, byte for byte.
type Plan struct {
	Seed     uint64  `toml:"seed"`
	Sidecars int     `toml:"sidecars"`
	Nodes    int     `toml:"nodes"`
	For      int     `toml:"for_ms"`     // of faults; a time to settle follows
	Rate     float64 `toml:"rate"`       // requests a second, for the whole fleet
	Keep     bool    `toml:"keep_state"` // voters keep their state in a folder
	Limit    float64 `toml:"limit"`      // requests of class order a second, for the whole fleet; 0: no limit
	Policy   string  `toml:"policy"`     // of the limit: strict or available
	Pace     int     `toml:"pace_ms"`    // of the fleet; 0: the usual one
	Steps    []Step  `toml:"step"`
}

// Step is one fault. One that lasts is undone at its end.
type Step struct {
	At   int      `toml:"at_ms"`
	Do   string   `toml:"do"`                   // see Actions
	Who  []string `toml:"who,omitempty"`        // sidecars
	From []string `toml:"from,omitempty"`       // links: where they begin; "client", a sidecar, or "*" for all sidecars
	To   []string `toml:"to,omitempty"`         // and end; a sidecar, a node, "discovery", "*" for all sidecars, "nodes" for all nodes
	Both bool     `toml:"both,omitempty"`       // the links the other way round too
	For  int      `toml:"for_ms,omitempty"`     // 0: to the end of the plan
	Lose bool     `toml:"lose_state,omitempty"` // kill, term: it is started again without the state that it kept
	Link Way      `toml:"link,omitempty"`
}

// Way is a faultline.Fault in a plan's form. It holds for what passes towards the target; Back for what comes back on
// a stream.
type Way struct {
	Drop      bool    `toml:"drop,omitempty"`
	Loss      float64 `toml:"loss,omitempty"`
	Delay     int     `toml:"delay_ms,omitempty"`
	Jitter    int     `toml:"jitter_ms,omitempty"`
	Rate      int     `toml:"bytes_s,omitempty"`
	Reorder   float64 `toml:"reorder,omitempty"`
	Duplicate float64 `toml:"duplicate,omitempty"`
	Hang      bool    `toml:"hang,omitempty"`
	Refuse    bool    `toml:"refuse,omitempty"`
	Back      bool    `toml:"back,omitempty"` // both ways of a stream
}

func (w Way) fault() faultline.Fault {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return faultline.Fault{Drop: w.Drop, Loss: w.Loss, Delay: ms(w.Delay), Jitter: ms(w.Jitter), Rate: w.Rate, Reorder: w.Reorder,
		Duplicate: w.Duplicate, Hang: w.Hang, Refuse: w.Refuse}
}

// Actions are what a step can do.
var Actions = []string{
	"kill",  // SIGKILL; started again after for_ms
	"stop",  // SIGSTOP, SIGCONT after for_ms
	"term",  // SIGTERM; started again after for_ms
	"link",  // the faults of link on all links from From to To
	"reset", // all streams on those links
	"half",  // the writing side of all streams on those links closed
}

const (
	mostSidecars = 200
	mostNodes    = 64
	mostSteps    = 10_000
	mostFor      = 24 * 60 * 60 * 1000

	leastPace, mostPace = 20, 10_000
)

// Check names what is wrong with a plan.
func (p *Plan) Check() error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if p.Sidecars < 1 || p.Sidecars > mostSidecars {
		bad("sidecars: %d; allowed: 1 to %d", p.Sidecars, mostSidecars)
	}
	if p.Nodes < 0 || p.Nodes > mostNodes {
		bad("nodes: %d; allowed: 0 to %d", p.Nodes, mostNodes)
	}
	if p.For < 0 || p.For > mostFor {
		bad("for_ms: %d; allowed: 0 to %d", p.For, mostFor)
	}
	if p.Limit < 0 || p.Limit > 0 && p.Policy != "strict" && p.Policy != "available" {
		bad("limit, policy: %g, %q; allowed: a limit over 0 with strict or available", p.Limit, p.Policy)
	}
	if p.Pace != 0 && (p.Pace < leastPace || p.Pace > mostPace) {
		bad("pace_ms: %d; allowed: %d to %d", p.Pace, leastPace, mostPace)
	}
	if len(p.Steps) > mostSteps {
		bad("%d steps; allowed: %d", len(p.Steps), mostSteps)
	}
	for i, s := range p.Steps {
		if !slices.Contains(Actions, s.Do) {
			bad("step[%d].do: %q; allowed: one of %s", i, s.Do, strings.Join(Actions, ", "))
		}
		if s.At < 0 || s.For < 0 || s.At+s.For > p.For {
			bad("step[%d]: from %d for %d ms; allowed: within the plan's %d ms", i, s.At, s.For, p.For)
		}
		linked := s.Do == "link" || s.Do == "reset" || s.Do == "half"
		if linked && (len(s.From) == 0 || len(s.To) == 0) {
			bad("step[%d]: from and to; allowed: at least one each", i)
		}
		if !linked && len(s.Who) == 0 {
			bad("step[%d].who: missing; allowed: at least one sidecar", i)
		}
		for _, name := range s.Who {
			if !p.has(name) {
				bad("step[%d].who: %q; allowed: s1 to s%d", i, name, p.Sidecars)
			}
		}
	}
	return errors.Join(errs...)
}

func (p *Plan) has(name string) bool {
	var n int
	_, err := fmt.Sscanf(name, "s%d", &n)
	return err == nil && n >= 1 && n <= p.Sidecars
}

// ReadPlan reads a plan's file.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	f, err := os.Open(path)
	if err != nil {
		return p, err
	}
	defer func() { _ = f.Close() }()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, p.Check()
}

// Text is the plan as a file.
func (p Plan) Text() ([]byte, error) { return toml.Marshal(p) }

// floorPct is the part of a plan's limit that is reserved for the members.
const floorPct = 20

// Limits is the section quota for the plan's limit.
func (p Plan) Limits() string {
	if p.Limit == 0 {
		return ""
	}
	return fmt.Sprintf("[[quota]]\nname = \"orders\"\nclass = \"order\"\nper_second = %g\nfloor_pct = %d\nmembers = %d\npolicy = %q\n",
		p.Limit, floorPct, p.Sidecars, p.Policy)
}

// over is by how much the policy lets the limit be passed, a second: each member without a lease by an equal part of the pool.
func (p Plan) over() float64 {
	if p.Policy != "available" {
		return 0
	}
	return p.Limit * (100 - floorPct) / 100
}

// Window is the most that began in any window of a length, and what may.
type Window struct {
	Length time.Duration
	Began  int
	May    float64
}

// stallTolerance is for how long a busy machine may hold requests up that were let through, and let them go at once.
const stallTolerance = 100 * time.Millisecond

// Windows judges a plan's limit by what began at the nodes, and tells the part of it that was used from the first to the
// last of those. burst is what the limit lets be made up for.
func (p Plan) Windows(entries []checker.Entry) (all []Window, used float64) {
	const burst = 100 * time.Millisecond
	for _, length := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		may := (p.Limit+p.over())*(length+burst+stallTolerance).Seconds() + float64(p.Sidecars)
		all = append(all, Window{length, checker.Most(entries, checker.Ran, "order", length), may})
	}
	var first, last time.Duration
	began := 0.0
	for _, e := range entries {
		if e.Kind == checker.Ran && e.Class == "order" {
			if began++; began == 1 {
				first = e.At
			}
			last = e.At
		}
	}
	if last > first && p.Limit > 0 {
		used = began / (last - first).Seconds() / p.Limit
	}
	return all, used
}

// Limited has a drawn plan hold a limit while twice as much of it is asked for. Only what is between sidecars is struck, and
// themselves: what waits on a link to a node was let through before.
func (p Plan) Limited(limit float64, policy string) Plan {
	p.Limit, p.Policy, p.Pace, p.Rate = limit, policy, 50, 2*limit*float64(len(Classes))
	p.Steps = slices.DeleteFunc(slices.Clone(p.Steps), func(s Step) bool {
		return slices.Contains(s.To, "nodes") || slices.Contains(s.To, "discovery") || slices.Contains(s.From, "client") || len(s.To) == 1 && s.To[0][0] == 'n'
	})
	return p
}

// Draw draws a plan: faults of all kinds one after another and over one another, each undone before the plan ends. At
// no time are as many as half of the sidecars down or stopped.
func Draw(seed uint64, sidecars, nodes int, forMs int, rate float64) Plan {
	p := Plan{Seed: seed, Sidecars: sidecars, Nodes: nodes, For: forMs, Rate: rate, Keep: seed%2 == 0}
	rng := rand.New(rand.NewPCG(seed, 0xd1a9))
	down := map[string]int{} // until when
	name := func() string { return fmt.Sprintf("s%d", 1+rng.IntN(sidecars)) }
	for at := 1000; at < forMs-1000; at += 300 + rng.IntN(2000) {
		lasts := min(200+rng.IntN(4000), forMs-at)
		s := Step{At: at, For: lasts}
		switch kind := rng.IntN(12); {
		case kind < 4: // processes
			who := name()
			busy := 0
			for _, until := range down {
				if until > at {
					busy++
				}
			}
			if down[who] > at || 2*(busy+1) >= sidecars {
				continue
			}
			s.Do, s.Who = []string{"kill", "stop", "term", "stop"}[kind], []string{who}
			s.Lose = p.Keep && s.Do != "stop" && rng.IntN(3) == 0
			down[who] = at + lasts + 1000
		case kind < 7: // between sidecars
			a, b := name(), name()
			if a == b {
				continue
			}
			s.Do, s.From, s.To, s.Both = "link", []string{a}, []string{b}, rng.IntN(2) == 0
			s.Link = []Way{{Drop: true}, {Loss: 0.1 + 0.4*rng.Float64(), Jitter: 20 + rng.IntN(100)},
				{Delay: rng.IntN(100), Jitter: rng.IntN(100), Reorder: 0.2, Duplicate: 0.2}, {Hang: true, Drop: true, Back: true}, {Rate: 2000}}[rng.IntN(5)]
			if rng.IntN(3) == 0 { // one of all
				s.To = []string{"*"}
			}
		case kind < 9: // to the execute nodes
			s.Do, s.From, s.To = "link", []string{name()}, []string{"nodes"}
			s.Link = []Way{{Delay: rng.IntN(200), Back: true}, {Drop: true, Back: true}, {Refuse: true}, {Hang: true}}[rng.IntN(4)]
			if nodes > 0 && rng.IntN(2) == 0 {
				s.From, s.To = []string{"*"}, []string{fmt.Sprintf("n%d", 1+rng.IntN(nodes))}
			}
			s.For = min(s.For, 1500)
		case kind == 9:
			s.Do, s.From, s.To, s.Link = "link", []string{name()}, []string{"discovery"}, Way{Drop: true, Back: true}
		case kind == 10:
			s.Do, s.From, s.To, s.For = []string{"reset", "half"}[rng.IntN(2)], []string{name()}, []string{"nodes"}, 0
		default:
			s.Do, s.From, s.To, s.For = "reset", []string{"client"}, []string{name()}, 0
		}
		p.Steps = append(p.Steps, s)
	}
	return p
}
