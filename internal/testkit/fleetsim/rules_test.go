package fleetsim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fieldrelay/internal/sidecar/fleet"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// edition is a pushed edition of some content.
func edition(t testing.TB, salt int) rules.Edition {
	e, faults := rules.Parse(fmt.Appendf(nil, "version = 1\n[sampling]\nformat = \"2\"\nsalt = %d\nrate = 0.1\nkeep_failed = true\n# end\n", salt))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return e
}

// watched keeps what is in force where, and judges it: by the history alone.
type watched struct {
	w      *World
	bound  time.Duration
	at     map[string]map[int]time.Duration // digest to member to since when
	agreed map[uint64]time.Duration         // number to when it was first decided
	sums   map[uint64]string
	force  map[int]uint64
	lines  []string
	broken []string
	most   int // editions in force among holders at once
}

func watchRules(w *World) *watched {
	x := &watched{w: w, bound: view.StalenessBound(w.opts.Lease, 2.1*w.opts.Drift), at: map[string]map[int]time.Duration{}, agreed: map[uint64]time.Duration{}, sums: map[uint64]string{}, force: map[int]uint64{}}
	w.Heard = func(n *Node, at time.Duration, a fleet.Action) {
		switch a := a.(type) {
		case fleet.RulesEnforced:
			d := a.Compiled.Edition.Digest().String()
			if x.at[d] == nil {
				x.at[d] = map[int]time.Duration{}
			}
			x.at[d][n.Index], x.force[n.Index] = at, a.Compiled.Edition.Number
			if was := x.sums[a.Compiled.Edition.Number]; was != "" && was != d {
				x.broken = append(x.broken, fmt.Sprintf("edition %d is %s at one member and %s at another", a.Compiled.Edition.Number, was, d))
			}
			x.sums[a.Compiled.Edition.Number] = d
			if len(a.Compiled.Edition.Rules) == 0 {
				x.broken = append(x.broken, fmt.Sprintf("%s goes by edition %d and has none of its rules", n.Name, a.Compiled.Edition.Number))
			}
		case fleet.Decided:
			if r := a.View.Rules; r.Number > 0 {
				if _, ok := x.agreed[r.Number]; !ok {
					x.agreed[r.Number] = at
				}
			}
		case fleet.RulesLog:
			x.lines = append(x.lines, fmt.Sprintf("%v %s: %s", at, n.Name, a.Text))
		}
	}
	w.Stepped = func(n *Node, at time.Duration) {
		now := map[uint64]bool{}
		for _, m := range w.nodes {
			if m.Core == nil || m.stopped || m.Core.Skew() == nil || m.Core.Skew().Edition() == nil || !m.Core.Views().HoldsLease(m.clock(at)) || m.Core.Skew().Behind() != "" {
				continue
			}
			e := m.Core.Skew().Edition().Edition.Number
			now[e] = true
			if next, ok := x.agreed[e+1]; ok && at-next > x.bound+time.Millisecond {
				x.broken = append(x.broken, fmt.Sprintf("%v: %s holds its view and goes by edition %d, %v after %d was agreed", at, m.Name, e, at-next, e+1))
			}
		}
		if x.most = max(x.most, len(now)); len(now) > 2 {
			x.broken = append(x.broken, fmt.Sprintf("%v: %d editions in force among those that hold a view", at, len(now)))
		}
	}
	return x
}

func (x *watched) judge(t *testing.T) {
	t.Helper()
	for _, b := range x.broken[:min(5, len(x.broken))] {
		t.Error(b)
	}
}

func (x *watched) everywhere(e rules.Edition) func() bool {
	d := e.Digest()
	return func() bool {
		for _, n := range x.w.nodes {
			if n.Core != nil && (n.Core.Skew() == nil || n.Core.Skew().Edition() == nil || n.Core.Skew().Edition().Edition.Digest() != d) {
				return false
			}
		}
		return true
	}
}

