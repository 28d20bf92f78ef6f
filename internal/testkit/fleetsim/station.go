package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/verdict"
)

// Station is execute nodes and the traffic of the members to them. A member sends each request to a node drawn from those
// that it does not avoid: nothing is learned but by verdicts.
type Station struct {
	Nodes []verdict.Node
	Zone  func(member int) string
	Rate  float64 // requests a second of a member; 0: somebody else counts what becomes of them
	// Outcome is what a request of a member to a node comes to, by the world's time.
	Outcome func(member, node int, at time.Duration) (failed bool, took time.Duration)
	// Sees is what a member makes of its outcome; nil: what it is. It is how members lie.
	Sees   func(member, node int, failed bool) bool
	Pct    int // of the nodes that may be under verdict; 0: 25
	Mutate verdict.Mutation
	Off    bool // nobody makes verdicts

	Avoids func(member int, nodes []string) // told of what a member avoids from now on; nil: nobody is

	Avoided []Avoidance // what the members did, in order
	Sent    []Sending
}

// Avoidance is that a member avoids these nodes from a time on.
type Avoidance struct {
	At     time.Duration
	Member int
	Nodes  []string
}

// Sending is one request.
type Sending struct {
	At           time.Duration
	Member, Node int
	Failed       bool
}

// Avoiders are the members that avoid a node at the end of what is known.
func (s *Station) Avoiders(node string) (members []int) {
	last := map[int][]string{}
	for _, a := range s.Avoided {
		last[a.Member] = a.Nodes
	}
	for m, nodes := range last {
		if slices.Contains(nodes, node) {
			members = append(members, m)
		}
	}
	slices.Sort(members)
	return members
}

// seen is what one member knows of the station.
type seen struct {
	station *Station
	tally   verdict.Tally
	avoid   []string
}

func (s *seen) Evidence(now time.Duration) []verdict.Evidence { return s.tally.Evidence(now) }
func (s *seen) Listed() []verdict.Node                        { return s.station.Nodes }
func (s *seen) Forget(node string)                            { s.tally.Forget(node) }

// join gives a member that starts its part, and has it send.
func (s *Station) join(n *Node, cfg *fleet.CoreConfig) {
	n.seen = &seen{station: s}
	if !s.Off {
		cfg.Observations, cfg.VerdictPercent, cfg.MutateVerdict = n.seen, s.Pct, s.Mutate
		if cfg.VerdictPercent == 0 {
			cfg.VerdictPercent = 25
		}
		cfg.Member.Zone = s.Zone(n.Index)
	}
	if s.Rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(n.world.opts.Seed, uint64(n.Index)<<32|n.start))
	start := n.start
	var next func()
	next = func() {
		if n.start != start {
			return
		}
		n.send(rng)
		n.world.At(n.world.now+time.Duration(rng.ExpFloat64()/s.Rate*float64(time.Second)), next)
	}
	n.world.At(n.world.now+time.Duration(rng.ExpFloat64()/s.Rate*float64(time.Second)), next)
}

// send sends one request; it ends at once as far as the world goes, with the time that it took told.
func (n *Node) send(rng *rand.Rand) {
	w, s := n.world, n.seen.station
	if n.Core == nil || n.stopped || len(n.seen.avoid) >= len(s.Nodes) {
		return
	}
	at := rng.IntN(len(s.Nodes))
	for slices.Contains(n.seen.avoid, s.Nodes[at].Name) {
		at = rng.IntN(len(s.Nodes))
	}
	failed, took := s.Outcome(n.Index, at, w.now)
	s.Sent = append(s.Sent, Sending{w.now, n.Index, at, failed})
	n.Count(s.Nodes[at].Name, at, failed, took)
}

// Count has a member count what became of a request to a node of a name and number.
func (n *Node) Count(name string, number int, failed bool, took time.Duration) {
	s := n.seen.station
	if s.Sees != nil {
		failed = s.Sees(n.Index, number, failed)
	}
	n.seen.tally.Count(n.clock(n.world.now), name, failed, took)
}

func (n *Node) avoids(nodes []string) {
	n.seen.avoid = nodes
	s := n.seen.station
	if s.Avoids != nil {
		s.Avoids(n.Index, nodes)
	}
	s.Avoided = append(s.Avoided, Avoidance{n.world.now, n.Index, nodes})
}

// Stations are nodes spread evenly over zones.
func Stations(nodes, zones int) (all []verdict.Node) {
	for i := range nodes {
		all = append(all, verdict.Node{Name: fmt.Sprintf("n%d", i+1), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return all
}
