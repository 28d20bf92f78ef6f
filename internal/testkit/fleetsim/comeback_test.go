package fleetsim

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/view"
)

// lost has a part of the members end at once, some voters without their state, and start again within a second. It tells how
// long all took to hold one view, from the last start.
func lost(t *testing.T, o Options, killed int, lose func(i int) bool, stay ...int) (w *World, k *Watch, took time.Duration, notices []string) {
	t.Helper()
	w = New(o)
	w.Heard = func(_ *Node, _ time.Duration, a fleet.Action) {
		if n, ok := a.(fleet.Notice); ok && n.Alert {
			notices = append(notices, n.Text)
		}
	}
	k = w.Watch()
	w.StartAll(time.Second)
	if !w.Run(120*time.Second, w.Agreed) {
		t.Fatal("no first view")
	}
	w.Run(w.now+10*o.Lease, nil)
	for i := range killed {
		w.nodes[i].Kill()
		if lose(i) {
			w.nodes[i].LoseState()
		}
	}
	for i := range killed {
		if !slices.Contains(stay, i) {
			w.At(w.now+500*time.Millisecond+time.Duration(i)*time.Second/time.Duration(killed), w.nodes[i].Start)
		}
	}
	w.Run(w.now+1500*time.Millisecond, nil)
	from := w.now
	if !w.Run(from+60*time.Second, w.Agreed) {
		return w, k, -1, notices
	}
	return w, k, w.now - from, notices
}

// refoundBound is what docs/design/comeback.md promises while nothing is lost on links.
func refoundBound(members int, pace, lease time.Duration, drift float64) time.Duration {
	return max(view.StalenessBound(lease, drift), 20*pace) + 8*pace + 2*pace + time.Duration(members)*pace/32 + view.StalenessBound(lease, drift) + 4*pace
}

// The voters lose their state and others live on: without an operator's word the fleet is one again, within its bound, in a
// later era; a minority's loss founds nothing.
func TestMajorityWithoutStateComesBack(t *testing.T) {
	pace, lease := 250*time.Millisecond, 5*time.Second
	for _, members := range []int{4, 10, 50} {
		for name, c := range map[string]struct {
			lose    func(i int) bool
			newEra  bool
			members int
		}{
			"all voters":           {lose: func(i int) bool { return i < 3 }, newEra: true},
			"two of three voters":  {lose: func(i int) bool { return i < 2 }, newEra: true},
			"one of three, and no": {lose: func(i int) bool { return i == 1 }},
		} {
			var worst time.Duration
			for seed := range uint64(6) {
				o := Options{Members: members, Pace: pace, Lease: lease, Delay: 2 * time.Millisecond, Jitter: 5 * time.Millisecond, Drift: 0.001, Keep: true, Refound: true, Seed: seed + 1}
				w, k, took, notices := lost(t, o, max(3, members*7/10), c.lose)
				if took < 0 {
					t.Fatalf("%d members, %s, seed %d: not one again: %q", members, name, seed+1, notices)
				}
				worst = max(worst, took)
				for _, b := range k.Broken {
					t.Errorf("%d members, %s: %s", members, name, b)
				}
				v, _ := w.Node(members - 1).Core.Views().View()
				if fresh := v.ID.Era>>20 > uint64(30*time.Second/time.Millisecond); fresh != c.newEra { // eras begin with the time
					t.Errorf("%d members, %s: a new era: %t; %q", members, name, fresh, notices)
				}
			}
			bound := refoundBound(members, pace, lease, 0.001)
			t.Logf("%d members, %s: one view %v after the last start at the most, bound %v", members, name, worst, bound)
			if worst > bound {
				t.Errorf("%d members, %s: %v", members, name, worst)
			}
		}
	}
}

// Where it cannot be known that the old majority is gone nothing is founded, and a line says what is missing.
func TestNothingIsFoundedBesideAMajorityThatMayLive(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(i int) bool
		stay []int // killed and not started again
		want string
	}{
		"a named voter is away":               {func(i int) bool { return i < 2 }, []int{2}, "voter m3 has not answered"},
		"members that may have become voters": {func(i int) bool { return i < 3 }, []int{5, 6}, "m6, m7 may still be the majority of the voters"},
	} {
		_, k, took, notices := lost(t, Options{Members: 10, Lease: 5 * time.Second, Delay: 2 * time.Millisecond, Keep: true, Refound: true, Seed: 3}, 7, c.lose, c.stay...)
		if took >= 0 {
			t.Errorf("%s: one view again", name)
		}
		if !slices.ContainsFunc(notices, func(n string) bool { return strings.Contains(n, c.want) }) {
			t.Errorf("%s: not told: %q", name, notices)
		}
		for _, b := range k.Broken {
			t.Errorf("%s: %s", name, b)
		}
	}
}

