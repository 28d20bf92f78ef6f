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

// recordingObserver records the calls that an observer receives.
type recordingObserver struct {
	outcomes  map[string]int
	listed    []string
	drains    []string
	reserved  int
	capacity  float64
	rejecting bool // admit no attempt
	unlisted  int  // number of attempts at servers that the observer was not notified of
}

// An attempt that the observer does not admit must never be sent, and its request is rejected as not executed. Each
// reservation of an admitted attempt must be released exactly once.
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
			t.Errorf("recorded %q, want a rejection only: the request never ran, so a retry is safe", got)
		}
		b.on(func() { w.rejecting = false })
		id := b.submit("once")
		if reserved, capacity := w.state(b); reserved != 1 || capacity != 1 {
			t.Errorf("%d reserved by one attempt, capacity %g; want 1 and 1", reserved, capacity)
		}
		b.outcome(id, logic.Done, "hi")
		if reserved, _ := w.state(b); reserved != 0 {
			t.Errorf("%d reserved after the attempt, want 0", reserved)
		}
		id = b.submit("once") // the server may work on an attempt whose connection was reset until the request expires
		b.outcome(id, logic.Reset, "")
		if reserved, _ := w.state(b); reserved != 1 {
			t.Errorf("%d reserved after a reset and before the request's expiry, want 1", reserved)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if reserved, _ := w.state(b); reserved != 0 {
			t.Errorf("%d reserved after the request's expiry, want 0", reserved)
		}
		capacity := 0.0
		b.on(func() {
			b.cfg.Contract = logic.Contract{SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second}
			capacity = b.capacity(&server{startedAt: b.now() - 5*time.Second})
		})
		if capacity < 0.599 || capacity > 0.601 {
			t.Errorf("capacity %g halfway through the slow start, want 0.6", capacity)
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

// state returns the number of reservations and the capacity at the last attempt, read on the actor.
func (w *recordingObserver) state(b *bench) (reserved int, capacity float64) {
	b.on(func() { reserved, capacity = w.reserved, w.capacity })
	return reserved, capacity
}

// on runs do on the relay's goroutine and waits for it.
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

// Waiting requests are sent as soon as a server becomes ready. The observer must have been notified of that server before, or
// it could not limit those attempts.
func TestObserverKnowsAServerBeforeItsFirstAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		wait func(b *bench, m Member) // makes later requests wait for a server
		send func(b *bench, m Member) // makes the server ready
	}{
		"the first list": {func(*bench, Member) {}, func(b *bench, m Member) { b.list(true, m) }},
		"a draining server is ready again": {func(b *bench, m Member) {
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
					t.Fatalf("%d attempts sent while no server is ready, want 0", reserved)
				}
				c.send(b, m)
				if reserved, _ := w.state(b); reserved == 0 || w.unlisted != 0 {
					t.Errorf("%d attempts sent, want some; %d of them at a server that the observer was not notified of", reserved, w.unlisted)
				}
			})
		})
	}
}

// An ejected server must get no attempt, must return without slow start, and must be used if no other server is ready.
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
			t.Errorf("unavailable %d, ready %v; want 1, true", down, b.Ready())
		}
		b.list(true, one, two) // the list still has both servers as ready
		if n := attempts(20); n == 0 {
			t.Error("no attempt at the server that is not ejected")
		}
		if n := b.servers[8].pending; n != 0 {
			t.Errorf("%d attempts at the ejected server, want none", n)
		}
		if !slices.Equal(w.listed, []string{"a", "b"}) {
			t.Errorf("servers reported as listed: %v, want a and b, since ejected servers count as listed", w.listed)
		}
		eject()
		if _, down := b.ServerCounts(); down != 0 || b.servers[8].member.Since != one.Since {
			t.Errorf("unavailable %d after the ejection, want 0, and an unchanged start time", down)
		}
		eject("a", "b")
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("unavailable %d, ready %v with all servers ejected; want 0, true", down, b.Ready())
		}
		// A server that another sidecar reports to drain must get no new attempt, whatever the list says, until the report
		// expires or a later start of the server is listed. A report about another start must have no effect.
		for _, since := range []time.Duration{5, one.Since} {
			b.ReportDrain("a", since, true)
			synctest.Wait()
			b.list(true, one, two)
			if _, down := b.ServerCounts(); (down == 1) != (since == one.Since) {
				t.Errorf("unavailable %d after a drain report for start time %v", down, since)
			}
		}
		later := one
		later.Since = b.now()
		b.list(false, later)
		if _, down := b.ServerCounts(); down != 0 {
			t.Error("a drain report applies to a later start of the server")
		}
		b.list(false, one)
		time.Sleep(drainReportTTL + time.Second)
		synctest.Wait()
		if _, down := b.ServerCounts(); down != 0 || len(b.reportedDraining) != 0 {
			t.Errorf("unavailable %d, %d drain reports kept after their expiry; want none", down, len(b.reportedDraining))
		}
		// Drains in the sidecar's own list must be reported to the observer; a server missing from a list must not.
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
			t.Errorf("drains reported: %q, want %q", w.drains, want)
		}
		eject("a")
		two.State = logic.Draining
		b.list(true, one, two)
		synctest.Wait()
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("unavailable %d, ready %v with one server ejected and the other draining; want 0, true", down, b.Ready())
		}
	})
}
