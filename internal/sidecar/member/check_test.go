package member

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldrelay/internal/testkit/explore"
)

// threeMembers is a fleet of three machines, whose messages stay on their links until they are delivered or dropped.
type threeMembers struct {
	machines  [3]*Machine
	now       time.Duration
	links     map[[2]int][]Send // messages on each link, by sender and receiver
	crashed   bool              // the third machine has crashed
	highest   [3]map[string]Record
	violation error
}

var threeNames = [3]string{"a", "b", "c"}

func newThreeMembers(mutate Mutation) *threeMembers {
	w := &threeMembers{links: map[[2]int][]Send{}}
	for i, name := range threeNames {
		w.machines[i] = New(Config{Name: name, Addr: name, Boot: uint64(i + 1), Pace: time.Second, Seed: uint64(i), Mutate: mutate}, 0)
		w.highest[i] = map[string]Record{}
		for j, other := range threeNames {
			if j != i {
				w.step(i, Received{From: Record{Name: other, Addr: other, Boot: uint64(j + 1), Incarnation: 1}, Message: Message{Kind: Gossip}})
			}
		}
		w.machines[i].broadcasts.clear() // every machine has every record already
	}
	clear(w.links)
	return w
}

func (w *threeMembers) step(i int, e Event) {
	m := w.machines[i]
	for _, a := range m.Step(w.now, e) {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		for j, name := range threeNames {
			if s.To.Name == name && len(w.links[[2]int{i, j}]) < 3 {
				s.Message.Updates = append([]Record(nil), s.Message.Updates...)
				w.links[[2]int{i, j}] = append(w.links[[2]int{i, j}], s)
			}
		}
	}
	// A machine's record of a process must never be replaced by one that it supersedes.
	for name, p := range m.peers {
		if was, ok := w.highest[i][name]; ok && was.supersedes(p.Record) {
			w.violation = fmt.Errorf("%s replaced the record %+v by the older %+v", m.self.Name, was, p.Record)
		}
		w.highest[i][name] = p.Record
	}
}

type choice struct {
	name string
	do   func()
}

func (w *threeMembers) choices() (all []choice) {
	for i, m := range w.machines {
		if i == 2 && w.crashed {
			continue
		}
		all = append(all, choice{"tick " + m.self.Name, func() {
			w.now = max(w.now, m.Next())
			w.step(i, Tick{})
		}})
	}
	for i := range 3 {
		for j := range 3 {
			id := [2]int{i, j}
			if len(w.links[id]) == 0 {
				continue
			}
			name := threeNames[i] + ">" + threeNames[j]
			all = append(all, choice{"deliver " + name, func() { w.deliver(id) }}, choice{"drop " + name, func() { w.links[id] = w.links[id][1:] }})
		}
	}
	if !w.crashed {
		all = append(all, choice{"crash c", func() { w.crashed = true }})
	}
	return all
}

func (w *threeMembers) deliver(id [2]int) {
	s := w.links[id][0]
	w.links[id] = w.links[id][1:]
	to := w.machines[id[1]]
	if id[1] == 2 && w.crashed {
		return
	}
	suspectIncarnation := uint64(0)
	for _, r := range s.Message.Updates {
		if r.Name == to.self.Name && r.Boot == to.self.Boot && r.State != Alive && r.Incarnation >= to.self.Incarnation {
			suspectIncarnation = max(suspectIncarnation, r.Incarnation)
		}
	}
	from := w.machines[id[0]].self // the record sent with the message may be older, but incarnations only grow
	w.step(id[1], Received{From: from, Message: s.Message})
	if suspectIncarnation > 0 && to.self.Incarnation <= suspectIncarnation {
		w.violation = fmt.Errorf("%s received a suspicion of itself in incarnation %d and did not refute it", to.self.Name, suspectIncarnation)
	}
}

func (w *threeMembers) Events() (names []string) {
	for _, c := range w.choices() {
		names = append(names, c.name)
	}
	return names
}

func (w *threeMembers) Do(i int) { w.choices()[i].do() }

func (w *threeMembers) Check() error {
	if w.violation != nil {
		return w.violation
	}
	for i, m := range w.machines {
		for name, p := range m.peers {
			subject := w.machines[strings.Index("abc", name)]
			if p.Boot == subject.self.Boot && p.Incarnation > subject.self.Incarnation {
				return fmt.Errorf("%s has a record of %s in incarnation %d, which is ahead of its actual incarnation %d", threeNames[i], name, p.Incarnation, subject.self.Incarnation)
			}
			if p.State == Left {
				return fmt.Errorf("%s has a record of %s in state left, but no process left", threeNames[i], name)
			}
		}
	}
	return nil
}

func (w *threeMembers) Hash() uint64 {
	var b strings.Builder
	for i, m := range w.machines {
		fmt.Fprintln(&b, m.self, m.healthScore, m.probeDue-w.now, m.gossipDue-w.now, m.equalDigests, m.broadcasts.fresh, m.broadcasts.transmitted, m.probeOrder, m.relays)
		if m.probe != nil {
			fmt.Fprintln(&b, *m.probe)
		}
		for _, name := range m.names {
			p := m.peers[name]
			fmt.Fprintln(&b, p.Record, p.reported)
			if p.suspicion != nil {
				fmt.Fprintln(&b, p.suspicion.deadline-w.now, p.suspicion.suspectedBy)
			}
		}
		for j := range 3 {
			fmt.Fprintln(&b, i, j, w.links[[2]int{i, j}])
		}
	}
	fmt.Fprint(&b, w.crashed)
	return xxhash.Sum64String(b.String())
}

// newWithSuspicion returns a fleet in which one member suspects another and has queued that update, so that faults can occur within
// few steps.
func newWithSuspicion(mutate Mutation) *threeMembers {
	w := newThreeMembers(mutate)
	a := w.machines[0]
	r := a.peers["c"].Record
	r.State, r.SuspectedBy = Suspect, "a"
	a.merge(r)
	a.out = nil
	return w
}

// Explores every order of events, starting from an idle fleet and from a fleet with a suspicion.
func TestEveryOrder(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("EXPLORE_DEPTH")); err == nil {
		depth = n
	}
	for name, newSystem := range map[string]func(Mutation) *threeMembers{"idle fleet": newThreeMembers, "fleet with a suspicion": newWithSuspicion} {
		res, err := explore.All(func() explore.System { return newSystem(NoMutation) }, depth, 2_000_000)
		if err != nil || !res.Full {
			t.Errorf("%s: %+v %v", name, res, err)
		}
		t.Logf("%s, all orders of up to %d events: %d states, %d paths", name, depth, res.States, res.Paths)
	}
}

func TestEveryOrderNoticesMutations(t *testing.T) {
	for _, mutate := range []Mutation{NoRefutation, AcceptStaleAlive} {
		found := error(nil)
		for depth := 1; depth <= 6 && found == nil; depth++ {
			_, found = explore.All(func() explore.System {
				w := newWithSuspicion(mutate)
				if mutate == AcceptStaleAlive { // a believes that c has failed, and b does not know
					a := w.machines[0]
					r := a.peers["c"].Record
					r.State, r.SuspectedBy = Failed, ""
					a.merge(r)
					a.out = nil
					w.highest[0]["c"] = r
				}
				return w
			}, depth, 200_000)
		}
		if found == nil {
			t.Errorf("mutation %d: no violation found", mutate)
		}
		t.Log(found)
	}
}
