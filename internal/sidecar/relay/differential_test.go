package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// script feeds randomly drawn requests, outcomes and lists to a relay and returns all calls and answers of the relay, in order.
func script(t *testing.T, seed uint64, o Observer) (lines []string) {
	synctest.Test(t, func(t *testing.T) {
		cfg := logic.Config{Tick: 5 * time.Millisecond, Classes: []logic.Class{{Name: "safe", Deadline: time.Second, LatencyTarget: 300 * time.Millisecond},
			{Name: "once", Effect: logic.Unsafe, Deadline: time.Second}}, Limits: logic.Limits{MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: time.Second, Cancel: true},
			Contract: logic.Contract{SlowStartMinCapacity: 0.3, SlowStartWindow: time.Second}}
		b := newBench(t, cfg, seed, o)
		rng := rand.New(rand.NewPCG(seed, 1))
		var all []Member
		for i := range 5 {
			m := member(uint64(i + 1))
			m.Name = fmt.Sprint("n", i+1)
			all = append(all, m)
		}
		b.list(true, all...)
		var open []uint64
		for range 400 {
			switch k := rng.IntN(10); {
			case k < 5:
				open = append(open, b.submit([]string{"safe", "once"}[rng.IntN(2)]))
			case k < 9 && len(open) > 0:
				at := rng.IntN(len(open))
				id := open[at]
				pending, exists := false, false
				b.on(func() {
					if j := b.requests[id]; j != nil {
						_, pending = j.pending[b.attempts[id].ID.Attempt]
					}
				})
				if pending {
					b.outcome(id, []logic.Outcome{logic.Done, logic.Done, logic.Errored, logic.Busy, logic.Refused, logic.Reset}[rng.IntN(6)], "x")
				}
				b.on(func() { exists = b.requests[id] != nil })
				if !exists {
					open = slices.Delete(open, at, at+1)
				}
			default:
				m := all[rng.IntN(len(all))]
				m.State = []logic.State{logic.Ready, logic.Draining}[rng.IntN(2)]
				b.list(false, m)
			}
			time.Sleep(time.Duration(1 + rng.Int64N(int64(30*time.Millisecond)))) // so that no two timers fire at the same time
			synctest.Wait()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		b.on(func() { lines = slices.Clone(b.lines) })
	})
	return lines
}

// A relay without an observer and one whose observer admits every attempt must make the same decisions, event by event.
func TestSameDecisionsWithoutAnObserver(t *testing.T) {
	compared := 0
	for seed := range uint64(20) {
		alone, observed := script(t, seed, nil), script(t, seed, &recordingObserver{outcomes: map[string]int{}})
		if !slices.Equal(alone, observed) {
			t.Fatalf("seed %d:\n%q\n%q", seed, alone, observed)
		}
		compared += len(alone)
	}
	if compared < 4000 {
		t.Errorf("%d lines compared, want at least 4000", compared)
	}
	t.Logf("%d lines compared", compared)
	// Counter-check: an observer that rejects attempts must make a difference.
	if slices.Equal(script(t, 3, nil), script(t, 3, &recordingObserver{outcomes: map[string]int{}, rejecting: true})) {
		t.Error("an observer that rejects all attempts makes no difference")
	}
}
