package quota

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

var times = Times{ReportInterval: time.Second, Lease: 10 * time.Second, ActTimeout: 2 * time.Second, Drift: 0.01}

// cluster simulates three members and one limit. Messages stay in transit until they are delivered or dropped. The leader is
// elected by a majority outside the simulation, and the previous leader may act until its confirmation expires.
type cluster struct {
	limit    Limit
	mutate   Mutation
	now      time.Duration
	holders  [3]*Holder
	granters [3]*Granter
	boots    [3]uint64
	leader   int
	term     uint64
	reports  [3][]sentReport // in transit, by sender
	grants   [3][]Grant
	demand   [3]Unit
}

type sentReport struct {
	process Process
	to      int
	Report
}

func newCluster(mutate Mutation, kind Kind) *cluster {
	w := &cluster{limit: Limit{Name: "x", Kind: kind, Total: 30, FloorPercent: 30, MaxMembers: 3}, mutate: mutate, demand: [3]Unit{20, 5, 5}}
	for i := range 3 {
		w.boots[i] = uint64(i + 1)
		w.holders[i] = NewHolder(times, uint64(100*i), 0, mutate)
		w.holders[i].SetLimits([]Limit{w.limit})
		w.granters[i] = NewGranter(times, mutate)
		w.granters[i].SetLimits([]Limit{w.limit})
	}
	w.elect(0)
	w.now += 20 * time.Second // longer than a new granter waits before it grants
	w.confirm()
	for range 3 { // until all members have shares
		for i := range 3 {
			w.report(i)
			w.deliverReport(i, 0)
			w.deliverGrant(i, 0)
		}
		w.now += time.Second
		w.confirm()
	}
	return w
}

// elect makes another member the leader. The previous leader only notices that its confirmation expires.
func (w *cluster) elect(i int) {
	w.leader = i
	w.term++
	w.granters[i].Lead(w.now, Term{Term: w.term}, w.now)
}

// confirm renews the majority's confirmation of the leader.
func (w *cluster) confirm() { w.granters[w.leader].Lead(w.now, Term{Term: w.term}, w.now) }

func (w *cluster) report(i int) {
	w.holders[i].SetDemand("x", w.demand[i])
	r := w.holders[i].Report(w.now)
	for to := range 3 { // the member may not know the leader, so earlier leaders get its report as well
		if len(w.reports[i]) < 4 && (to == w.leader || w.granters[to].acting) {
			w.reports[i] = append(w.reports[i], sentReport{Process{fmt.Sprint(i), w.boots[i]}, to, r})
		}
	}
}

func (w *cluster) deliverReport(i, at int) {
	r := w.reports[i][at]
	w.reports[i] = append(w.reports[i][:at:at], w.reports[i][at+1:]...)
	if g, ok := w.granters[r.to].ReceiveReport(w.now, r.process, r.Report); ok && len(w.grants[i]) < 4 {
		w.grants[i] = append(w.grants[i], g)
	}
}

func (w *cluster) deliverGrant(i, at int) {
	g := w.grants[i][at]
	w.grants[i] = append(w.grants[i][:at:at], w.grants[i][at+1:]...)
	w.holders[i].ReceiveGrant(w.now, g)
}

type choice struct {
	name string
	do   func()
}

func (w *cluster) choices() (all []choice) {
	add := func(name string, do func()) { all = append(all, choice{name, do}) }
	for i := range 3 {
		add(fmt.Sprint("report ", i), func() { w.report(i) })
		for at := range w.reports[i] { // any of them, since messages may be reordered
			add(fmt.Sprint("deliver report ", at, " of ", i), func() { w.deliverReport(i, at) })
		}
		for at := range w.grants[i] {
			add(fmt.Sprint("deliver grant ", at, " to ", i), func() { w.deliverGrant(i, at) })
		}
	}
	add("the demands rotate among the members", func() { w.demand = [3]Unit{w.demand[2], w.demand[0], w.demand[1]} })
	add("a short time passes, the leader is confirmed", func() { w.now += time.Second; w.confirm() })
	add("half a lease passes, the leader is confirmed", func() { w.now += 5 * time.Second; w.confirm() })
	add("a little over a lease passes, the leader is confirmed", func() { w.now += 10200 * time.Millisecond; w.confirm() })
	add("another member becomes the leader", func() { w.elect((w.leader + 1) % 3) })
	add("member 0 restarts", func() { // the previous process ends, but its lease runs on
		w.boots[0] += 10
		w.holders[0] = NewHolder(times, 1000*w.boots[0], w.now, w.mutate)
		w.holders[0].SetLimits([]Limit{w.limit})
	})
	return all
}

