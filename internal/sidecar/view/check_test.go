package view

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/testkit/explore"
)

const pace = time.Second

var names = [3]string{"a", "b", "c"}

// threeVoters is a group of three voters, whose messages stay on their links until they are delivered or dropped. The members that
// they believe to be present are given by the test: all, or all but the third.
type threeVoters struct {
	machines      [3]*Machine
	stored        [3]*StoredState
	boots         [3]uint64
	loseStoredLog bool // a restarted voter keeps its identity and nothing else: an injected fault
	mutate        Mutation
	now           time.Duration
	thirdFailed   bool // the third is believed to have failed
	links         map[[2]int][]Message
	sums          map[ID]uint64
	decided       map[ID]time.Duration
	restarts      int
	violation     error
}

func (w *threeVoters) start(i int, stored *StoredState) {
	w.boots[i] += 10
	lookup := func(name string) (member.Record, bool) {
		at := strings.Index("abc", name)
		return member.Record{Name: name, Addr: name, Boot: w.boots[at], Incarnation: 1}, !w.thirdFailed || at < 2
	}
	m, err := New(Config{Name: names[i], Boot: w.boots[i], Voters: names[:], Pace: pace, Lease: 20 * pace, Drift: 0.01, Seed: uint64(i), Stored: stored.Clone(), Mutate: w.mutate,
		Member: lookup, Members: func() (all []member.Record) {
			for _, name := range names {
				if r, ok := lookup(name); ok {
					all = append(all, r)
				}
			}
			return all
		}}, w.now)
	if err != nil {
		w.violation = err
		return
	}
	w.machines[i] = m
}

// newThreeVoters returns a group that was founded and whose members hold the lease on its first view.
func newThreeVoters(mutate Mutation) *threeVoters {
	w := &threeVoters{mutate: mutate, links: map[[2]int][]Message{}, sums: map[ID]uint64{}, decided: map[ID]time.Duration{}}
	for i := range names {
		w.boots[i] = uint64(i + 1)
		w.stored[i] = &StoredState{}
		w.start(i, nil)
	}
	for range 2000 {
		next := 0
		for i, m := range w.machines {
			if m.Next() < w.machines[next].Next() {
				next = i
			}
		}
		w.tick(next)
		for again := true; again; {
			again = false
			for i := range names {
				for j := range names {
					if len(w.links[[2]int{i, j}]) > 0 {
						w.deliver([2]int{i, j})
						again = true
					}
				}
			}
		}
		if w.all(func(m *Machine) bool { return m.HoldsLease(w.now) && m.pending == nil }) {
			return w
		}
	}
	panic("no lease on a first view within 2000 ticks")
}

func (w *threeVoters) all(is func(*Machine) bool) bool {
	for _, m := range w.machines {
		if !is(m) {
			return false
		}
	}
	return true
}

func (w *threeVoters) tick(i int) {
	w.now = max(w.now, w.machines[i].Next())
	w.step(i, Tick{})
}

func (w *threeVoters) deliver(id [2]int) {
	msg := w.links[id][0]
	w.links[id] = w.links[id][1:]
	w.step(id[1], Received{From: member.Record{Name: names[id[0]], Addr: names[id[0]], Boot: w.boots[id[0]], Incarnation: 1}, Message: msg})
}

func (w *threeVoters) step(i int, e Event) {
	for _, a := range w.machines[i].Step(w.now, e) {
		switch a := a.(type) {
		case Send:
			for j, name := range names {
				if a.To == name && len(w.links[[2]int{i, j}]) < 8 {
					w.links[[2]int{i, j}] = append(w.links[[2]int{i, j}], a.Message)
				}
			}
		case Save:
			if err := w.stored[i].Apply(a.Change); err != nil {
				w.violation = err
			}
		case Decided:
			if _, ok := w.decided[a.View.ID]; !ok {
				w.decided[a.View.ID] = w.now
			}
			w.checkView(i, a.View)
		case Adopted:
			w.checkView(i, a.View)
		case Notice:
			if strings.Contains(a.Text, "contradicts") && !w.loseStoredLog {
				w.violation = fmt.Errorf("%s: %s", names[i], a.Text)
			}
		}
	}
}

func (w *threeVoters) checkView(i int, v View) {
	if v.ID.Number == 0 {
		return
	}
	if was, ok := w.sums[v.ID]; ok && was != v.Sum() {
		w.violation = fmt.Errorf("%s has a view that differs from another one with ID %v", names[i], v.ID)
	}
	w.sums[v.ID] = v.Sum()
}

type choice struct {
	name string
	do   func()
}

func (w *threeVoters) choices() (all []choice) {
	for i := range names {
		all = append(all, choice{"tick " + names[i], func() { w.tick(i) }})
	}
	for i := range names {
		for j := range names {
			id := [2]int{i, j}
			if len(w.links[id]) > 0 {
				name := names[i] + ">" + names[j]
				all = append(all, choice{"deliver " + name, func() { w.deliver(id) }}, choice{"drop " + name, func() { w.links[id] = w.links[id][1:] }})
			}
		}
	}
	all = append(all, choice{"toggle whether c is believed to have failed", func() { w.thirdFailed = !w.thirdFailed }},
		choice{"let 15 paces pass", func() { w.now += 15 * pace }})
	if w.restarts < 1 { // at most one restart: the group tolerates the loss of one voter's state
		for i := range names {
			all = append(all, choice{"restart " + names[i], func() { w.restart(i, true) }}, choice{"restart without state " + names[i], func() { w.restart(i, false) }})
		}
	}
	return all
}

