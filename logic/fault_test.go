package logic

import (
	"testing"
	"time"
)

// Tests of what the list's word is worth, and of whose fault an outcome was.

func advice(effect Effect) Config {
	cfg := settings(effect)
	cfg.Contract.GoneIsAdvisory = true
	return cfg
}

// list hands over a list; with complete, servers that it leaves out are gone.
func (r *rig) list(complete bool, servers ...Server) {
	r.step(Event{Kind: EvMembers, Servers: servers, Complete: complete})
}

// tally serves n requests in 20 ms each, from request id on, and counts them by server.
func (r *rig) tally(id, n uint64) map[uint64]int {
	got := map[uint64]int{}
	for i := range n {
		got[r.serve(id+i, func(uint64) time.Duration { return 20 * ms })]++
	}
	return got
}

func TestGoneAsAdviceLeavesServersInUse(t *testing.T) {
	for _, complete := range []bool{false, true} {
		for _, isAdvice := range []bool{false, true} {
			cfg := settings(Safe)
			cfg.Contract.GoneIsAdvisory = isAdvice
			r := newRig(t, cfg, fleet(3)...)
			r.tally(1, 30)
			gone := []Server{{ID: 2, State: Gone}}
			if complete {
				gone = []Server{{ID: 1, Zone: "z1"}, {ID: 3, Zone: "z1"}}
			}
			r.list(complete, gone...)
			if got := r.tally(100, 100); (got[2] > 0) != isAdvice {
				t.Errorf("complete %t, advice %t: server 2 got %d", complete, isAdvice, got[2])
			}
		}
	}
}

func TestListThatCallsAllGoneIsNotBelieved(t *testing.T) {
	r := newRig(t, advice(Safe), fleet(4)...)
	r.list(true)
	if got := r.tally(1, 100); len(got) != 4 {
		t.Errorf("requests went to %d servers of 4 that run", len(got))
	}
}

func TestServerCalledGoneIsLeftAtItsFirstSilence(t *testing.T) {
	r := newRig(t, advice(Safe), fleet(3)...)
	r.tally(1, 30)
	r.list(false, Server{ID: 2, State: Gone})
	failed := false
	for id := uint64(100); id < 200; id++ {
		r.request(id)
		if s := r.sent(); s == 2 {
			if failed {
				t.Fatal("called gone and refused, server 2 was tried again")
			}
			failed = true
			r.outcome(id, 0, 5*ms, Refused)
		} else {
			r.outcome(id, 0, 5*ms, Done)
		}
		r.now += 20 * ms
	}
	if !failed {
		t.Error("server 2 was not tried at all")
	}
}

func TestServerNeverTriedAndCalledGoneIsLeft(t *testing.T) {
	r := newRig(t, advice(Safe), fleet(4)...)
	r.list(false, Server{ID: 2, State: Gone})
	if got := r.tally(1, 100); got[2] > 0 {
		t.Errorf("server 2 got %d, though nothing speaks for it", got[2])
	}
}

func TestDrainOutlastsWhatTheListSaysLater(t *testing.T) {
	drain := Server{ID: 2, State: Draining, Zone: "z1", Since: time.Second}
	live := Server{ID: 2, Zone: "z1", Since: time.Second}
	later := Server{ID: 2, Zone: "z1", Since: 2 * time.Second}
	others := []Server{{ID: 1, Zone: "z1"}, {ID: 3, Zone: "z1"}}
	for name, then := range map[string]func(*rig){
		"gone":    func(r *rig) { r.list(false, Server{ID: 2, State: Gone}) },
		"omitted": func(r *rig) { r.list(true, others...) },
		"old":     func(r *rig) { r.list(false, live) },
		"back":    func(r *rig) { r.list(false, Server{ID: 2, State: Gone}); r.list(true, append(others, live)...) },
		"empty":   func(r *rig) { r.list(true) },
	} {
		r := newRig(t, advice(Safe), append(others, live)...)
		r.tally(1, 30)
		r.list(false, drain)
		then(r)
		if got := r.tally(100, 100); got[2] > 0 {
			t.Errorf("%s: drained server 2 got %d", name, got[2])
		}
		r.list(false, later)
		if got := r.tally(300, 100); got[2] == 0 {
			t.Errorf("%s: server 2 restarted and got nothing", name)
		}
	}
}

func TestOldListMakesNoColdServerWarm(t *testing.T) {
	r := newRig(t, settings(Safe), fleet(3)...)
	r.list(false, Server{ID: 2, Zone: "z1", Since: r.now})
	r.list(false, Server{ID: 2, Zone: "z1"})
	if s := r.b.byID[2]; r.b.capacityFraction(s) == 1 {
		t.Error("an entry with an older start made a cold server warm")
	}
}

func TestServerCalledGoneIsForgottenInTheEnd(t *testing.T) {
	r := newRig(t, advice(Safe), fleet(3)...)
	r.tally(1, 30)
	r.list(true, fleet(1)...)
	r.now += 2 * goneRetention * agingTime
	r.list(true, fleet(1)...)
	if len(r.b.servers) != 1 {
		t.Errorf("%d servers are still known, 1 is listed", len(r.b.servers))
	}
}

// ask hands in a request of a class and a tenant.
func (r *rig) ask(id uint64, class, tenant string, repeat bool) []Action {
	return r.step(Event{Kind: EvRequest, Request: id, Class: class, Tenant: tenant, Retry: repeat,
		Expires: r.now + 900*ms})
}

func (r *rig) has(kind ActionKind) bool {
	_, ok := r.find(kind)
	return ok
}

