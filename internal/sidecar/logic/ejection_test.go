package logic

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An overloaded server recovers only without new requests, so answers to attempts from before an ejection
// must not end the ejection.
func TestAnswersFromBeforeAnEjectionDoNotEndIt(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	for id := range uint64(4) {
		r.request(id)
	}
	s := r.b.servers[0]
	old := s.inFlight[0]
	r.b.now = r.now
	r.b.eject(s)
	r.now += 50 * ms
	r.outcome(old.request.id, 0, 50*ms, Done)
	if r.now >= s.ejectedUntil || s.ejectBackoff == minEjectBackoff {
		t.Error("an answer to an attempt from before the ejection ended it")
	}
}

// When all servers are ejected, only one is used, so that the others recover.
func TestOneServerIsUsedWhenAllAreEjected(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(3)...)
	r.b.now = r.now
	for _, s := range r.b.servers {
		r.b.eject(s)
		r.now += ms
		r.b.now = r.now
	}
	used := map[uint64]bool{}
	for id := range uint64(5) {
		used[r.serve(id, func(uint64) time.Duration { return 10 * ms })] = true
	}
	if len(used) != 1 {
		t.Errorf("%d servers used while all are ejected, want 1", len(used))
	}
}

// Where a part of the attempts fails at all servers, three consecutive failures occur by chance every few
// seconds. Ejecting servers for such runs leaves too few for the load. A server that fails all attempts must
// be ejected all the same.
func TestRunsOfFailuresThatChanceExplainsDoNotEject(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(6)...)
	rng := rand.New(rand.NewPCG(1, 1))
	play := func(first uint64, broken *server) {
		for id := first; id < first+20000 && broken.ejectedUntil == 0; id++ {
			r.b.slack.Fraction = 1 // no load shedding
			r.request(id)
			for attempt := 0; ; attempt++ {
				a, sent := r.find(ActSend)
				if !sent {
					break
				}
				o := Done
				if a.Server == broken.ID || rng.Float64() < 0.1 {
					o = Reset
				}
				r.now += ms
				r.outcome(id, attempt, ms, o)
			}
		}
	}
	play(1, &server{})
	for _, s := range r.b.servers {
		if s.ejectedUntil > 0 {
			t.Errorf("server %d was ejected though only one in ten attempts fails", s.ID)
		}
	}
	if s := r.b.servers[2]; s.ejectedUntil == 0 {
		if play(100000, s); s.ejectedUntil == 0 {
			t.Error("a server that fails all attempts was not ejected")
		}
	}
}

// Where a part of the attempts fails at all servers, a longer run of failures is needed for an ejection, but
// a server that is listed as gone and does not respond is ejected at once.
func TestGoneAndUnresponsiveServerIsEjectedAtOnceWhereOthersFailToo(t *testing.T) {
	cfg := settings(Safe)
	cfg.Contract.GoneIsAdvisory = true
	r := newHarness(t, cfg, fleet(3)...)
	r.request(1)
	s := r.b.byID[r.sent()]
	for _, o := range r.b.servers {
		o.failureRate = 0.1
	}
	s.State = Gone
	if r.outcome(1, 0, ms, Reset); s.ejectedUntil == 0 {
		t.Error("a server listed as gone was not ejected at its first failure")
	}
}

func TestRequestsThatFailAnywhereEjectNoServer(t *testing.T) {
	r := newHarness(t, settings(Unsafe), fleet(3)...)
	r.serveAndCount(1, 60)
	for id := uint64(100); id < 400; id++ {
		tenant, o := "good", Done
		if id%5 < 2 {
			tenant, o = "bad", Errored
		}
		r.requestAs(id, "c", tenant, false)
		if r.has(ActSend) {
			r.now += 10 * ms
			r.outcome(id, 0, 10*ms, o)
		}
		for _, a := range r.actions {
			if a.Kind == ActLog {
				t.Fatalf("request %d: unexpected log line %q", id, a.Text)
			}
		}
	}
}

func TestServerThatFailsForAllIsStillEjected(t *testing.T) {
	r := newHarness(t, settings(Unsafe), fleet(3)...)
	r.serveAndCount(1, 60)
	got := 0
	for id := uint64(100); id < 400; id++ {
		r.requestAs(id, "c", []string{"a", "b"}[id%2], false)
		s, o := r.sent(), Done
		if s == 2 {
			got, o = got+1, Errored
		}
		r.now += 10 * ms
		r.outcome(id, 0, 10*ms, o)
	}
	if got > 10 {
		t.Errorf("a server that fails all requests got %d of 300, want at most 10", got)
	}
}
