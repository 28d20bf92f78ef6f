package fleetsim

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/quota"
)

// inFlight is the gates of a world's members, which get their shares by the members' actions alone, and the requests that they
// have admitted.
type inFlight struct {
	world *World
	rng   *rand.Rand
	limit quota.Limit
	gates []*quota.Gate
	most  quota.Unit // at any time, of all members
}

// requestDuration is how long a request is in flight: longer than a round of reports.
const requestDuration = time.Second

// newInFlight makes a world of members with gates.
func newInFlight(o Options) *inFlight {
	f := &inFlight{rng: rand.New(rand.NewPCG(o.Seed, 0x1f11)), limit: o.Limits[0]}
	for range o.Members {
		f.gates = append(f.gates, quota.NewGate(quota.InFlight, 0, 0))
	}
	o.InUse = f.inUse
	f.world = New(o)
	f.world.Acted = func(n *Node, at time.Duration, a fleet.Action) {
		if _, ok := a.(fleet.QuotaSharesChanged); ok {
			share, fallback, expiry := n.Core.Holder().Share(f.limit.Name, n.clock(at))
			f.gates[n.Index].SetShare(n.clock(at), share, fallback, expiry)
		}
	}
	return f
}

// inUse is what a member has in flight when it reports. Half of the time as many requests as its gate admits come right then.
func (f *inFlight) inUse(member int) quota.Unit {
	before := f.gates[member].InUse()
	if f.rng.IntN(2) == 0 {
		f.fill(member)
	}
	return before
}

// fill has a member admit requests until its gate admits no more.
func (f *inFlight) fill(member int) {
	w, gate := f.world, f.gates[member]
	now := w.Node(member).clock(w.Now())
	for {
		slot, _, ok := gate.Take(now, now+requestDuration)
		if !ok {
			break
		}
		w.At(w.Now()+requestDuration, func() { gate.Done(slot) })
	}
	all := quota.Unit(0)
	for _, g := range f.gates {
		all += g.InUse()
	}
	f.most = max(f.most, all)
}

// A member that stood still finds a grant that lowers its share together with a report that is due: requests that it admits
// until its gate has the new share count.
func TestRequestsInFlightStayUnderTheLimitThroughShortStops(t *testing.T) {
	const total = 40
	most := quota.Unit(0)
	for seed := range uint64(seeds(12)) {
		f := newInFlight(Options{Members: 5, Delay: 50 * time.Millisecond, Jitter: 100 * time.Millisecond, Seed: seed + 1,
			Limits: []quota.Limit{{Name: "x", Kind: quota.InFlight, Total: total, FloorPercent: 25, MaxMembers: 5}},
			Demand: func(member int, now time.Duration) quota.Unit {
				if member == int(now/(3*time.Second))%5 {
					return total
				}
				return total / 10
			}})
		w := f.world
		w.StartAll(time.Second)
		w.Run(40*time.Second, nil)
		for w.Now() < 3*time.Minute {
			w.Node(f.rng.IntN(5)).Stop(time.Duration(100+f.rng.IntN(1500)) * time.Millisecond)
			w.Run(w.Now()+time.Duration(f.rng.IntN(1500))*time.Millisecond, nil)
		}
		if f.most > total {
			t.Errorf("seed %d: %d in flight, the limit is %d", seed+1, f.most, total)
		}
		most = max(most, f.most)
	}
	if most < total*3/4 {
		t.Errorf("%d in flight at the most: the limit was not tried", most)
	}
	t.Logf("%d of %d in flight at the most", most, total)
}
