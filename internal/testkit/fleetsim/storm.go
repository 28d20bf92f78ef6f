package fleetsim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Storm is what a drawn run of faults came to.
type Storm struct {
	Kills, Restarts, Stops, Splits, Cuts int
	Voters                               int           // faults that struck a voter
	ConvergedAfter                       time.Duration // until all agreed after the last fault; -1: they did not
	*Watch
}

// convergenceTimeout bounds the time to agree after the last fault.
const convergenceTimeout = 3 * time.Minute

// Weather draws faults from the world's seed for a time, heals all, and waits until all that run agree. A majority of
// the voters is never without its state at one time: that is the operator's to mend.
func (w *World) Weather(length time.Duration) Storm {
	d := faultDrawer{world: w, rng: rand.New(rand.NewPCG(w.opts.Seed, 0x570)), storm: Storm{Watch: w.Watch()}}
	w.StartAll(time.Second)
	w.Run(10*w.opts.Lease, func() bool { return w.Agreed() })
	end := w.now + length
	for at := w.now; at < end; at += time.Duration(d.rng.Int64N(int64(12 * w.opts.Pace))) {
		w.Run(at, nil)
		n := w.nodes[d.rng.IntN(len(w.nodes))]
		if d.draw(n) && n.Index < w.opts.Voters {
			d.storm.Voters++
		}
	}
	w.Run(end+2*w.opts.Lease, nil)
	d.storm.ConvergedAfter = w.converge()
	return d.storm
}

// converge heals the links, starts all that are down, and waits until they agree; -1: they do not.
func (w *World) converge() time.Duration {
	w.Heal()
	for _, n := range w.nodes {
		if n.Core == nil {
			n.Start()
		}
	}
	from := w.now
	if w.Run(from+convergenceTimeout, w.Agreed) {
		return w.now - from
	}
	return -1
}

// faultDrawer draws the faults of a storm, and counts them.
type faultDrawer struct {
	world *World
	rng   *rand.Rand
	storm Storm
}

// draw draws a fault at a node, and reports whether it may happen.
func (d *faultDrawer) draw(n *Node) bool {
	lasts := time.Duration(d.rng.Int64N(int64(2 * d.world.opts.Lease)))
	switch d.rng.IntN(7) {
	case 0, 1:
		return d.kill(n, lasts/2)
	case 2, 3:
		return d.stop(n, lasts)
	case 4:
		d.split(lasts)
	default:
		d.partition(n, lasts)
	}
	return true
}

// kill kills a node that is to start again after a time. Without state, a voter's place must be filled before another one
// goes.
func (d *faultDrawer) kill(n *Node, down time.Duration) bool {
	w := d.world
	isVoter := n.Index < w.opts.Voters || n.Core != nil && n.Core.Views().IsVoter()
	if n.Core == nil || isVoter && !w.opts.Keep && !w.allVote() {
		return false
	}
	n.Kill()
	d.storm.Kills++
	start := n.start
	w.At(w.now+down, func() {
		if n.start == start {
			n.Start()
			d.storm.Restarts++
		}
	})
	return true
}

// stop has a node stand still.
func (d *faultDrawer) stop(n *Node, lasts time.Duration) bool {
	if n.Core == nil || n.stopped {
		return false
	}
	n.Stop(lasts)
	d.storm.Stops++
	return true
}

// split parts the nodes into two or three sides.
func (d *faultDrawer) split(lasts time.Duration) {
	w := d.world
	sides := 2 + d.rng.IntN(2)
	of := make([]int, len(w.nodes))
	for i := range of {
		of[i] = d.rng.IntN(sides)
	}
	w.Split(func(i int) int { return of[i] })
	w.At(w.now+lasts, w.Heal)
	d.storm.Splits++
}

// partition cuts the way from a node to another one.
func (d *faultDrawer) partition(n *Node, lasts time.Duration) {
	w := d.world
	to := d.rng.IntN(len(w.nodes))
	w.Partition(n.Index, to, true)
	w.At(w.now+lasts, func() { w.Partition(n.Index, to, false) })
	d.storm.Cuts++
}

// allVote tells whether all named voters run and vote.
func (w *World) allVote() bool {
	for _, n := range w.nodes[:w.opts.Voters] {
		if n.Core == nil || n.stopped || !n.Core.Views().IsVoter() {
			return false
		}
		group, leader := n.Core.Views().VoterGroup()
		first, _ := w.nodes[0].Core.Views().VoterGroup()
		if len(group.Voters) != w.opts.Voters || leader == "" || !slices.Equal(group.Voters, first.Voters) {
			return false
		}
	}
	return true
}

// Agreed tells whether all that run hold one view, of exactly those that run.
func (w *World) Agreed() bool {
	var first *Node
	up := 0
	for _, n := range w.nodes {
		if n.Core != nil {
			up++
			first = n
		}
	}
	if first == nil {
		return true
	}
	want, _ := first.Core.Views().View()
	for _, n := range w.nodes {
		if n.Core == nil {
			continue
		}
		v, ok := n.Core.Views().View()
		if !ok || n.stopped || len(v.Members) != up || v.ID != want.ID || !n.Core.Views().HoldsLease(n.clock(w.now)) {
			return false
		}
	}
	return true
}
