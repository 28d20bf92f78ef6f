package versionskew

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/view"
	"fieldrelay/internal/testkit/explore"
)

const pace = time.Second

// threeMembers simulates three members of a view, whose messages stay on their links until they are delivered or dropped. An edition
// that the leader proposes is decided at once; each member adopts the new view in an event of its own.
type threeMembers struct {
	machines        [3]*Machine
	boots           [3]uint64
	leader          int
	now             time.Duration
	decided         view.View
	adopted         [3]view.View
	links           map[[2]int][]Message
	agreedAt        map[uint64]time.Duration
	digests         map[uint64]string
	divergentDecide func(*rules.Compiled, rules.Case) string // decisions of the third member; nil: as those of the others
	restarts        int
	mutate          Mutation
	violation       error
	pushed          map[string]bool
}

func testEdition(salt int) rules.Edition {
	e, faults := rules.Parse(fmt.Appendf(nil, "version = 1\n[sampling]\nformat = \"2\"\nsalt = %d\nrate = 0.5\nkeep_failed = true\n# end\n", salt))
	if len(faults) > 0 {
		panic(faults)
	}
	return e
}

func (w *threeMembers) start(i int, divergent bool) {
	w.boots[i] += 10
	cfg := Config{Name: name(i), Boot: w.boots[i], Pace: pace, Bound: 20 * pace, Seed: uint64(i), Reads: rules.Supported(), ReplyTimeout: 1000 * pace, Mutate: w.mutate,
		View: func() (view.View, bool) { return w.adopted[i], true }, HoldsLease: func() bool { return w.adopted[i].ID == w.decided.ID },
		Decided: func() (view.View, bool) { return w.decided, true }, Leader: func() string { return name(w.leader) },
		Members: func() (all []Member) {
			for j := range 3 {
				all = append(all, Member{Name: name(j), Boot: w.boots[j], Reads: rules.Supported().String(), AbsentFor: -1})
			}
			return all
		}}
	if divergent {
		cfg.Decide = w.divergentDecide
	}
	w.machines[i] = New(cfg, w.now)
}

func name(i int) string { return string(rune('a' + i)) }

func newThreeMembers(divergentDecide func(*rules.Compiled, rules.Case) string, mutate Mutation) *threeMembers {
	w := &threeMembers{links: map[[2]int][]Message{}, agreedAt: map[uint64]time.Duration{}, digests: map[uint64]string{}, divergentDecide: divergentDecide, mutate: mutate, pushed: map[string]bool{}}
	w.decided = view.View{ID: view.ID{Era: 1, Number: 1}}
	for i := range 3 {
		w.decided.Members = append(w.decided.Members, view.Member{Name: name(i)})
		w.boots[i] = uint64(i + 1)
	}
	for i := range 3 {
		w.adopted[i] = w.decided
		w.start(i, i == 2 && divergentDecide != nil)
	}
	w.step(1, Push{Edition: testEdition(1)})
	return w
}

func (w *threeMembers) step(i int, e Event) {
	for _, a := range w.machines[i].Step(w.now, e) {
		switch a := a.(type) {
		case Send:
			w.put(i, strings.Index("abc", a.To), a.Message)
		case Gossip:
			for j := range 3 {
				w.put(i, j, a.Message)
			}
		case Propose:
			w.propose(a.Rules)
		case Enforce:
			d := editionDigest(a.Compiled.Edition)
			if was := w.digests[a.Compiled.Edition.Number]; was != d {
				w.violation = fmt.Errorf("%s has edition %d with digest %.6s in force, agreed was %.6s", name(i), a.Compiled.Edition.Number, d, was)
			}
		}
	}
}

func (w *threeMembers) propose(r view.Rules) {
	if r.Number <= w.decided.Rules.Number {
		return
	}
	if w.divergentDecide != nil {
		w.violation = errors.New("edition agreed although one member decides its cases differently")
	}
	if at, ok := w.agreedAt[r.Number-1]; ok && w.now-at < 20*pace {
		w.violation = fmt.Errorf("edition %d agreed %v after the previous one, expected at least 20 paces", r.Number, w.now-at)
	}
	w.decided.ID.Number++
	w.decided.Rules = r
	w.agreedAt[r.Number], w.digests[r.Number] = w.now, r.Digest
}

func (w *threeMembers) put(from, to int, m Message) {
	if id := [2]int{from, to}; to >= 0 && from != to && len(w.links[id]) < 4 {
		w.links[id] = append(w.links[id], m)
	}
}

func (w *threeMembers) Events() (names []string) {
	w.forEachEvent(func(name string, _ func()) { names = append(names, name) })
	return names
}

func (w *threeMembers) Do(event int) {
	n := 0
	w.forEachEvent(func(_ string, do func()) {
		if n == event {
			do()
		}
		n++
	})
}

