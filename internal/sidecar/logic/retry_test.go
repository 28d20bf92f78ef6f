package logic

import (
	"testing"
	"time"
)

func TestUnsafeIsNotResentUnlessItNeverRan(t *testing.T) {
	r := newHarness(t, settings(Unsafe), fleet(3)...)
	r.request(1)
	r.now += 10 * ms
	r.outcome(1, 0, 10*ms, Errored)
	if _, ok := r.find(ActSend); ok {
		t.Error("an unsafe request that may have run was sent again")
	}
	if _, ok := r.find(ActFail); !ok {
		t.Error("an unsafe request that may have run was not failed")
	}
	r.request(2)
	r.now += 10 * ms
	r.outcome(2, 0, 10*ms, Refused)
	if _, ok := r.find(ActSend); !ok {
		t.Error("an unsafe request that never ran was not sent again")
	}
}

func TestKeyedIsResentWithinItsGroupOnly(t *testing.T) {
	list := fleet(4)
	for i := range list {
		list[i].Cell = i / 2
	}
	r := newHarness(t, settings(Keyed), list...)
	for id := range uint64(10) {
		r.b.slack.Fraction = 1 // no load shedding
		r.request(id)
		first := r.sent()
		r.now += 10 * ms
		r.outcome(id, 0, 10*ms, Errored)
		if a, ok := r.find(ActSend); ok && (a.Server-1)/2 != (first-1)/2 {
			t.Fatalf("keyed request was sent to server %d and then to server %d of another cell",
				first, a.Server)
		} else if ok {
			r.outcome(id, 1, 10*ms, Done)
		}
		if _, ok := r.find(ActReject); ok {
			t.Fatal("a keyed request that may have run was rejected")
		}
		r.now += time.Second
	}
}

func TestKeyedIsNotResentAfterItsWindow(t *testing.T) {
	cfg := settings(Keyed)
	cfg.Classes[0].LatencyTarget = 1000 * ms
	for _, at := range []time.Duration{300 * ms, 600 * ms} {
		r := newHarness(t, cfg, fleet(3)...)
		r.request(1)
		r.now += at
		r.outcome(1, 0, at, Errored)
		again, sent := r.find(ActSend)
		if sent != (at < cfg.Classes[0].Window) {
			t.Errorf("attempt failed after %v, window %v: sent again %t", at, cfg.Classes[0].Window, sent)
		}
		// The connection may be established late, so the action has the end of the window.
		if ends := r.now - at + cfg.Classes[0].Window; sent && (again.At <= r.now || again.At > ends) {
			t.Errorf("repeat may be written until %v, the window ends at %v, now %v", again.At, ends, r.now)
		}
	}
}

// A queued request that is sent just before its target is answered late, which would count as an overload.
func TestQueuedRequestIsGivenUpInTimeForASlowAnswer(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	for id := range uint64(200) {
		latency := time.Duration(20+40*(id%2)) * ms
		r.serve(id, func(uint64) time.Duration { return latency })
	}
	limit := int(r.b.servers[0].limit) + 1
	for id := range uint64(limit + 1) {
		r.request(1000 + id)
	}
	for _, a := range r.actions {
		if a.Kind == ActWake && a.Timer.Kind == TimerQueued {
			if room := r.now + 400*ms - a.At; room < 70*ms {
				t.Errorf("request queued until %v before the target, want at least 70ms, since answers take 20 to 60 ms",
					room)
			}
			return
		}
	}
	t.Errorf("the request was not queued: %+v", r.actions)
}

// A request that only a few servers may get would block the requests behind it in the queue.
func TestRequestThatMayHaveRunIsNotQueued(t *testing.T) {
	list := fleet(4)
	for i := range list {
		list[i].Cell = i / 2
	}
	r := newHarness(t, settings(Keyed), list...)
	r.request(1)
	cell := int(r.sent()-1) / 2
	r.outcome(1, 0, 10*ms, Errored)
	r.sent()
	for _, s := range r.b.servers { // all servers of the cell are at their limits
		if s.Cell == cell {
			s.limit = 0
		}
	}
	r.outcome(1, 1, 10*ms, Busy)
	if _, failed := r.find(ActFail); !failed {
		t.Errorf("a request that may have run and cannot be sent was not failed: %+v", r.actions)
	}
}