func TestRequestsThatFailAnywhereEjectNoServer(t *testing.T) {
	r := newRig(t, settings(Unsafe), fleet(3)...)
	r.tally(1, 60)
	for id := uint64(100); id < 400; id++ {
		tenant, o := "good", Done
		if id%5 < 2 {
			tenant, o = "bad", Errored
		}
		r.ask(id, "c", tenant, false)
		if r.has(ActSend) {
			r.now += 10 * ms
			r.outcome(id, 0, 10*ms, o)
		}
		for _, a := range r.acts {
			if a.Kind == ActLog {
				t.Fatalf("request %d: %s", id, a.Text)
			}
		}
	}
}

func TestServerThatFailsForAllIsStillEjected(t *testing.T) {
	r := newRig(t, settings(Unsafe), fleet(3)...)
	r.tally(1, 60)
	got := 0
	for id := uint64(100); id < 400; id++ {
		r.ask(id, "c", []string{"a", "b"}[id%2], false)
		s, o := r.sent(), Done
		if s == 2 {
			got, o = got+1, Errored
		}
		r.now += 10 * ms
		r.outcome(id, 0, 10*ms, o)
	}
	if got > 10 {
		t.Errorf("a server that fails got %d of 300", got)
	}
}

func TestClassThatWaitsEverywhereIsRefusedAndTriedNowAndThen(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes = append(cfg.Classes, Class{Name: "slow", LatencyTarget: 400 * ms, Deadline: time.Second})
	r := newRig(t, cfg, fleet(3)...)
	r.tally(1, 60)
	refused, sent := 0, 0
	for id := uint64(100); id < 500; id += 2 {
		r.ask(id, "slow", "", false)
		if r.has(ActSend) {
			sent++
		} else {
			refused++
		}
		r.request(id + 1)
		if !r.has(ActSend) {
			t.Fatalf("request %d of the other class was not sent", id+1)
		}
		r.now += 30 * ms
		r.outcome(id+1, 0, 30*ms, Done)
		r.now += 390 * ms
		r.outcome(id, 0, 420*ms, Done)
	}
	// 200 of them in 84 s: about one in δ once it is known.
	if sent > 60 || sent < 20 {
		t.Errorf("%d of the class that waits were sent, %d refused", sent, refused)
	}
}

func TestSafeRequestIsSettledAtAWorthlessAim(t *testing.T) {
	r := newRig(t, settings(Safe), fleet(2)...)
	r.request(1)
	r.now += 396 * ms
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1}})
	if !r.has(ActReject) {
		t.Errorf("no final answer at the aim: %+v", r.acts)
	}
}

func TestRepeatAfterTheAimOfItsFirstTryIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, settings(Safe), fleet(2)...)
	r.tally(10, 20)
	r.request(1)
	r.now += 396 * ms
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1}})
	r.now += 50 * ms
	if r.ask(2, "c", "", true); !r.has(ActReject) {
		t.Errorf("a repeat past its aim was not refused: %+v", r.acts)
	}
	if r.ask(3, "c", "", false); !r.has(ActSend) {
		t.Errorf("a first try was not sent: %+v", r.acts)
	}
}

func TestRefusalTellsWhenARepeatHasAProspect(t *testing.T) {
	cfg := settings(Safe)
	cfg.Limits.RetryAfter, cfg.Limits.MaxRetryAfter = true, time.Second
	r := newRig(t, cfg, fleet(2)...)
	r.tally(10, 20)
	r.b.slack.Share = 0.6 // a tenth of what is let in at 1/calm is missing: 0.3 s of an ageing time of 3 s
	for id := uint64(100); !r.has(ActReject); id++ {
		r.request(id)
	}
	if a, _ := r.find(ActReject); a.After < 250*ms || a.After > 350*ms {
		t.Errorf("shedding a little, repeats are asked to wait %v", a.After)
	}
	r.b.slack.Share = 1
	r.request(1000)
	r.now += 396 * ms
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerTarget, ID: 1000}})
	if a, _ := r.find(ActReject); a.After != time.Second {
		t.Errorf("past its aim, a repeat is asked to wait %v", a.After)
	}
}

func TestFullEverywhereIsNotSentAgain(t *testing.T) {
	r := newRig(t, settings(Safe), fleet(3)...)
	r.tally(1, 60)
	r.request(100)
	if r.outcome(100, 0, 2*ms, Busy); !r.has(ActSend) {
		t.Fatalf("one full server: the request should go to another: %+v", r.acts)
	}
	r.outcome(100, 1, 2*ms, Done)
	again := 0
	for id := uint64(200); id < 230; id++ {
		r.b.slack.Share = 1
		r.request(id)
		for n := 0; r.has(ActSend); n++ {
			again += min(n, 1)
			r.now += 2 * ms
			r.outcome(id, n, 2*ms, Busy)
		}
		r.now += 20 * ms
	}
	if again > 10 {
		t.Errorf("all servers full: %d further attempts for 30 requests", again)
	}
}

func TestWhatFailsByItsKindIsNotSentAgain(t *testing.T) {
	r := newRig(t, settings(Safe), fleet(3)...)
	r.tally(1, 60)
	again := 0
	for id := uint64(100); id < 160; id += 2 {
		r.ask(id, "c", "bad", false)
		r.sent()
		r.now += 10 * ms
		if r.outcome(id, 0, 10*ms, Errored); r.has(ActSend) {
			again++
			r.outcome(id, 1, 10*ms, Errored)
		}
		r.ask(id+1, "c", "good", false)
		r.now += 10 * ms
		r.outcome(id+1, 0, 10*ms, Done)
	}
	if again > 10 {
		t.Errorf("%d of 30 requests that fail anywhere were sent again", again)
	}
}