func readers(reads func(member int) rules.FormatSet, change func(member int, c *versionskew.Config)) func(int) *versionskew.Config {
	return func(member int) *versionskew.Config {
		c := &versionskew.Config{Reads: rules.Supported(), ReturnTimeout: 5 * time.Second, ReplyTimeout: 10 * time.Second}
		if reads != nil {
			c.Reads = reads(member)
		}
		if change != nil {
			change(member, c)
		}
		return c
	}
}

// begun is a world in which all hold one view.
func begun(t *testing.T, opts Options) (*World, *watched) {
	t.Helper()
	w := New(opts)
	x := watchRules(w)
	w.StartAll(time.Second)
	if !w.Run(120*time.Second, func() bool {
		for _, n := range w.nodes {
			if v, ok := n.Core0().View(); !ok || len(v.Members) != opts.Members {
				return false
			}
		}
		return true
	}) {
		t.Fatal("no first view")
	}
	return w, x
}

// Core0 is the views of a member that runs.
func (n *Node) Core0() interface{ View() (view.View, bool) } {
	if n.Core == nil {
		return noView{}
	}
	return n.Core.Views()
}

type noView struct{}

func (noView) View() (view.View, bool) { return view.View{}, false }

var one = rules.FormatSet{rules.Sampling: {{Major: 1}}, rules.Limits: {{Major: 1}}}

// An edition is in force everywhere soon after it is pushed, at any size, by few messages a member.
func TestRulesComeIntoForce(t *testing.T) {
	for _, members := range []int{3, 10, 100} {
		w, x := begun(t, Options{Members: members, Seed: 5, Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Rules: readers(nil, nil)})
		before := w.Node(members - 1).Sent
		from := w.Now()
		w.Node(members - 1).Do(fleet.PushRules{Edition: edition(t, 1)})
		if !w.Run(from+30*time.Second, x.everywhere(edition(t, 1))) {
			t.Fatalf("%d members: not in force everywhere: %s", members, strings.Join(x.lines, "\n"))
		}
		took := w.Now() - from
		sent := w.Node(members - 1).Sent
		t.Logf("%d members: in force at all %v after the push; its pusher sent %d messages, %d bytes meanwhile", members, took, sent.Messages-before.Messages, sent.Bytes-before.Bytes)
		if took > 5*time.Second {
			t.Errorf("%d members: %v", members, took)
		}
		from = w.Now()
		w.Node(0).Do(fleet.PushRules{Edition: edition(t, 2)})
		w.Node(1).Do(fleet.PushRules{Edition: edition(t, 3)}) // two at once: one after the other
		w.Run(from+40*time.Second, func() bool {
			return len(x.agreed) >= 3 && (x.everywhere(edition(t, 2))() || x.everywhere(edition(t, 3))())
		})
		if len(x.agreed) != 3 || x.agreed[3]-x.agreed[2] < x.bound {
			t.Errorf("%d members: agreed %v", members, x.agreed)
		}
		x.judge(t)
	}
}

