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

	"fieldrelay/internal/explore"
)

const pace = time.Second

// bench is three judges of one zone and four nodes, of which only n1 may be bad. What is judged by is only what was said
// and heard.
type bench struct {
	mutate Mutation
	now    time.Duration
	judges []*Judge
	bad    [3]bool // in whose eyes n1 is
	flight []letter
	said   [3][]bool    // what each said of n1, by number of its opinion: 1 is the first
	known  [3][3]uint64 // the newest opinion of each that each has heard
	broken error
}

type letter struct {
	to int
	o  Opinion
}

func newBench(mutate Mutation) *bench {
	b := &bench{mutate: mutate}
	for i := range 3 {
		b.judges = append(b.judges, NewJudge(Config{Name: fmt.Sprint(i), Zone: "z", Boot: 1, Pace: pace, MostPct: 25, Mutate: mutate}, 0))
		b.said[i] = []bool{false}
	}
	for i := range 3 {
		b.look(i)
	}
	return b
}

func (b *bench) look(i int) {
	b.now += pace
	var evidence []Evidence
	for n := range 4 {
		e := Evidence{Node: fmt.Sprintf("n%d", n+1), Done: 8, Answered: 8, Took: time.Millisecond}
		if n == 0 && b.bad[i] {
			e.Done, e.Failed = 0, 8
		}
		for range lastly {
			e.Recent = append(e.Recent, Ending{b.now, e.Failed > 0})
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
	b.take(i, b.judges[i].Step(b.now, Look{evidence, peers, nodes}))
}

func (b *bench) take(i int, actions []Action) {
	// What it says it has thought before it condemns.
	slices.SortStableFunc(actions, func(a, _ Action) int {
		if _, tell := a.(Tell); tell {
			return -1
		}
		return 0
	})
	for _, a := range actions {
		switch a := a.(type) {
		case Tell:
			for _, o := range a.Opinions {
				by, _ := strconv.Atoi(o.By)
				if by == i && o.Seq == uint64(len(b.said[i])) {
					b.said[i] = append(b.said[i], slices.Contains(o.Judged, Judgement{"n1", true}))
					b.known[i][i] = o.Seq
				}
				for to := range 3 {
					if to != i && to != by && !slices.ContainsFunc(b.flight, func(l letter) bool { return l.to == to && l.o.By == o.By && l.o.Seq == o.Seq }) {
						b.flight = append(b.flight, letter{to, o})
					}
				}
			}
		case Line:
			if a.What != "avoided" {
				continue
			}
			// Two of three at the least, each by the newest word of it that has come here.
			heads := 0
			for by := range 3 {
				if b.said[by][b.known[i][by]] {
					heads++
				}
			}
			if heads < 2 && b.broken == nil {
				b.broken = fmt.Errorf("judge %d condemns by %v, %d heads", i, a.Observers, heads)
			}
		}
	}
}

func (b *bench) Events() (names []string) {
	for i := range 3 {
		names = append(names, fmt.Sprint("look ", i), fmt.Sprint("turn ", i))
	}
	for _, l := range b.flight { // it comes, and may come again: it is lost if it never does
		names = append(names, fmt.Sprint("to ", l.to, " from ", l.o.By, " number ", l.o.Seq))
	}
	return names
}

func (b *bench) Do(e int) {
	switch {
	case e < 6 && e%2 == 0:
		b.look(e / 2)
	case e < 6:
		b.bad[e/2] = !b.bad[e/2]
	default:
		l := b.flight[e-6]
		b.now++
		by, _ := strconv.Atoi(l.o.By)
		b.known[l.to][by] = max(b.known[l.to][by], l.o.Seq)
		b.take(l.to, b.judges[l.to].Step(b.now, Heard{[]Opinion{l.o}}))
	}
}

func (b *bench) Hash() uint64 {
	text := fmt.Sprint(b.bad, b.said, b.known)
	for _, l := range b.flight {
		text += fmt.Sprint(l.to, l.o.By, l.o.Seq)
	}
	for _, j := range b.judges {
		text += strings.Join(j.Lines(b.now), ";") + fmt.Sprint(j.was, j.seq)
	}
	var h uint64 = 14695981039346656037
	for _, c := range []byte(text) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

func (b *bench) Check() error { return b.broken }

// Every order of looks, turns of mind and late, lost and repeated opinions among three: nobody is condemned by less than two
// heads, by the newest word of each that has come.
func TestEveryOrder(t *testing.T) {
	depth := 7
	if d, err := strconv.Atoi(os.Getenv("EXPLORE_DEPTH")); err == nil {
		depth = d
	}
	r, err := explore.All(func() explore.System { return newBench(NoMutation) }, depth, 1<<22)
	if err != nil || !r.Full {
		t.Errorf("%+v %v", r, err)
	}
	t.Logf("%+v", r)
	for _, m := range []Mutation{OneVoice, OldNews} {
		if _, err := explore.All(func() explore.System { return newBench(m) }, 10, 1<<20); err == nil {
			t.Errorf("mutation %d not noticed", m)
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
	got := ta.Evidence(19 * time.Second) // the last eight: three failed, five done in 15 to 19 ms
	want := Evidence{Node: "a", Failed: 3, Done: 5, Answered: 5, Took: 17 * time.Millisecond}
	if len(got) == 1 && len(got[0].Recent) == 8 {
		got[0].Recent = nil
	}
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("%+v", got)
	}
	if got := ta.Evidence(40 * time.Second); len(got) != 0 || len(ta.nodes) != 0 {
		t.Errorf("%+v after 20 s of nothing", got)
	}
	for i := range MostNodes + 10 {
		ta.Count(0, fmt.Sprint(i), false, 0)
	}
	if len(ta.nodes) != MostNodes {
		t.Errorf("%d nodes counted", len(ta.nodes))
	}
}

// Opinions that no honest member would send are not taken.
func TestHearIsBounded(t *testing.T) {
	b := newBench(NoMutation)
	j := b.judges[0]
	ok := Judgement{"n1", true}
	for name, o := range map[string]Opinion{
		"of a stranger": {By: "9", Boot: 1, Seq: 1, Judged: []Judgement{ok}},
		"of this one":   {By: "0", Boot: 1, Seq: 9, Judged: []Judgement{ok}},
		"too many":      {By: "1", Boot: 1, Seq: 9, Judged: make([]Judgement, MostJudged+1)},
		"a long name":   {By: "1", Boot: 1, Seq: 9, Judged: []Judgement{{Node: strings.Repeat("n", MostNode+1)}}},
		"too old":       {By: "1", Boot: 1, Seq: 9, Age: time.Hour, Judged: []Judgement{ok}},
		"from to come":  {By: "1", Boot: 1, Seq: 9, Age: -1, Judged: []Judgement{ok}},
	} {
		j.Step(b.now, Heard{[]Opinion{o}})
		if len(j.opinions) != 0 {
			t.Errorf("%s: taken", name)
		}
	}
	j.Step(b.now, Heard{[]Opinion{{By: "1", Boot: 1, Seq: 9, Judged: []Judgement{ok}}}})
	j.Step(b.now, Heard{[]Opinion{{By: "1", Boot: 2, Seq: 1}}}) // a new process of the name begins anew
	if o := j.opinions["1"]; o == nil || o.Boot != 2 {
		t.Errorf("%+v", o)
	}
}

// The list becomes short while nodes are under verdict: the latest goes back into use.
func TestFewAreListed(t *testing.T) {
	j := NewJudge(Config{Name: "0", Zone: "z", Pace: pace, MostPct: 25}, 0)
	for i, n := range []string{"n1", "n2"} {
		j.standing[n] = &standing{node: Node{Name: n, Zone: "z"}, since: time.Duration(i), until: time.Hour}
	}
	var nodes []Node
	for i := range 8 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("n%d", i+1), Zone: "z"})
	}
	j.Step(0, Look{Nodes: nodes})
	if !slices.Equal(j.avoid, []string{"n1", "n2"}) {
		t.Errorf("%v of eight", j.avoid)
	}
	j.Step(time.Minute, Look{Nodes: nodes[:7]})
	if !slices.Equal(j.avoid, []string{"n1"}) {
		t.Errorf("%v of seven", j.avoid)
	}
	j.Step(2*time.Minute, Look{Nodes: nodes[:2]})
	if len(j.avoid) != 0 {
		t.Errorf("%v of two", j.avoid)
	}
}
