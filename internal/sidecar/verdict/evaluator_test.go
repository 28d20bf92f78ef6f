package verdict

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"fieldrelay/internal/testkit/explore"
)

const pace = time.Second

// cluster simulates three evaluators of one zone and four nodes, of which only n1 may be bad. Its invariant is checked by
// the messages that were sent and received alone.
type cluster struct {
	mutate     Mutation
	now        time.Duration
	evaluators []*Evaluator
	bad        [3]bool // members whose evidence is against n1
	inFlight   []message
	ratedBad   [3][]bool    // by member and sequence number of its opinion, from 1: whether it rated n1 bad
	newest     [3][3]uint64 // by receiver and author, the sequence number of the newest opinion received
	violation  error
}

type message struct {
	to int
	o  Opinion
}

func newCluster(mutate Mutation) *cluster {
	b := &cluster{mutate: mutate}
	for i := range 3 {
		b.evaluators = append(b.evaluators, NewEvaluator(Config{Name: fmt.Sprint(i), Zone: "z", Boot: 1, Pace: pace, MaxPercent: 25, Mutate: mutate}, 0))
		b.ratedBad[i] = []bool{false}
	}
	for i := range 3 {
		b.evaluate(i)
	}
	return b
}

func (b *cluster) evaluate(i int) {
	b.now += pace
	var evidence []Evidence
	for n := range 4 {
		e := Evidence{Node: fmt.Sprintf("n%d", n+1), Succeeded: 8, LatencySamples: 8, Latency: time.Millisecond}
		if n == 0 && b.bad[i] {
			e.Succeeded, e.Failed = 0, 8
		}
		for range maxSamples {
			e.Recent = append(e.Recent, Outcome{b.now, e.Failed > 0})
		}
		evidence = append(evidence, e)
	}
	var peers []Peer
	var nodes []Node
	for n := range 4 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("n%d", n+1), Zone: "z"})
		if n < 3 {
			peers = append(peers, Peer{fmt.Sprint(n), "z"})
		}
	}
	b.apply(i, b.evaluators[i].Step(b.now, Evaluate{evidence, peers, nodes}))
}

func (b *cluster) apply(i int, actions []Action) {
	// An opinion that is sent was formed before the decision to avoid the node.
	slices.SortStableFunc(actions, func(a, _ Action) int {
		if _, tell := a.(Send); tell {
			return -1
		}
		return 0
	})
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			for _, o := range a.Opinions {
				by, _ := strconv.Atoi(o.Author)
				if by == i && o.Seq == uint64(len(b.ratedBad[i])) {
					b.ratedBad[i] = append(b.ratedBad[i], slices.Contains(o.Ratings, Rating{"n1", true}))
					b.newest[i][i] = o.Seq
				}
				for to := range 3 {
					if to != i && to != by && !slices.ContainsFunc(b.inFlight, func(l message) bool { return l.to == to && l.o.Author == o.Author && l.o.Seq == o.Seq }) {
						b.inFlight = append(b.inFlight, message{to, o})
					}
				}
			}
		case LogEntry:
			if a.Event != "avoided" {
				continue
			}
			// At least two of three votes are needed, each counted by the author's newest opinion received here.
			votes := 0
			for by := range 3 {
				if b.ratedBad[by][b.newest[i][by]] {
					votes++
				}
			}
			if votes < 2 && b.violation == nil {
				b.violation = fmt.Errorf("member %d avoids the node by the votes of %v: %d votes counted, want at least 2", i, a.Observers, votes)
			}
		}
	}
}

func (b *cluster) Events() (names []string) {
	for i := range 3 {
		names = append(names, fmt.Sprint("evaluate at ", i), fmt.Sprint("flip evidence of ", i))
	}
	for _, l := range b.inFlight { // a message may be delivered once, repeatedly, or never
		names = append(names, fmt.Sprint("deliver to ", l.to, " opinion of ", l.o.Author, " number ", l.o.Seq))
	}
	return names
}

func (b *cluster) Do(e int) {
	switch {
	case e < 6 && e%2 == 0:
		b.evaluate(e / 2)
	case e < 6:
		b.bad[e/2] = !b.bad[e/2]
	default:
		l := b.inFlight[e-6]
		b.now++
		by, _ := strconv.Atoi(l.o.Author)
		b.newest[l.to][by] = max(b.newest[l.to][by], l.o.Seq)
		b.apply(l.to, b.evaluators[l.to].Step(b.now, Received{[]Opinion{l.o}}))
	}
}