func (w *threeVoters) restart(i int, keepState bool) {
	w.restarts++
	if keepState && w.stored[i].Voter != 0 {
		w.start(i, w.stored[i])
		return
	}
	lost := &StoredState{}
	if w.loseStoredLog {
		lost = &StoredState{Voter: w.stored[i].Voter, Era: w.stored[i].Era}
	}
	w.stored[i] = lost
	w.start(i, lost)
}

func (w *threeVoters) Events() (all []string) {
	for _, c := range w.choices() {
		all = append(all, c.name)
	}
	return all
}

func (w *threeVoters) Do(i int) { w.choices()[i].do() }

func (w *threeVoters) Check() error {
	if w.violation != nil {
		return w.violation
	}
	for i, m := range w.machines {
		v, _ := m.View()
		nextDecidedAt, ok := w.decided[ID{v.ID.Era, v.ID.Number + 1}]
		if m.HoldsLease(w.now) && ok && w.now-nextDecidedAt > StalenessBound(20*pace, 0) {
			return fmt.Errorf("%s holds the lease on view %v, %v after the next view was decided", names[i], v.ID, w.now-nextDecidedAt)
		}
	}
	return nil
}

func (w *threeVoters) Hash() uint64 {
	var b strings.Builder
	for i, m := range w.machines {
		fmt.Fprintln(&b, m.view.ID, m.view.Sum(), m.pending != nil, m.isConfirmed, m.confirmedAt-w.now, m.leader, m.seq, len(m.queries), m.queryDue-w.now, m.identity, m.founding.due-w.now)
		if v := m.voter; v != nil {
			s := v.node.BasicStatus()
			last, _ := v.store.LastIndex()
			fmt.Fprintln(&b, v.id, s.RaftState, s.Lead, s.GetTerm(), s.GetVote(), s.GetCommit(), last, v.appliedIndex, v.decided.View.ID, v.tickDue-w.now, v.campaignDue-w.now,
				v.readDue-w.now, v.differsSince-w.now, v.proposedAt-w.now, len(v.pendingReads), len(v.readStates), len(v.candidates))
		}
		for j := range names {
			for _, msg := range w.links[[2]int{i, j}] {
				msg.View = nil
				fmt.Fprintln(&b, i, j, msg)
			}
		}
	}
	fmt.Fprintln(&b, w.thirdFailed, w.restarts, w.boots)
	return xxhash.Sum64String(b.String())
}

// Explores every order of events, starting from a group that holds the lease on its first view.
func TestEveryOrder(t *testing.T) {
	depth := 3
	if n, err := strconv.Atoi(os.Getenv("EXPLORE_DEPTH")); err == nil {
		depth = n
	}
	res, err := explore.All(func() explore.System { return newThreeVoters(NoMutation) }, depth, 3_000_000)
	if err != nil || !res.Full {
		t.Errorf("%+v %v", res, err)
	}
	t.Logf("all orders of up to %d events: %d states, %d paths", depth, res.States, res.Paths)
}

func TestEveryOrderNoticesAViewWithoutAMajority(t *testing.T) {
	found := error(nil)
	for depth := 1; depth <= 4 && found == nil; depth++ {
		_, found = explore.All(func() explore.System {
			w := newThreeVoters(NoMutation)
			w.mutate = WithoutMajority
			for i := range w.machines { // all voters are restarted, so that none leads
				w.start(i, w.stored[i])
			}
			w.thirdFailed = true
			clear(w.links)
			return w
		}, depth, 20_000)
	}
	if found == nil {
		t.Error("no violation found although a voter decides without a majority")
	}
	t.Log(found)
}

// A voter must not start from a stored state that is incomplete or inconsistent.
func TestIncompleteStoredStateIsRejected(t *testing.T) {
	w := newThreeVoters(NoMutation)
	for name, corrupt := range map[string]func(k *StoredState){
		"committed entries are missing": func(k *StoredState) { k.Entries, k.Snapshot = nil, nil },
		"entry out of sequence":         func(k *StoredState) { k.Entries = append(k.Entries, Entry{Index: 99, Data: k.Entries[0].Data}) },
		"snapshot cannot be decoded":    func(k *StoredState) { k.Snapshot = []byte{1, 2, 3} },
	} {
		k := w.stored[0].Clone()
		corrupt(k)
		if _, err := New(Config{Name: "a", Boot: 1, Voters: names[:], Pace: pace, Lease: 20 * pace, Stored: k}, 0); err == nil {
			t.Error(name, ": accepted")
		}
	}
	if _, err := New(Config{Name: "a", Boot: 1, Voters: names[:], Pace: pace, Lease: 20 * pace, Stored: w.stored[0].Clone()}, 0); err != nil {
		t.Error(err)
	}
}
