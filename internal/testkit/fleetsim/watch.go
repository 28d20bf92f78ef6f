package fleetsim

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/view"
)

// Watch judges a world's views from outside: it knows what was decided when, and who held what when, and no more.
type Watch struct {
	w       *World
	sums    map[view.ID]uint64
	decided map[view.ID]time.Duration // by the world's clock, the first time
	latest  view.ID                   // of those
	bound   time.Duration
	Broken  []string
	Held    int           // looks at members that held a view
	Late    int           // of those, at a view after which another one was decided already
	Oldest  time.Duration // the longest that a view was held after the next one was decided
	Views   int
}

// mostBroken bounds what is written down.
const mostBroken = 20

// Watch begins to judge. It takes the place of Heard and Stepped, which it calls on.
func (w *World) Watch() *Watch {
	k := &Watch{w: w, sums: map[view.ID]uint64{}, decided: map[view.ID]time.Duration{}}
	// In the world's time: the slowest clock takes this long for a lease and its allowance.
	k.bound = time.Duration(float64(view.StalenessBound(w.opts.Lease, 2.1*w.opts.Drift)) * (1 + 1.1*w.opts.Drift))
	heard, stepped := w.Heard, w.Stepped
	w.Heard = func(n *Node, at time.Duration, a fleet.Action) {
		switch a := a.(type) {
		case fleet.Decided:
			k.see(n, at, a.View, true)
		case fleet.Adopted:
			k.see(n, at, a.View, false)
		}
		if heard != nil {
			heard(n, at, a)
		}
	}
	w.Stepped = func(n *Node, at time.Duration) {
		k.look(n, at)
		if stepped != nil {
			stepped(n, at)
		}
	}
	return k
}

func (k *Watch) broke(format string, args ...any) {
	if len(k.Broken) < mostBroken {
		k.Broken = append(k.Broken, fmt.Sprintf(format, args...))
	}
}

func (k *Watch) see(n *Node, at time.Duration, v view.View, decided bool) {
	if v.ID.Number == 0 {
		return
	}
	sum := v.Sum()
	if was, ok := k.sums[v.ID]; ok && was != sum {
		k.broke("%v: %s has another view under %v", at, n.Name, v.ID)
	}
	k.sums[v.ID] = sum
	if !decided {
		if _, ok := k.decided[v.ID]; !ok {
			k.broke("%v: %s goes by %v, which nobody decided", at, n.Name, v.ID)
		}
		return
	}
	if _, ok := k.decided[v.ID]; !ok {
		k.decided[v.ID] = at
		k.Views++
		if v.ID.Compare(k.latest) > 0 {
			k.latest = v.ID
		}
	}
}

// next is when the view after one was decided.
func (k *Watch) next(id view.ID) (time.Duration, bool) {
	if at, ok := k.decided[view.ID{Era: id.Era, Number: id.Number + 1}]; ok {
		return at, true
	}
	if k.latest.Era > id.Era { // another group took over
		at, ok := k.decided[view.ID{Era: k.latest.Era, Number: 1}]
		return at, ok
	}
	return 0, false
}

func (k *Watch) look(n *Node, at time.Duration) {
	if n.Core == nil || n.stopped || !n.Core.Views().HoldsLease(n.clock(at)) {
		return
	}
	k.Held++
	v, _ := n.Core.Views().View()
	if since, ok := k.next(v.ID); ok {
		k.Late++
		k.Oldest = max(k.Oldest, at-since)
		if at-since > k.bound {
			k.broke("%v: %s holds %v, %v after the next one was decided; the bound is %v", at, n.Name, v.ID, at-since, k.bound)
		}
	}
}