// A member that reads an earlier format, one that reads the format otherwise and one that is from before rules each keep
// the edition from being agreed; lowering and leaving behind let it through where they may.
func TestRulesWaitForTheOld(t *testing.T) {
	old := func(member int) rules.FormatSet {
		if member == 4 {
			return one
		}
		return rules.Supported()
	}
	otherwise := func(c *rules.Compiled, q rules.Case) string { q.Latency++; q.Failed = false; return c.Decide(q) }
	for name, c := range map[string]struct {
		rules func(int) *versionskew.Config
		plain bool // nothing that format 1 cannot say
		force bool
		line  string
	}{
		"an earlier format": {rules: readers(old, nil), line: `m5 cannot read: it reads "limits 1.0;sampling 1.0", not sampling 2.0`},
		"from before rules": {rules: func(member int) *versionskew.Config {
			if member == 4 {
				return nil
			}
			return readers(nil, nil)(member)
		}, line: `m5 cannot read: it reads "", not sampling 2.0`},
		"reads otherwise": {rules: readers(nil, func(member int, c *versionskew.Config) {
			if member == 4 {
				c.Decide = otherwise
			}
		}), line: "m5 reads otherwise: case "},
		"lowered":          {rules: readers(old, func(_ int, c *versionskew.Config) { c.Lower = true }), plain: true, force: true},
		"would lose":       {rules: readers(old, func(_ int, c *versionskew.Config) { c.Lower = true }), line: "it would lose failed traces kept after the fact"},
		"one left behind":  {rules: readers(old, func(_ int, c *versionskew.Config) { c.MaxBehind = 1 }), force: true, line: "m5: behind: edition 1: rules sampling 2.0: format not read"},
		"none left behind": {rules: readers(old, func(member int, c *versionskew.Config) { c.MaxBehind = 0 }), line: "m5 cannot read"},
	} {
		t.Run(name, func(t *testing.T) {
			w, x := begun(t, Options{Members: 5, Seed: 3, Delay: 2 * time.Millisecond, Rules: c.rules})
			e := edition(t, 1)
			if c.plain {
				var faults []rules.Fault
				if e, faults = rules.Parse([]byte("version = 1\n[sampling]\nformat = \"2\"\nrate = 0.1\n# end\n")); len(faults) > 0 {
					t.Fatal(faults)
				}
			}
			w.Node(1).Do(fleet.PushRules{Edition: e})
			w.Run(w.Now()+30*time.Second, nil)
			if got := len(x.agreed) > 0; got != c.force {
				t.Errorf("agreed: %t; %s", got, strings.Join(x.lines, "\n"))
			}
			if !strings.Contains(strings.Join(x.lines, "\n"), c.line) {
				t.Errorf("no line %q in\n%s", c.line, strings.Join(x.lines, "\n"))
			}
			x.judge(t)
		})
	}
}

// A member that is away and may return counts; one that answers slowly is waited for; one upgraded afterwards lets it through.
func TestRulesWaitForTheAway(t *testing.T) {
	w, x := begun(t, Options{Members: 5, Seed: 3, Delay: 2 * time.Millisecond, Rules: readers(nil, func(_ int, c *versionskew.Config) { c.ReturnTimeout = 20 * time.Second })})
	w.Node(4).Kill()
	killed := w.Now()
	w.Run(w.Now()+5*time.Second, nil)
	w.Node(1).Do(fleet.PushRules{Edition: edition(t, 1)})
	w.Run(w.Now()+60*time.Second, func() bool { return len(x.agreed) > 0 })
	if took := w.Now() - killed; took < 20*time.Second || took > 40*time.Second {
		t.Errorf("agreed %v after a member that may return within 20 s went", took)
	}
	w.Node(4).Start() // and comes back: it goes by what was agreed meanwhile
	if !w.Run(w.Now()+20*time.Second, x.everywhere(edition(t, 1))) {
		t.Error("it does not go by the edition that was agreed meanwhile")
	}
	x.judge(t)
}

// storm has editions pushed while members are killed, stopped and cut off, and frames lost.
func storm(t testing.TB, seed uint64, mutate versionskew.Mutation) (*watched, int) {
	w := New(Options{Members: 7, Seed: seed, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.03, Drift: 0.002, Keep: true,
		Rules: readers(nil, func(_ int, c *versionskew.Config) {
			c.Mutate, c.ReturnTimeout, c.ReplyTimeout = mutate, 2*time.Second, 2*time.Second
		})})
	x := watchRules(w)
	w.StartAll(time.Second)
	rng := w.rng
	struck := 0
	for at := 10 * time.Second; at < 110*time.Second; at += time.Duration(500+rng.IntN(3000)) * time.Millisecond {
		n, what := w.nodes[rng.IntN(len(w.nodes))], rng.IntN(6)
		salt := rng.IntN(40)
		w.At(at, func() {
			switch {
			case what <= 1:
				if n.Core != nil {
					n.Do(fleet.PushRules{Edition: edition(t, salt)})
				}
				return
			case what == 2:
				if n.Core != nil {
					n.Kill()
					w.At(w.Now()+time.Duration(1+rng.IntN(4))*time.Second, func() {
						if n.Core == nil {
							n.Start()
						}
					})
				}
			case what == 3:
				if n.Core != nil && !n.stopped {
					n.Stop(time.Duration(1+rng.IntN(9)) * time.Second)
				}
			case what == 4:
				side := rng.IntN(1 << 7)
				w.Split(func(i int) int { return side >> i & 1 })
				w.At(w.Now()+time.Duration(1+rng.IntN(8))*time.Second, w.Heal)
			default:
				w.Partition(rng.IntN(7), rng.IntN(7), true)
			}
			struck++
		})
	}
	w.Run(110*time.Second, nil)
	w.Heal()
	for _, n := range w.nodes {
		if n.Core == nil {
			n.Start()
		}
	}
	w.Run(180*time.Second, nil)
	return x, struck
}

