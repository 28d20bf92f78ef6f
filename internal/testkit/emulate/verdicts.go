package emulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/verdict"
	"fieldrelay/internal/testkit/fleetsim"
)

// Verdicts is the name of the decision module in a fleet that makes verdicts on execute nodes: each sidecar has a member of
// an emulated fleet beside it, the code that runs under sockets.
const Verdicts = "module+verdicts"

// Fleet is how the sidecars are a fleet, for the policy Verdicts.
type Fleet struct {
	Zones int     `toml:"zones"`    // that the sidecars are spread over; 0: one
	Delay float64 `toml:"delay_ms"` // one way, between two of them
	Loss  float64 `toml:"loss"`     // part of the datagrams
	Liars float64 `toml:"liars"`    // part of the sidecars that say of every other node that it fails
	Pct   int     `toml:"verdict_pct"`
}

// settling is how long the members have had before the run begins; stepping is how often they are brought up to date.
const (
	settling = 20 * time.Second
	stepping = 25 * time.Millisecond
)

// circle is the members of all sidecars.
type circle struct {
	w       *simulation
	station *fleetsim.Station
	members *fleetsim.World
	avoid   []map[uint64]bool // by sidecar
}

// judged is a policy that is told of a node that is avoided as of one that drains.
type judged struct {
	Policy
	circle *circle
	no     int
}

func (j *judged) Step(now time.Duration, ev *logic.Event, acts []logic.Action) []logic.Action {
	if ev.Kind == logic.EvServerList {
		for i := range ev.Servers {
			if s := &ev.Servers[i]; s.State == logic.Ready && j.circle.avoid[j.no][s.ID] {
				s.State = logic.Draining
			}
		}
		j.circle.listed()
	}
	return j.Policy.Step(now, ev, acts)
}

// zoneOf is the zone of a sidecar.
func (s *Scenario) zoneOf(no int) string { return fmt.Sprintf("z%d", no%max(1, s.Fleet.Zones)) }

func newCircle(w *simulation, seed uint64) *circle {
	s := w.s
	c := &circle{w: w, avoid: make([]map[uint64]bool, s.Sidecars)}
	liars := map[int]bool{}
	for _, no := range stream(seed, "liars").Perm(s.Sidecars)[:int(math.Floor(s.Fleet.Liars*float64(s.Sidecars)))] {
		liars[no] = true
	}
	c.station = &fleetsim.Station{Zone: s.zoneOf, Pct: s.Fleet.Pct, Avoids: c.avoids,
		Sees: func(member, node int, failed bool) bool { return failed || liars[member] && node%2 == 0 }}
	c.members = fleetsim.New(fleetsim.Options{Members: s.Sidecars, Delay: seconds(s.Fleet.Delay/1e3) + time.Microsecond, Jitter: seconds(s.Fleet.Delay/1e3) + time.Microsecond,
		Loss: s.Fleet.Loss, Seed: seed, Station: c.station})
	c.listed()
	c.members.StartAll(time.Second)
	c.members.Run(settling, nil)
	w.at(epoch, task(c.step), 0)
	return c
}

func (c *circle) step() {
	c.members.Run(settling+c.w.now-epoch, nil)
	if c.w.now < epoch+seconds(c.w.s.Length) {
		c.w.at(c.w.now+stepping, task(c.step), 0)
	}
}

// listed brings the members' list up to date.
func (c *circle) listed() {
	c.station.Nodes = c.station.Nodes[:0]
	for _, n := range c.w.order {
		if n.state == logic.Ready {
			c.station.Nodes = append(c.station.Nodes, verdict.Node{Name: strconv.FormatUint(n.id, 10), Zone: "a", Since: n.since})
		}
	}
}

// outcome is told of each attempt that ended.
func (c *circle) outcome(no int, n *node, o logic.Outcome, took time.Duration) {
	switch o {
	case logic.Done, logic.Errored, logic.TimedOut, logic.Refused, logic.Reset:
		c.members.Node(no).Count(strconv.FormatUint(n.id, 10), int(n.id), o != logic.Done, took)
	}
}

// avoids has a sidecar avoid nodes from now on.
func (c *circle) avoids(no int, names []string) {
	next := map[uint64]bool{}
	for _, name := range names {
		if id, err := strconv.ParseUint(name, 10, 64); err == nil {
			next[id] = true
		}
	}
	was := c.avoid[no]
	c.avoid[no] = next
	ev := logic.Event{Kind: logic.EvServerList}
	for _, n := range c.w.order {
		if len(c.w.sidecars) <= no {
			break // before the run
		}
		_, unfit := c.w.sidecars[no].notified[n.id] // by its own list
		if was[n.id] != next[n.id] && n.state == logic.Ready && !unfit {
			e := n.entry()
			ev.Servers = append(ev.Servers, e)
		}
	}
	if len(ev.Servers) > 0 {
		c.w.sidecars[no].step(&ev)
	}
}

// unreachable tells whether a sidecar cannot reach a node now.
func (n *node) unreachable(no int) bool { return slices.Contains(n.partitionedFrom, no) }

// partitionedSidecars draws the sidecars of one zone, as many as a part of all.
func partitionedSidecars(s *Scenario, part float64, pick *rand.Rand) (all []int) {
	zone := s.zoneOf(pick.IntN(s.Sidecars))
	for _, no := range pick.Perm(s.Sidecars) {
		if s.zoneOf(no) == zone && float64(len(all)) < part*float64(s.Sidecars) {
			all = append(all, no)
		}
	}
	return all
}