// refoundStorm kills members with and without their state, stops and splits them.
func refoundStorm(seed uint64, mutate view.Mutation) (*Watch, int, bool) {
	w := New(Options{Members: 6, Seed: seed, Lease: 5 * time.Second, Delay: 2 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.02, Drift: 0.002, Keep: true, Refound: true, MutateView: mutate})
	k := w.Watch()
	founded := 0
	heard := w.Heard
	w.Heard = func(n *Node, at time.Duration, a fleet.Action) {
		if x, ok := a.(fleet.Notice); ok && strings.Contains(x.Text, "can decide again") {
			founded++
		}
		heard(n, at, a)
	}
	w.StartAll(time.Second)
	w.Run(20*time.Second, nil)
	rng := rand.New(rand.NewPCG(seed, 0xbac))
	for w.now < 240*time.Second {
		switch rng.IntN(4) {
		case 0: // most end at once; of some the state is gone
			for i, n := range w.nodes {
				if n.Core == nil || rng.IntN(10) < 3 {
					continue
				}
				n.Kill()
				if i < 3 && rng.IntN(2) == 0 {
					n.LoseState()
				}
				w.At(w.now+time.Duration(rng.IntN(6000))*time.Millisecond, func() {
					if n.Core == nil {
						n.Start()
					}
				})
			}
		case 1:
			side := rng.IntN(1 << 6)
			w.Split(func(i int) int { return side >> i & 1 })
			w.At(w.now+time.Duration(rng.IntN(15))*time.Second, w.Heal)
		case 2:
			if n := w.nodes[rng.IntN(6)]; n.Core != nil && !n.stopped {
				n.Stop(time.Duration(rng.IntN(12)) * time.Second)
			}
		}
		w.Run(w.now+time.Duration(2+rng.IntN(20))*time.Second, nil)
	}
	w.Heal()
	for _, n := range w.nodes {
		if n.Core == nil {
			n.Start()
		}
	}
	return k, founded, w.Run(w.now+60*time.Second, w.Agreed)
}

// Whatever ends, with or without state, in whatever order: no view is held beside another for longer than promised, and
// all that are there come back together without a word of an operator.
func TestStormsOfLostState(t *testing.T) {
	founded, again := 0, 0
	for seed := range uint64(30) {
		k, n, ok := refoundStorm(seed+1, view.NoMutation)
		for _, b := range k.Broken {
			t.Errorf("seed %d: %s", seed+1, b)
		}
		if founded += n; ok {
			again++
		} else {
			t.Errorf("seed %d: not one again", seed+1)
		}
	}
	t.Logf("30 storms: %d times a new group was founded by itself; %d one again in the end", founded, again)
	if founded < 10 {
		t.Error("hardly any group was lost: the storms show nothing")
	}
}

// The voters were replaced by members that the file does not name, which are then cut off and decide on: the named ones, back
// without their state, must not found a group beside them. One that does is noticed.
func TestNothingIsFoundedBesideReplacedVoters(t *testing.T) {
	for name, mutate := range map[string]view.Mutation{"as it is": view.NoMutation, "whoever may be left": view.RefoundUnchecked} {
		w := New(Options{Members: 6, Lease: 5 * time.Second, Delay: 2 * time.Millisecond, Keep: true, Refound: true, MutateView: mutate, Seed: 2})
		founded := false
		w.Heard = func(_ *Node, _ time.Duration, a fleet.Action) {
			x, ok := a.(fleet.Notice)
			founded = founded || ok && strings.Contains(x.Text, "can decide again")
		}
		k := w.Watch()
		w.StartAll(time.Second)
		w.Run(60*time.Second, w.Agreed)
		votes := func(i int) func() bool { return func() bool { return w.nodes[i].Core.Views().IsVoter() } }
		for i := range 2 { // one after the other, for good as it seems
			w.nodes[i].Kill()
			w.nodes[i].LoseState()
			if !w.Run(w.now+60*time.Second, func() bool { return votes(3)() && (i == 0 || votes(4)()) }) {
				t.Fatalf("%s: nobody took the place of voter %d", name, i+1)
			}
			w.Run(w.now+10*time.Second, nil)
		}
		w.Split(func(i int) int { return min(1, max(0, 4-i)*max(0, i-2)+max(0, i-3)*max(0, 5-i)) }) // m4 and m5 by themselves
		w.nodes[0].Start()
		w.nodes[1].Start()
		w.Run(w.now+40*time.Second, nil)
		if founded != (mutate == view.RefoundUnchecked) {
			t.Errorf("%s: founded %t", name, founded)
		}
		w.Heal()
		if again := w.Run(w.now+60*time.Second, w.Agreed); !again && mutate == view.NoMutation {
			t.Error("not one again after the cut")
		}
		if noticed := len(k.Broken) > 0; noticed != (mutate == view.RefoundUnchecked) {
			t.Errorf("%s: broken %q", name, k.Broken)
		}
	}
}

