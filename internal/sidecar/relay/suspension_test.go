package relay

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// A suspended server must get no attempt until it is restored, even if the list has it as ready. Suspending an unknown name
// must fail.
func TestSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "safe", Deadline: time.Second}},
			Limits: logic.Limits{MaxAttempts: 3}}
		b := newBench(t, cfg, 1, nil)
		a := member(8)
		a.Name = "a"
		b.list(true, a)
		ask := func(do func(func([]string, error))) (names []string, err error) {
			do(func(n []string, e error) { names, err = n, e })
			synctest.Wait()
			return
		}
		if _, err := ask(func(d func([]string, error)) { b.Suspend("zz", true, d) }); !errors.Is(err, ErrUnknownServer) {
			t.Errorf("suspending an unknown name: error %v, want ErrUnknownServer", err)
		}
		for range 2 {
			if names, err := ask(func(d func([]string, error)) { b.Suspend("a", true, d) }); err != nil || len(names) != 1 {
				t.Errorf("suspend: names %v, error %v; want one name", names, err)
			}
		}
		b.list(true, a) // the list still has the server as ready
		if listed, down := b.ServerCounts(); listed != 1 || down != 1 || b.Ready() {
			t.Errorf("listed %d, unavailable %d, ready %v; want 1, 1, false", listed, down, b.Ready())
		}
		b.lines = nil
		b.submit("safe")
		time.Sleep(2 * time.Second) // longer than the request's time, after which nothing more is recorded
		synctest.Wait()
		for _, l := range b.lines {
			if len(l) > 7 && l[:7] == "attempt" {
				t.Errorf("attempt at a suspended server: %s", l)
			}
		}
		if names, err := ask(func(d func([]string, error)) { b.Restore("a", d) }); err != nil || len(names) != 0 {
			t.Errorf("restore: names %v, error %v; want no name", names, err)
		}
		if _, down := b.ServerCounts(); down != 0 || !b.Ready() {
			t.Errorf("unavailable %d after restore, want 0, and the relay ready", down)
		}
	})
}