func (b *cluster) Hash() uint64 {
	text := fmt.Sprint(b.bad, b.ratedBad, b.newest)
	for _, l := range b.inFlight {
		text += fmt.Sprint(l.to, l.o.Author, l.o.Seq)
	}
	for _, j := range b.evaluators {
		text += strings.Join(j.Lines(b.now), ";") + fmt.Sprint(j.ratedBad, j.seq)
	}
	var h uint64 = 14695981039346656037
	for _, c := range []byte(text) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

func (b *cluster) Check() error { return b.violation }

// TestEveryOrder explores every order of evaluations, changes of evidence, and late, lost and repeated opinions among three
// members. No node may be avoided by the votes of fewer than two, counting each member's newest opinion received.
func TestEveryOrder(t *testing.T) {
	depth := 7
	if d, err := strconv.Atoi(os.Getenv("EXPLORE_DEPTH")); err == nil {
		depth = d
	}
	r, err := explore.All(func() explore.System { return newCluster(NoMutation) }, depth, 1<<22)
	if err != nil || !r.Full {
		t.Errorf("explored %+v; error %v, want a full exploration without one", r, err)
	}
	t.Logf("%+v", r)
	for _, m := range []Mutation{SingleVote, StaleOpinions} {
		if _, err := explore.All(func() explore.System { return newCluster(m) }, 10, 1<<20); err == nil {
			t.Errorf("mutation %d: no violation found", m)
		} else {
			t.Log(m, ": ", err)
		}
	}
}

func TestTally(t *testing.T) {
	var ta Tally
	for i := range 20 {
		ta.Count(time.Duration(i)*time.Second, "a", i < 15, time.Duration(i)*time.Millisecond)
	}
	got := ta.Evidence(19 * time.Second) // the latest eight: three failed, five succeeded in 15 to 19 ms
	want := Evidence{Node: "a", Failed: 3, Succeeded: 5, LatencySamples: 5, Latency: 17 * time.Millisecond}
	if len(got) == 1 && len(got[0].Recent) == 8 {
		got[0].Recent = nil
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("evidence %+v, want three failures and five successes", got)
	}
	if got := ta.Evidence(40 * time.Second); len(got) != 0 || len(ta.nodes) != 0 {
		t.Errorf("%+v after 21 s without outcomes, want none", got)
	}
	for i := range MaxNodes + 10 {
		ta.Count(0, fmt.Sprint(i), false, 0)
	}
	if len(ta.nodes) != MaxNodes {
		t.Errorf("%d nodes counted, want MaxNodes", len(ta.nodes))
	}
}

// TestInvalidOpinionsAreRejected checks that opinions that a correct member never sends are rejected.
func TestInvalidOpinionsAreRejected(t *testing.T) {
	b := newCluster(NoMutation)
	j := b.evaluators[0]
	ok := Rating{"n1", true}
	for name, o := range map[string]Opinion{
		"of a non-member": {Author: "9", Boot: 1, Seq: 1, Ratings: []Rating{ok}},
		"of this one":     {Author: "0", Boot: 1, Seq: 9, Ratings: []Rating{ok}},
		"too many":        {Author: "1", Boot: 1, Seq: 9, Ratings: make([]Rating, MaxRatings+1)},
		"a long name":     {Author: "1", Boot: 1, Seq: 9, Ratings: []Rating{{Node: strings.Repeat("n", MaxNodeBytes+1)}}},
		"too old":         {Author: "1", Boot: 1, Seq: 9, Age: time.Hour, Ratings: []Rating{ok}},
		"from the future": {Author: "1", Boot: 1, Seq: 9, Age: -1, Ratings: []Rating{ok}},
	} {
		j.Step(b.now, Received{[]Opinion{o}})
		if len(j.opinions) != 0 {
			t.Errorf("opinion %s: accepted", name)
		}
	}
	j.Step(b.now, Received{[]Opinion{{Author: "1", Boot: 1, Seq: 9, Ratings: []Rating{ok}}}})
	j.Step(b.now, Received{[]Opinion{{Author: "1", Boot: 2, Seq: 1}}}) // a restarted process begins a new sequence
	if o := j.opinions["1"]; o == nil || o.Boot != 2 {
		t.Errorf("opinion %+v, want that of boot 2", o)
	}
}

// TestShortListEndsLatestVerdict checks that the node avoided last returns to use when the list becomes too short for the nodes
// under verdict.
func TestShortListEndsLatestVerdict(t *testing.T) {
	j := NewEvaluator(Config{Name: "0", Zone: "z", Pace: pace, MaxPercent: 25}, 0)
	for i, n := range []string{"n1", "n2"} {
		j.verdicts[n] = &verdict{node: Node{Name: n, Zone: "z"}, avoidedAt: time.Duration(i), stageEnd: time.Hour}
	}
	var nodes []Node
	for i := range 8 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("n%d", i+1), Zone: "z"})
	}
	j.Step(0, Evaluate{Nodes: nodes})
	if !slices.Equal(j.avoided, []string{"n1", "n2"}) {
		t.Errorf("%v avoided of eight, want n1 and n2", j.avoided)
	}
	j.Step(time.Minute, Evaluate{Nodes: nodes[:7]})
	if !slices.Equal(j.avoided, []string{"n1"}) {
		t.Errorf("%v avoided of seven, want n1", j.avoided)
	}
	j.Step(2*time.Minute, Evaluate{Nodes: nodes[:2]})
	if len(j.avoided) != 0 {
		t.Errorf("%v avoided of two, want none", j.avoided)
	}
}