// Where a busy server may have begun the work (Contract.BusyMayHaveRun), a busy answer does not prove that
// the attempt never ran, and a repeat breaks the rules of unsafe and keyed requests.
func TestBusyIsNoProofWhereItMayHaveRun(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		cfg := settings(Unsafe)
		cfg.Contract.BusyMayHaveRun = mayHaveRun
		r := newHarness(t, cfg, fleet(3)...)
		r.request(1)
		r.outcome(1, 0, ms, Busy)
		if _, sent := r.find(ActSend); sent == mayHaveRun {
			t.Errorf("unsafe request, BusyMayHaveRun %t: sent again %t", mayHaveRun, sent)
		}
		if _, failed := r.find(ActFail); failed != mayHaveRun {
			t.Errorf("unsafe request, BusyMayHaveRun %t: failed %t", mayHaveRun, failed)
		}
		cfg = settings(Keyed)
		cfg.Contract.BusyMayHaveRun = mayHaveRun
		list := fleet(2)
		list[1].Cell = 1 // in this cell, repeats of keys of the other cell are not dropped
		r = newHarness(t, cfg, list...)
		r.request(1)
		first := r.sent()
		r.outcome(1, 0, ms, Busy)
		if again := r.sent(); (again == first) != mayHaveRun {
			t.Errorf("keyed request, BusyMayHaveRun %t: sent to server %d, then to server %d",
				mayHaveRun, first, again)
		}
		if r.outcome(1, 1, ms, Busy); mayHaveRun {
			r.now += 395 * ms
			r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1}})
			if _, rejected := r.find(ActReject); rejected {
				t.Error("a keyed request that may have run was rejected")
			}
		}
	}
}

// Some servers reject one kind of request as busy and serve all others. Treating this as an overload
// rejected one in six requests of that kind in a fleet with free capacity.
func TestBusyAnswersToOneKindOfRequestAreRetriedElsewhere(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes = append(cfg.Classes, Class{Name: "odd", LatencyTarget: 400 * ms, Deadline: 1000 * ms})
	r := newHarness(t, cfg, fleet(6)...)
	for id := range uint64(300) {
		r.serve(id, func(uint64) time.Duration { return 20 * ms })
		if id%10 != 0 {
			continue
		}
		odd := 1000 + id
		r.step(Event{Kind: EvRequest, Request: odd, Class: "odd", Expires: r.now + 800*ms})
		for attempt := range 2 {
			if _, sent := r.find(ActSend); !sent {
				t.Fatalf("request %d: attempt %d was not sent: %+v", odd, attempt, r.actions)
			}
			o := Busy
			if attempt > 0 {
				o = Done
			}
			r.now += ms
			r.outcome(odd, attempt, ms, o)
		}
	}
}

func TestRequestIsNotRetriedWhereAllServersAreBusy(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(3)...)
	r.serveAndCount(1, 60)
	r.request(100)
	if r.outcome(100, 0, 2*ms, Busy); !r.has(ActSend) {
		t.Fatalf("a request that one server rejected as busy was not sent to another: %+v", r.actions)
	}
	r.outcome(100, 1, 2*ms, Done)
	again := 0
	for id := uint64(200); id < 230; id++ {
		r.b.slack.Fraction = 1
		r.request(id)
		for n := 0; r.has(ActSend); n++ {
			again += min(n, 1)
			r.now += 2 * ms
			r.outcome(id, n, 2*ms, Busy)
		}
		r.now += 20 * ms
	}
	if again > 10 {
		t.Errorf("all servers are busy: %d repeated attempts of 30 requests, want at most 10", again)
	}
}

func TestRequestAtFaultItselfIsNotRetried(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(3)...)
	r.serveAndCount(1, 60)
	again := 0
	for id := uint64(100); id < 160; id += 2 {
		r.requestAs(id, "c", "bad", false)
		r.sent()
		r.now += 10 * ms
		if r.outcome(id, 0, 10*ms, Errored); r.has(ActSend) {
			again++
			r.outcome(id, 1, 10*ms, Errored)
		}
		r.requestAs(id+1, "c", "good", false)
		r.now += 10 * ms
		r.outcome(id+1, 0, 10*ms, Done)
	}
	if again > 10 {
		t.Errorf("%d of 30 requests of a tenant that fails at all servers were sent again, want at most 10",
			again)
	}
}

func TestSafeRequestIsRejectedAtItsTargetIfLateAnswersHaveNoValue(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	r.request(1)
	r.now += 396 * ms
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1}})
	if !r.has(ActReject) {
		t.Errorf("a safe request was not rejected at its target: %+v", r.actions)
	}
}
