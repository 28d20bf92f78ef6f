package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fieldrelay/logic"
)

// watcher writes down what an observer is told.
type watcher struct {
	outcomes map[string]int
	listed   []string
	drains   []string
	held     int
	warm     float64
	full     bool // no claim is let through
}

// A claim that the limits do not let through is never written: the module goes on as its rules allow, and what the others
// hold is given back once each.
func TestClaimsAreLetThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "once", Effect: logic.Unsafe, Deadline: time.Second}},
			Limits: logic.Limits{MaxAttempts: 3}}
		w := &watcher{outcomes: map[string]int{}, full: true}
		b := newBench(t, cfg, 1, w)
		b.list(true, member(8, logic.Ready), member(9, logic.Ready))
		b.lines = nil
		b.submit("once")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := strings.Join(b.lines, ", "); got != "answer 1 requeue" {
			t.Errorf("%q: it never ran, so coming again does no harm", got)
		}
		b.on(func() { w.full = false })
		id := b.submit("once")
		if held, warm := w.of(b); held != 1 || warm != 1 {
			t.Errorf("%d held by one claim, %g warm", held, warm)
		}
		b.outcome(id, logic.Done, "hi")
		if held, _ := w.of(b); held != 0 {
			t.Errorf("%d held after it", held)
		}
		id = b.submit("once") // the node may work on what broke off until the request's time is over
		b.outcome(id, logic.Reset, "")
		if held, _ := w.of(b); held != 1 {
			t.Errorf("%d held by what broke off", held)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if held, _ := w.of(b); held != 0 {
			t.Errorf("%d held after the request's time", held)
		}
		warm := 0.0
		b.on(func() {
			b.cfg.Contract = logic.Contract{SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second}
			warm = b.capacity(&server{startedAt: b.now() - 5*time.Second})
		})
		if warm < 0.599 || warm > 0.601 {
			t.Errorf("%g warm at half of the cold time", warm)
		}
	})
}

func (w *watcher) AttemptEnded(node string, o logic.Outcome, took time.Duration) {
	if o == logic.Done && took >= 0 {
		w.outcomes[node]++
	}
}

func (w *watcher) BeforeAttempt(node, _, _ string, again bool, warm float64, _ time.Time) (func(), bool) {
	w.warm = warm
	if w.full {
		return nil, false
	}
	w.held++
	return func() { w.held-- }, true
}

// of tells what is held, and how warm the last node was, as the relay's goroutine has it.
func (w *watcher) of(b *bench) (held int, warm float64) {
	b.on(func() { held, warm = w.held, w.warm })
	return held, warm
}

// on does something on the relay's goroutine and waits for it.
func (b *bench) on(do func()) {
	b.mailbox.Put(do)
	synctest.Wait()
}

func (w *watcher) DrainChanged(node string, since time.Duration, drains bool) {
	w.drains = append(w.drains, fmt.Sprint(node, since, drains))
}

func (w *watcher) ServersListed(nodes []ListedServer) {
	w.listed = nil
	for _, n := range nodes {
		w.listed = append(w.listed, n.Name)
	}
	slices.Sort(w.listed)
}

// Nodes that are avoided get no claim, come back as they were, and are used all the same where nothing else is ready.
func TestAvoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "safe", Deadline: time.Second}},
			Limits: logic.Limits{MaxAttempts: 3}}
		w := &watcher{outcomes: map[string]int{}}
		b := newBench(t, cfg, 1, w)
		one, two := member(8, logic.Ready), member(9, logic.Ready)
		one.Name, two.Name = "a", "b"
		b.list(true, one, two)
		avoid := func(names ...string) {
			b.SetEjected(names)
			synctest.Wait()
		}
		claims := func(of int) int {
			b.lines = nil
			for range of {
				b.submit("safe")
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
			}
			n := 0
			for _, l := range b.lines {
				if strings.HasPrefix(l, "claim") {
					n++
				}
			}
			return n
		}
		avoid("a")
		if _, down := b.ServerCounts(); down != 1 || !b.Ready() {
			t.Errorf("down %d, ready %v", down, b.Ready())
		}
		b.list(true, one, two) // discovery says nothing of it
		if n := claims(20); n == 0 {
			t.Error("no claims")
		}
		if n := b.servers[8].inFlight; n != 0 {
			t.Errorf("%d claims at the node that is avoided", n)
		}
		if !slices.Equal(w.listed, []string{"a", "b"}) {
			t.Errorf("%v listed: what is avoided counts as listed", w.listed)
		}
		avoid()
		if _, down := b.ServerCounts(); down != 0 || b.servers[8].member.Since != one.Since {
			t.Errorf("%d down; it was not started anew", down)
		}
		avoid("a", "b")
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("down %d, ready %v: nothing else is ready", down, b.Ready())
		}
		// Another sidecar has heard that it drains: it gets nothing new, whatever the list says, for a minute or until a later
		// start of it is listed; of another start nothing is meant.
		for _, since := range []time.Duration{5, one.Since} {
			b.ReportDrain("a", since, true)
			synctest.Wait()
			b.list(true, one, two)
			if _, down := b.ServerCounts(); (down == 1) != (since == one.Since) {
				t.Errorf("%d down with one draining since %v", down, since)
			}
		}
		later := one
		later.Since = b.now()
		b.list(false, later)
		if _, down := b.ServerCounts(); down != 0 {
			t.Error("the one that started later drains")
		}
		b.list(false, one)
		time.Sleep(drainReportTTL + time.Second)
		synctest.Wait()
		if _, down := b.ServerCounts(); down != 0 || len(b.reportedDrains) != 0 {
			t.Errorf("%d down after a minute, %d kept", down, len(b.reportedDrains))
		}
		// What its own list says is passed on; a gap in it is not.
		two.State = logic.Draining
		b.list(false, two)
		b.list(true, one)
		two.State = logic.Ready
		b.list(true, one, two)
		two.State = logic.Draining
		b.list(false, two)
		two.State = logic.Ready
		b.list(false, two)
		if want := []string{"b0s true", "b0s false", "b0s true", "b0s false"}; !slices.Equal(w.drains, want) {
			t.Errorf("%q told, not %q", w.drains, want)
		}
		avoid("a")
		two.State = logic.Draining
		b.list(true, one, two)
		synctest.Wait()
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("the other one drains: down %d, ready %v", down, b.Ready())
		}
	})
}