// Whatever fails, no more than two editions are in force among those that hold a view, none longer than its bound, each
// whole and the same everywhere; and all go by one in the end.
func TestStormsOfRules(t *testing.T) {
	agreed, struck, seeds := 0, 0, 20
	for seed := range uint64(seeds) {
		x, n := storm(t, seed+1, versionskew.NoMutation)
		agreed, struck = agreed+len(x.agreed), struck+n
		x.judge(t)
		last := map[uint64]int{}
		for i, node := range x.w.nodes {
			if v, ok := node.Core.Views().View(); ok && v.Rules.Number > 0 && node.Core.Skew().Behind() == "" {
				last[x.force[i]]++
			}
		}
		if len(x.agreed) > 0 && (len(last) != 1 || last[slices.Max(keys(x.agreed))] != 7) {
			t.Errorf("seed %d: in the end %v, agreed %v", seed+1, last, keys(x.agreed))
		}
	}
	t.Logf("%d storms, %d faults: %d editions agreed", seeds, struck, agreed)
	if agreed < seeds {
		t.Error("hardly anything was agreed: the storms show nothing")
	}
}

func keys(m map[uint64]time.Duration) (all []uint64) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Faults put in on purpose are noticed.
func TestStormsNoticeFaultsOfRules(t *testing.T) {
	for name, mutate := range map[string]versionskew.Mutation{"the next edition at once": versionskew.NoWait, "by a number without its content": versionskew.HalfInForce} {
		noticed := 0
		for seed := uint64(1); seed <= 40 && noticed == 0; seed++ {
			if x, _ := storm(t, seed, mutate); len(x.broken) > 0 {
				noticed++
			}
		}
		if noticed == 0 {
			t.Errorf("%s: not noticed", name)
		}
	}
}

// A claim that is believed, a silence taken for understanding, and an answer of an earlier process are noticed.
func TestTrialsNoticeFaults(t *testing.T) {
	otherwise := func(c *rules.Compiled, q rules.Case) string { q.Failed = false; return c.Decide(q) }
	for name, mutate := range map[string]versionskew.Mutation{"none": versionskew.NoMutation, "claims believed": versionskew.TrustsClaims, "silence understood": versionskew.SkipsSilent} {
		w, x := begun(t, Options{Members: 5, Seed: 3, Delay: 2 * time.Millisecond, Rules: readers(nil, func(member int, c *versionskew.Config) {
			c.Mutate = mutate
			if member == 4 && mutate != versionskew.SkipsSilent {
				c.Decide = otherwise
			}
		})})
		if mutate == versionskew.SkipsSilent || mutate == versionskew.NoMutation {
			w.Node(4).Stop(time.Hour) // it never answers
		}
		w.Node(1).Do(fleet.PushRules{Edition: edition(t, 1)})
		w.Run(w.Now()+1500*time.Millisecond, nil)
		if agreed := len(x.agreed) > 0; agreed != (mutate != versionskew.NoMutation) {
			t.Errorf("%s: agreed %t; %s", name, agreed, strings.Join(x.lines, "\n"))
		}
	}
}