// wave is what members got in windows of 100 ms: the most of any one member.
type wave struct {
	window               time.Duration
	got                  map[int][2]int // of the present window: messages, bytes
	told                 map[string]int // whole tables, by who told them
	Messages, KB, Tables int
	All                  int // messages of all together
}

func (v *wave) see(to *Node, at time.Duration, bytes int, f *peer.Frame) {
	if w := at / (100 * time.Millisecond); w != v.window || v.got == nil {
		v.window, v.got, v.told = w, map[int][2]int{}, map[string]int{}
	}
	g := v.got[to.Index]
	g[0]++
	g[1] += bytes
	if f.Member != nil && f.Member.Kind == member.SyncReply && !f.Member.Partial {
		v.told[f.From.Name]++
		v.Tables = max(v.Tables, v.told[f.From.Name])
	}
	v.got[to.Index] = g
	v.Messages, v.KB = max(v.Messages, g[0]), max(v.KB, g[1]/1000)
	all := 0
	for _, g := range v.got {
		all += g[0]
	}
	v.All = max(v.All, all)
}

// massRestart has a part of a fleet end at once and start again within a second. It tells the waves in steady state, while
// it came back, and how long that took.
func massRestart(t *testing.T, members int, part float64, seed uint64) (steady, back wave, took time.Duration) {
	w := New(Options{Members: members, Seed: seed, Delay: 2 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.01, Drift: 0.001, Keep: true, Refound: true})
	w.StartAll(2 * time.Second)
	if !w.Run(180*time.Second, w.Agreed) {
		t.Fatalf("%d members: no first view", members)
	}
	w.Run(w.now+20*time.Second, nil)
	w.Passed = steady.see
	w.Run(w.now+5*time.Second, nil)
	w.Passed = back.see
	killed := int(part * float64(members))
	for i := range killed {
		w.nodes[i].Kill()
		w.At(w.now+500*time.Millisecond+time.Duration(i)*time.Second/time.Duration(killed), w.nodes[i].Start)
	}
	w.Run(w.now+1500*time.Millisecond, nil)
	from := w.now
	if !w.Run(from+120*time.Second, w.Agreed) {
		return steady, back, -1
	}
	return steady, back, w.now - from
}

// Members that come back together do not all ask the same one: what any member gets in 100 ms stays within a bound that
// grows with the logarithm of the fleet at the most.
func TestMassRestartIsNoWave(t *testing.T) {
	sizes, seeds := []int{10, 100}, 2
	if n, err := strconv.Atoi(os.Getenv("FLEETSIM_SIZE")); err == nil {
		sizes = []int{n}
	}
	for _, members := range sizes {
		for _, part := range []float64{0.7, 1} {
			for seed := range uint64(seeds) {
				steady, back, took := massRestart(t, members, part, seed+1)
				t.Logf("%d members, %.0f%% at once, seed %d: one view %v after the last start; the most in 100 ms: that one member got %d messages (%d before), %d kB (%d); that one told %d whole tables (%d); of all %d messages (%d)",
					members, 100*part, seed+1, took, back.Messages, steady.Messages, back.KB, steady.KB, back.Tables, steady.Tables, back.All, steady.All)
				if took < 0 || took > 10*time.Second {
					t.Errorf("%d members: one view after %v", members, took)
				}
				if back.Messages > 60 || back.Tables > 8 {
					t.Errorf("%d members: a wave of %d messages at one member, %d tables told by one, in 100 ms", members, back.Messages, back.Tables)
				}
			}
		}
	}
}