// forEachEvent calls visit for each event that can happen now, with its name and the function that makes it happen. visit calls at
// most one of these functions.
func (w *threeMembers) forEachEvent(visit func(string, func())) {
	type event struct {
		name string
		do   func()
	}
	var all []event
	add := func(name string, do func()) { all = append(all, event{name, do}) }
	for i := range 3 {
		for j := range 3 {
			id := [2]int{i, j}
			if len(w.links[id]) == 0 {
				continue
			}
			take := func() Message { m := w.links[id][0]; w.links[id] = w.links[id][1:]; return m }
			add(fmt.Sprintf("%s>%s", name(i), name(j)), func() {
				w.step(j, Received{From: member.Record{Name: name(i), Boot: w.boots[i]}, Message: take()})
			})
		}
		if w.adopted[i].ID != w.decided.ID {
			add("adopt "+name(i), func() { w.adopted[i] = w.decided; w.step(i, Tick{}) })
		}
	}
	add("three paces", func() {
		w.now += 3 * pace
		for i := range 3 {
			w.step(i, Tick{})
		}
	})
	if w.leader == 0 {
		add("b leads", func() { w.leader = 1 })
	}
	if w.restarts == 0 {
		add("c anew", func() { w.restarts++; w.start(2, w.divergentDecide != nil) })
	}
	if !w.pushed["c"] {
		add("c pushes", func() { w.pushed["c"] = true; w.step(2, Push{Edition: testEdition(2)}) })
	}
	for _, e := range all {
		visit(e.name, e.do)
	}
}

func (w *threeMembers) Hash() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprint(h, w.leader, w.boots, w.decided.ID, w.decided.Rules, w.restarts, w.pushed, w.now)
	for i, m := range w.machines {
		_, _ = fmt.Fprint(h, w.adopted[i].ID, m.enforcedDigest, m.behind, m.pushedDigest, m.pushed != nil, m.pushedPhase, len(m.forwardedTrials), len(m.drafts))
		if o := m.offer; o != nil {
			_, _ = fmt.Fprint(h, o.digest, o.phase, o.proposedAt, len(o.replies), o.replies["a"].boot, o.replies["b"].boot, o.replies["c"].boot)
		}
		for j := range 3 {
			for _, msg := range w.links[[2]int{i, j}] {
				_, _ = fmt.Fprint(h, j, msg.Kind, msg.Digest, msg.TrialID, msg.Phase)
			}
		}
	}
	return h.Sum64()
}

func (w *threeMembers) Check() error { return w.violation }

// In every order of up to six events of three members, an edition is agreed only once all members are compatible, and comes into
// force with the digest that was agreed. One member may decide cases differently, restart, or push another edition, and the leader
// may change. Injected faults must be detected.
func TestEveryOrder(t *testing.T) {
	for name, divergentDecide := range map[string]func(*rules.Compiled, rules.Case) string{"all alike": nil,
		"one decides differently": func(c *rules.Compiled, q rules.Case) string { q.Failed = false; return c.Decide(q) }} {
		r, err := explore.All(func() explore.System { return newThreeMembers(divergentDecide, NoMutation) }, 6, 400_000)
		if err != nil || !r.Full {
			t.Errorf("%s: %v, %+v", name, err, r)
		}
		t.Logf("%s: %d states, %d orders", name, r.States, r.Paths)
	}
	for name, c := range map[string]struct {
		divergentDecide func(*rules.Compiled, rules.Case) string
		mutate          Mutation
	}{
		"claims believed":    {func(c *rules.Compiled, q rules.Case) string { q.Failed = false; return c.Decide(q) }, TrustsClaims},
		"silence understood": {func(c *rules.Compiled, q rules.Case) string { q.Failed = false; return c.Decide(q) }, SkipsSilent},
	} {
		if _, err := explore.All(func() explore.System { return newThreeMembers(c.divergentDecide, c.mutate) }, 7, 200_000); err == nil {
			t.Errorf("%s: the fault was not detected", name)
		} else {
			t.Logf("%s: %v", name, err)
		}
	}
}

// doEvents makes the events of some names happen, in this order; it skips an event that cannot happen.
func (w *threeMembers) doEvents(names ...string) {
	for _, name := range names {
		for i, n := range w.Events() {
			if n == name {
				w.Do(i)
				break
			}
		}
	}
}

// A reply of an earlier process does not count for the process that was started after it under the same name, which may be of
// another version.
func TestAnswerOfAnEarlierProcess(t *testing.T) {
	for name, mutate := range map[string]Mutation{"as it is": NoMutation, "any answer of the name": AnyBoot} {
		w := newThreeMembers(nil, mutate)
		w.doEvents("b>a", "a>c", "c>a") // the edition is pushed by b, offered by a, and tried by c
		w.divergentDecide = func(c *rules.Compiled, q rules.Case) string { q.Failed = false; return c.Decide(q) }
		w.start(2, true)
		w.links[[2]int{2, 0}] = nil
		for range 6 {
			w.doEvents("a>b", "b>a", "three paces")
		}
		if violated := w.violation != nil; violated != (mutate == AnyBoot) {
			t.Errorf("%s: %v", name, w.violation)
		}
	}
}

// An outdated view without a lease does not put an earlier edition back in force.
func TestOutdatedViewKeepsNewerEdition(t *testing.T) {
	for name, mutate := range map[string]Mutation{"as it is": NoMutation, "back": OverwritesNew} {
		w := newThreeMembers(nil, mutate)
		first := w.adopted[2]
		for n := uint64(1); n <= 2; n++ {
			e := testEdition(int(n))
			e.Number = n
			w.machines[2].load(e)
			w.digests[n] = editionDigest(e)
			w.decided.ID.Number++
			w.decided.Rules = view.Rules{Number: n, Digest: editionDigest(e)}
			w.adopted[2] = w.decided
			w.step(2, Tick{})
			if n == 1 {
				first = w.decided
			}
		}
		w.adopted[2] = first
		w.step(2, Tick{})
		if got := w.machines[2].Edition().Edition.Number; (got == 1) != (mutate == OverwritesNew) || (w.machines[2].Behind() == "") != (mutate == OverwritesNew) {
			t.Errorf("%s: edition %d in force, behind %q", name, got, w.machines[2].Behind())
		}
	}
}