func (w *cluster) Events() (names []string) {
	for _, c := range w.choices() {
		names = append(names, c.name)
	}
	return names
}

func (w *cluster) Do(i int) { w.choices()[i].do() }

// Check verifies that what all members may use does not sum to more than the limit.
func (w *cluster) Check() error {
	var all Unit
	var parts [3]Unit
	for i, h := range w.holders {
		parts[i], _, _ = h.Share("x", w.now)
		all += parts[i]
	}
	if all > w.limit.Total {
		return fmt.Errorf("shares %v sum to %d, more than the limit %d", parts, all, w.limit.Total)
	}
	return nil
}

func (w *cluster) Hash() uint64 {
	var b strings.Builder
	for i := range 3 {
		h, k := w.holders[i], w.holders[i].limits["x"]
		fmt.Fprintln(&b, h.seq, h.sentAt-w.now, h.awaitsGrant, h.term, k.amount, k.expiry-w.now, k.demand, w.reports[i], w.grants[i], w.boots[i])
		g := w.granters[i]
		fmt.Fprintln(&b, g.acting, g.term, max(0, g.actFrom-w.now), max(0, g.growFrom-w.now), max(0, g.actUntil-w.now))
		for j := range 3 {
			for boot := uint64(0); boot <= w.boots[j]; boot++ {
				if e := g.outstanding["x"][Process{fmt.Sprint(j), boot}]; e != nil {
					fmt.Fprintln(&b, j, boot, e.amount, e.expiry-w.now, e.seq, e.demand)
				}
			}
		}
	}
	fmt.Fprintln(&b, w.demand, w.leader, w.term)
	return xxhash.Sum64String(b.String())
}

// TestEveryOrderKeepsTheSum explores every order of events, with lost, late and reordered messages: the shares never sum to more
// than the limit.
func TestEveryOrderKeepsTheSum(t *testing.T) {
	depth := 4
	if n, err := strconv.Atoi(os.Getenv("EXPLORE_DEPTH")); err == nil {
		depth = n
	}
	res, err := explore.All(func() explore.System { return newCluster(NoMutation, Rate) }, depth, 20_000_000)
	if err != nil || !res.Full {
		t.Errorf("explored %+v; error %v, want a full exploration without one", res, err)
	}
	t.Logf("every order of up to %d events: %d states, %d paths", depth, res.States, res.Paths)
}

// TestMutationsBreakTheSum checks that each injected fault violates the limit within a few events of a prepared state.
func TestMutationsBreakTheSum(t *testing.T) {
	for name, c := range map[string]struct {
		mutate  Mutation
		prepare func(w *cluster)
		depth   int
	}{
		"a lease runs from the receipt of the grant": {LeaseFromReply, func(w *cluster) {
			w.report(0)
			w.deliverReport(0, 0)
			w.report(1)
		}, 4},
		"a grant for an earlier report is accepted": {AnyGrant, func(w *cluster) { // such a grant is in transit while its receiver gives up its share
			w.report(0)
			w.deliverReport(0, 0)
			w.demand = [3]Unit{5, 20, 5}
			for range 2 {
				w.report(0)
				w.deliverReport(0, 0)
				w.deliverGrant(0, 1)
			}
		}, 4},
		"a new granter grants without waiting": {NoWait, func(*cluster) {}, 4},
		"a reduced share is granted to another holder at once": {TakeAtOnce, func(w *cluster) {
			w.report(1)
			w.demand = [3]Unit{5, 20, 5}
		}, 4},
	} {
		begin := func(mutate Mutation) func() explore.System {
			return func() explore.System {
				w := newCluster(mutate, Rate)
				c.prepare(w)
				return w
			}
		}
		found := error(nil)
		for depth := 1; depth <= c.depth && found == nil; depth++ {
			_, found = explore.All(begin(c.mutate), depth, 100_000)
		}
		if found == nil {
			t.Errorf("%s: no violation found", name)
		}
		t.Log(name, ": ", found)
		if _, err := explore.All(begin(NoMutation), 3, 100_000); err != nil {
			t.Errorf("violation without the mutation: %v", err)
		}
	}
}
