package http

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/scenario"
)

// nothingEver has a node's connections have rested often enough without a stray byte.
func nothingEver(n *node) {
	for range quietEnough {
		n.nodes.strays.sawNone()
	}
}

// Where no node has ever sent a byte that nobody asked for, connections need no rest, also where answers are alike; from the
// first such byte on they rest again.
func TestQuietNodesNeedNoRest(t *testing.T) {
	x := newCrossing(t, Options{Settle: time.Minute}, false)
	nothingEver(x.node)
	x.Calls["saw"] = func(string) {
		scenario.Await(t, "it is seen", func() bool { return x.node.nodes.strays.seen.Load() })
	}
	x.Play(t, `
		claim send 1
		a expect body
		a send `+ok+`
		wait 1 done hi
		claim send 2
		a expect body
		a send `+ok+`
		wait 2 done hi
		a send `+ok+`
		a wait
		saw send it
		claim send 3
		b expect body
		b send `+ok+`
		wait 3 done hi
		claim send 4
		c expect body
		c send `+ok+`
		wait 4 done hi`)
}

// Also where no node has ever sent a second copy, a second rejection on a connection that had not rested proves nothing: it
// would be the one error that runs a request twice.
func TestQuietNodesRejectionsProveNothing(t *testing.T) {
	const busy = "HTTP/1.1 503 E\\r\\nX-Rejected: 1\\r\\nContent-Length: 0\\r\\n\\r\\n"
	x := newCrossing(t, Options{Settle: time.Minute}, false)
	nothingEver(x.node)
	x.Play(t, `
		claim send 1
		a expect body
		a send `+busy+`
		wait 1 busy
		claim send 2
		a expect body
		a send `+busy+`
		wait 2 errored`)
}

// Each kind of byte that nobody asked for is taken note of, and an end is none.
func TestStraysAreSeen(t *testing.T) {
	for name, c := range map[string]struct {
		steps  string
		differ bool
		want   bool
	}{
		"while nothing is asked": {"a send HTTP/1.1 2\n a wait", false, true},
		"directly behind":        {"claim send 2\n a expect body\n a send " + ok + ok + "\n wait 2 done hi\n a wait", false, true},
		"a copy that is known":   {"claim send 2\n a expect body\n a send " + ok + "\n wait 2 reset\n a wait", true, true},
		"its end":                {"a close\n closed send it", false, false},
		"an answer":              {"claim send 2\n a expect body\n a send HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nho\n wait 2 done ho", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			settle := time.Nanosecond
			if c.differ {
				settle = time.Minute
			}
			x := newCrossing(t, Options{Settle: settle}, false)
			if c.differ {
				for digest := range uint64(apart) {
					x.node.nodes.answers.add(digest)
				}
			}
			x.Calls["closed"] = func(string) {
				scenario.Await(t, "it is closed here", func() (closed bool) {
					x.in(func() { closed = len(x.node.conns) == 0 })
					return closed
				})
			}
			x.Play(t, "claim send 1\n a expect body\n a send "+ok+"\n wait 1 done hi\n "+c.steps)
			x.node.Close()
			if got := x.node.nodes.strays.seen.Load(); got != c.want {
				t.Errorf("seen: %v", got)
			}
		})
	}
}

// A rest counts as quiet only when it has lasted to its end, and the next claim found nothing.
func TestQuietRestsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(false)
		defer b.node.Close()
		for digest := range uint64(apart) { // so that a connection is used though it has not rested
			b.node.nodes.answers.add(digest)
		}
		quiet := func() int64 { return b.node.nodes.strays.quiet.Load() }
		var got []int64
		for _, pause := range []time.Duration{0, Settle / 2, Settle, 2 * Settle} {
			time.Sleep(pause)
			b.claim(1)
			got = append(got, quiet())
		}
		if diff := cmp.Diff([]int64{0, 0, 1, 2}, got); diff != "" {
			t.Errorf("quiet rests after each claim (-want +got):\n%s", diff)
		}
	})
}

// While no node has ever sent a stray byte, connections that have rested go first, the one used last of them; then the one
// used last, unless it is its turn to rest.
func TestConnectionsRestNowAndThen(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		rested   []time.Duration // ago, in the order of use
		unrested []int
		want     int
	}{
		"one has rested":              {[]time.Duration{time.Minute, 0, 0}, []int{mostUnrested, 1, 1}, 0},
		"none has":                    {[]time.Duration{0, 0, 0}, []int{1, 1, mostUnrested - 1}, 2},
		"the last is due":             {[]time.Duration{0, 0, 0}, []int{1, 1, mostUnrested}, 1},
		"all are due":                 {[]time.Duration{0, 0, 0}, []int{mostUnrested, mostUnrested, mostUnrested + 1}, -1},
		"there is none at all":        {nil, nil, -1},
		"all are due, answers differ": {[]time.Duration{0, 0}, []int{mostUnrested, mostUnrested}, 0},
	} {
		n := &node{nodes: NewNodes(Options{Settle: Settle}, zerolog.Nop())}
		nothingEver(n)
		for digest := range uint64(apart) {
			if strings.Contains(name, "differ") {
				n.nodes.answers.add(digest)
			}
		}
		for i, ago := range c.rested {
			n.idle = append(n.idle, &conn{answered: true, unrested: c.unrested[i], rested: now.Add(time.Minute / 2).Add(-ago)})
		}
		idle := slices.Clone(n.idle)
		if got := slices.Index(idle, n.rouse()); got != c.want {
			t.Errorf("%s: connection %d, want %d", name, got, c.want)
		}
	}
}

// A connection that is asked on and on rests once in a while, and is used again after it.
func TestAConnectionAskedOnAndOnRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(true)
		defer b.node.Close()
		nothingEver(b.node)
		for range mostUnrested {
			b.claim(1)
		}
		got := []int64{b.opened.Load()}
		b.claim(1)
		got = append(got, b.opened.Load())
		time.Sleep(2 * Settle)
		for range 2 * (mostUnrested - 1) {
			b.claim(1)
		}
		got = append(got, b.opened.Load())
		if diff := cmp.Diff([]int64{1, 2, 2}, got); diff != "" {
			t.Errorf("connections opened by the time of its rest, in it and after (-want +got):\n%s", diff)
		}
	})
}

// A connection whose reader has ended is no claim's, also where no socket tells.
func TestABrokenConnectionIsNotAsked(t *testing.T) {
	var c conn
	if !c.ask() {
		t.Fatal("a sound one is not asked")
	}
	c.broken.Store(true)
	if c.ask() {
		t.Error("a broken one is asked")
	}
}

// One pair of answers alike is not held against a fleet for good, nor forgotten as soon as some answers differ again.
func TestAnswersAlikeAreForgotten(t *testing.T) {
	var a answers
	digest := uint64(0)
	distinct := func(count int) bool {
		for range count {
			digest++
			a.add(digest)
		}
		return a.differ()
	}
	got := []bool{distinct(apart - 1), distinct(1)}
	a.add(digest)
	got = append(got, a.differ(), distinct(apartAgain-1), distinct(1))
	a.add(digest - apart + 1) // the oldest that is remembered
	got = append(got, a.differ())
	if diff := cmp.Diff([]bool{false, true, false, false, true, false}, got); diff != "" {
		t.Errorf("they differ (-want +got):\n%s", diff)
	}
}
