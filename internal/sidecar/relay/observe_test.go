package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// recordingObserver writes down what an observer receives.
type recordingObserver struct {
	outcomes  map[string]int
	listed    []string
	drains    []string
	reserved  int
	capacity  float64
	rejecting bool // no attempt may start
	unlisted  int  // attempts at servers that the observer was not notified of
}

// An attempt that the limits do not admit is never written: the module goes on as its rules allow, and what the others
// have reserved is released once each.
func TestObserverAdmitsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "once", Effect: logic.Unsafe, Deadline: time.Second}},
			Limits: logic.Limits{MaxAttempts: 3}}
		w := &recordingObserver{outcomes: map[string]int{}, rejecting: true}
		b := newBench(t, cfg, 1, w)
		b.list(true, member(8), member(9))
		b.lines = nil
		b.submit("once")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := strings.Join(b.lines, ", "); got != "answer 1 rejected" {
			t.Errorf("%q: it never ran, so coming again does no harm", got)
		}
		b.on(func() { w.rejecting = false })
		id := b.submit("once")
		if reserved, capacity := w.state(b); reserved != 1 || capacity != 1 {
			t.Errorf("%d reserved by one attempt, capacity %g", reserved, capacity)
		}
		b.outcome(id, logic.Done, "hi")
		if reserved, _ := w.state(b); reserved != 0 {
			t.Errorf("%d reserved after it", reserved)
		}
		id = b.submit("once") // the server may work on what broke off until the request's time is over
		b.outcome(id, logic.Reset, "")
		if reserved, _ := w.state(b); reserved != 1 {
			t.Errorf("%d reserved by what broke off", reserved)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if reserved, _ := w.state(b); reserved != 0 {
			t.Errorf("%d reserved after the request's time", reserved)
		}
		capacity := 0.0
		b.on(func() {
			b.cfg.Contract = logic.Contract{SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second}
			capacity = b.capacity(&server{startedAt: b.now() - 5*time.Second})
		})
		if capacity < 0.599 || capacity > 0.601 {
			t.Errorf("capacity %g at half of the slow start", capacity)
		}
	})
}

func (w *recordingObserver) AttemptEnded(server string, o logic.Outcome, took time.Duration) {
	if o == logic.Done && took >= 0 {
		w.outcomes[server]++
	}
}

func (w *recordingObserver) BeforeAttempt(server, _, _ string, _ bool, capacity float64, _ time.Time) (func(), bool) {
	w.capacity = capacity
	if !slices.Contains(w.listed, server) {
		w.unlisted++
	}
	if w.rejecting {
		return nil, false
	}
	w.reserved++
	return func() { w.reserved-- }, true
}

// state returns what is reserved, and the capacity of the last server, as the actor has them.
func (w *recordingObserver) state(b *bench) (reserved int, capacity float64) {
	b.on(func() { reserved, capacity = w.reserved, w.capacity })
	return reserved, capacity
}

// on does something on the relay's goroutine and waits for it.
func (b *bench) on(do func()) {
	b.mailbox.Put(do)
	synctest.Wait()
}

func (w *recordingObserver) DrainChanged(server string, startedAt time.Duration, draining bool) {
	w.drains = append(w.drains, fmt.Sprint(server, startedAt, draining))
}

func (w *recordingObserver) ServersListed(servers []ListedServer) {
	w.listed = nil
	for _, s := range servers {
		w.listed = append(w.listed, s.Name)
	}
	slices.Sort(w.listed)
}

// Requests that wait for a server are sent as soon as there is one: an observer that did not know of it by then could not
// limit those attempts.
func TestObserverKnowsAServerBeforeItsFirstAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		wait func(b *bench, m Member) // from when requests wait
		send func(b *bench, m Member)
	}{
		"the first list": {func(*bench, Member) {}, func(b *bench, m Member) { b.list(true, m) }},
		"a server that was drained is ready again": {func(b *bench, m Member) {
			m.State = logic.Draining
			b.list(true, m)
		}, func(b *bench, m Member) { b.list(false, m) }},
		"a suspension ends": {func(b *bench, m Member) {
			b.list(true, m)
			b.Suspend(m.Name, true, func([]string, error) {})
			synctest.Wait()
		}, func(b *bench, m Member) {
			b.Restore(m.Name, func([]string, error) {})
			synctest.Wait()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "safe", Deadline: time.Second}},
					Limits: logic.Limits{MaxAttempts: 3}}
				w := &recordingObserver{outcomes: map[string]int{}}
				b := newBench(t, cfg, 1, w)
				m := member(8)
				m.Name = "a"
				c.wait(b, m)
				for range 3 {
					b.submit("safe")
				}
				if reserved, _ := w.state(b); reserved != 0 {
					t.Fatalf("%d sent before", reserved)
				}
				c.send(b, m)
				if reserved, _ := w.state(b); reserved == 0 || w.unlisted != 0 {
					t.Errorf("%d sent, %d of them at a server that the observer does not know", reserved, w.unlisted)
				}
			})
		})
	}
}

// Servers that are ejected get no attempt, come back as they were, and are used all the same where nothing else is ready.
func TestEjectedServersGetNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "safe", Deadline: time.Second}},
			Limits: logic.Limits{MaxAttempts: 3}}
		w := &recordingObserver{outcomes: map[string]int{}}
		b := newBench(t, cfg, 1, w)
		one, two := member(8), member(9)
		one.Name, two.Name = "a", "b"
		b.list(true, one, two)
		eject := func(names ...string) {
			b.SetEjected(names)
			synctest.Wait()
		}
		attempts := func(of int) int {
			b.lines = nil
			for range of {
				b.submit("safe")
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
			}
			n := 0
			for _, l := range b.lines {
				if strings.HasPrefix(l, "attempt") {
					n++
				}
			}
			return n
		}
		eject("a")
		if _, down := b.ServerCounts(); down != 1 || !b.Ready() {
			t.Errorf("down %d, ready %v", down, b.Ready())
		}
		b.list(true, one, two) // discovery says nothing of it
		if n := attempts(20); n == 0 {
			t.Error("no attempts")
		}
		if n := b.servers[8].pending; n != 0 {
			t.Errorf("%d attempts at the server that is ejected", n)
		}
		if !slices.Equal(w.listed, []string{"a", "b"}) {
			t.Errorf("%v listed: what is ejected counts as listed", w.listed)
		}
		eject()
		if _, down := b.ServerCounts(); down != 0 || b.servers[8].member.Since != one.Since {
			t.Errorf("%d down; it was not started anew", down)
		}
		eject("a", "b")
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("down %d, ready %v: nothing else is ready", down, b.Ready())
		}
		// Another sidecar has reported that it drains: it gets nothing new, whatever the list says, for a minute or until a later
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
		if _, down := b.ServerCounts(); down != 0 || len(b.reportedDraining) != 0 {
			t.Errorf("%d down after a minute, %d kept", down, len(b.reportedDraining))
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
			t.Errorf("%q reported, not %q", w.drains, want)
		}
		eject("a")
		two.State = logic.Draining
		b.list(true, one, two)
		synctest.Wait()
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("the other one drains: down %d, ready %v", down, b.Ready())
		}
	})
}
