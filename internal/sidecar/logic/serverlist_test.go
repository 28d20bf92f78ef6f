package logic

import (
	"testing"
	"time"
)

func TestDrainingServerGetsNothing(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	r.step(Event{Kind: EvServerList, Servers: []Server{{ID: 1, Zone: "z1", State: Draining}}})
	for id := range uint64(50) {
		if s := r.serve(id, func(uint64) time.Duration { return 20 * ms }); s == 1 {
			t.Fatal("a request was sent to a draining server")
		}
	}
}

func TestServerOmittedFromCompleteListIsGone(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	r.step(Event{Kind: EvServerList, Complete: true, Servers: fleet(1)})
	for id := range uint64(20) {
		if s := r.serve(id, func(uint64) time.Duration { return 20 * ms }); s != 1 {
			t.Fatal("a request was sent to a server that the complete list omits")
		}
	}
}

func TestRestartedServerHasNoSamples(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	r.serve(1, func(uint64) time.Duration { return 20 * ms })
	r.step(Event{Kind: EvServerList, Servers: []Server{{ID: 1, Zone: "z1", Since: r.now}}})
	if s := r.b.servers[0]; s.Seeded() || s.Speed() != 0 {
		t.Error("a restarted server kept its speed estimate")
	}
}

func TestGoneServersStayInUseWhereGoneIsAdvisory(t *testing.T) {
	for _, complete := range []bool{false, true} {
		for _, advisory := range []bool{false, true} {
			cfg := settings(Safe)
			cfg.Contract.GoneIsAdvisory = advisory
			r := newHarness(t, cfg, fleet(3)...)
			r.serveAndCount(1, 30)
			gone := []Server{{ID: 2, State: Gone}}
			if complete {
				gone = []Server{{ID: 1, Zone: "z1"}, {ID: 3, Zone: "z1"}}
			}
			r.list(complete, gone...)
			if got := r.serveAndCount(100, 100); (got[2] > 0) != advisory {
				t.Errorf("complete list %t, gone is advisory %t: server 2, which is gone, got %d requests",
					complete, advisory, got[2])
			}
		}
	}
}

func TestListWithAllServersGoneIsDistrusted(t *testing.T) {
	r := newHarness(t, advisoryGone(), fleet(4)...)
	r.list(true)
	if got := r.serveAndCount(1, 100); len(got) != 4 {
		t.Errorf("requests were sent to %d of 4 running servers", len(got))
	}
}

func TestServerListedAsGoneIsDroppedAtItsFirstFailure(t *testing.T) {
	r := newHarness(t, advisoryGone(), fleet(3)...)
	r.serveAndCount(1, 30)
	r.list(false, Server{ID: 2, State: Gone})
	failed := false
	for id := uint64(100); id < 200; id++ {
		r.request(id)
		if s := r.sent(); s == 2 {
			if failed {
				t.Fatal("server 2, listed as gone, got a request after it had refused one")
			}
			failed = true
			r.outcome(id, 0, 5*ms, Refused)
		} else {
			r.outcome(id, 0, 5*ms, Done)
		}
		r.now += 20 * ms
	}
	if !failed {
		t.Error("server 2, listed as gone, got no request")
	}
}

func TestServerListedAsGoneWithoutASampleIsExcluded(t *testing.T) {
	r := newHarness(t, advisoryGone(), fleet(4)...)
	r.list(false, Server{ID: 2, State: Gone})
	if got := r.serveAndCount(1, 100); got[2] > 0 {
		t.Errorf("server 2, listed as gone and without a sample, got %d requests", got[2])
	}
}

func TestDrainingServerStaysExcludedUntilItRestarts(t *testing.T) {
	drain := Server{ID: 2, State: Draining, Zone: "z1", Since: time.Second}
	live := Server{ID: 2, Zone: "z1", Since: time.Second}
	later := Server{ID: 2, Zone: "z1", Since: 2 * time.Second}
	others := []Server{{ID: 1, Zone: "z1"}, {ID: 3, Zone: "z1"}}
	for name, then := range map[string]func(*harness){
		"gone":    func(r *harness) { r.list(false, Server{ID: 2, State: Gone}) },
		"omitted": func(r *harness) { r.list(true, others...) },
		"old":     func(r *harness) { r.list(false, live) },
		"back":    func(r *harness) { r.list(false, Server{ID: 2, State: Gone}); r.list(true, append(others, live)...) },
		"empty":   func(r *harness) { r.list(true) },
	} {
		r := newHarness(t, advisoryGone(), append(others, live)...)
		r.serveAndCount(1, 30)
		r.list(false, drain)
		then(r)
		if got := r.serveAndCount(100, 100); got[2] > 0 {
			t.Errorf("%s: drained server 2 got %d requests", name, got[2])
		}
		r.list(false, later)
		if got := r.serveAndCount(300, 100); got[2] == 0 {
			t.Errorf("%s: server 2 got no request after its restart", name)
		}
	}
}

func TestOutdatedListEndsNoSlowStart(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(3)...)
	r.list(false, Server{ID: 2, Zone: "z1", Since: r.now})
	r.list(false, Server{ID: 2, Zone: "z1"})
	if s := r.b.byID[2]; r.b.capacityFraction(s) == 1 {
		t.Error("an entry with an older start ended the slow start of a server")
	}
}

func TestServerListedAsGoneIsForgottenInTheEnd(t *testing.T) {
	r := newHarness(t, advisoryGone(), fleet(3)...)
	r.serveAndCount(1, 30)
	r.list(true, fleet(1)...)
	r.now += 2 * goneRetention * agingTime
	r.list(true, fleet(1)...)
	if len(r.b.servers) != 1 {
		t.Errorf("%d servers are still in use, want only the one that is listed", len(r.b.servers))
	}
}

// A thousand sidecars that each keep idle connections use up the connection limit of a server.
func TestIdleConnectionsAreClosedWhenTheyCostAsMuchAsAHandshake(t *testing.T) {
	for _, price := range []float64{0, 0.08} {
		cfg := settings(Safe)
		cfg.Balancers = 1000
		cfg.Prices.Connection, cfg.Prices.Handshake = price, 0.08
		r := newHarness(t, cfg, fleet(1)...)
		r.b.requestRate = 2
		s := r.serve(1, func(uint64) time.Duration { return 10 * ms })
		w, ok := r.find(ActWake)
		if ok != (price > 0) {
			t.Fatalf("price of connections %v: wake-up requested %t", price, ok)
		}
		if !ok {
			continue
		}
		r.request(2) // the connection is in use again and must not be closed
		r.now = w.At
		if acts := r.step(Event{Kind: EvWake, Timer: w.Timer}); len(acts) > 0 {
			t.Errorf("actions at the wake-up for a connection in use: %+v", acts)
		}
		r.outcome(2, 0, 10*ms, Done)
		w, _ = r.find(ActWake)
		r.now = w.At
		r.step(Event{Kind: EvWake, Timer: w.Timer})
		if a, ok := r.find(ActCloseIdle); !ok || a.Server != s {
			t.Errorf("idle connections were not closed: %+v", r.actions)
		}
	}
}
