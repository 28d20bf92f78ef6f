package logic

import (
	"slices"
	"testing"
	"time"
)

func TestFirstRequestsReachEveryServer(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(5)...)
	seen := map[uint64]bool{}
	for id := range uint64(5) {
		r.request(id)
		seen[r.sent()] = true
	}
	if len(seen) != 5 {
		t.Errorf("the first five requests reached %d servers, want 5", len(seen))
	}
}

// Two requests per second keep only a few estimates current. When each sidecar of a large fleet kept a
// connection to every server, four of five attempts got no connection.
func TestQuietSidecarUsesFewServersAndABusyOneAll(t *testing.T) {
	for _, c := range []struct {
		gap         time.Duration
		least, most int
	}{{500 * ms, minSubsetSize, 8}, {10 * ms, 50, 50}} {
		r := newHarness(t, settings(Safe), fleet(50)...)
		r.b.requestRate = 0
		used := map[uint64]bool{}
		for id := range uint64(600) {
			r.now += c.gap - 5*ms
			used[r.serve(id, func(uint64) time.Duration { return 5 * ms })] = true
		}
		if len(used) < c.least || len(used) > c.most {
			t.Errorf("one request every %v: %d servers used", c.gap, len(used))
		}
	}
}

// Without an order of its own, each sidecar would send its first requests to the first server of the list.
func TestSidecarsHaveOrdersOfTheirOwn(t *testing.T) {
	first := map[uint64]int{}
	for seed := range uint64(400) {
		b, _ := New(settings(Safe), seed)
		b.Step(0, &Event{Kind: EvServerList, Servers: fleet(20), Complete: true, Stored: true}, nil)
		first[b.servers[0].ID]++
	}
	for id, n := range first {
		if n > 50 {
			t.Errorf("server %d comes first in %d of 400 sidecars", id, n)
		}
	}
}

func TestSubsetWidensWhenItsServersFail(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(12)...)
	r.b.requestRate, r.b.now = 0, r.now
	for _, s := range r.b.servers[:minSubsetSize] {
		r.b.eject(s)
	}
	for id := range uint64(10) {
		s := r.serve(id, func(uint64) time.Duration { return 5 * ms })
		if slices.ContainsFunc(r.b.servers[:minSubsetSize], func(o *server) bool { return o.ID == s }) {
			t.Fatalf("ejected server %d was used", s)
		}
		r.now += 50 * ms
	}
}

// A limit of four does not hold back requests that arrive one at a time. A zone stayed overloaded this way
// while another one was idle.
func TestSlowServerIsDroppedWhileOthersRemain(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(3)...)
	slow := 0
	for id := range uint64(400) {
		r.b.slack.Fraction = 1 // nothing is shed
		s := r.serve(id, func(s uint64) time.Duration {
			if s == 1 {
				return 300 * ms
			}
			return 20 * ms
		})
		if s == 1 && id >= 100 {
			slow++
		}
	}
	if slow == 0 || slow > 30 {
		t.Errorf("the slow server got %d of 300 requests, want 1 to 30", slow)
	}
	// With all servers equally slow, there is no better one, so all requests are still sent.
	for id := uint64(1000); id < 1040; id++ {
		r.b.slack.Fraction = 1
		r.serve(id, func(uint64) time.Duration { return 300 * ms })
	}
}

// A burst of heavy requests does not use the last attempt of each server's limit while there are light
// requests.
func TestHeavyRequestsLeaveAPlaceToLightOnes(t *testing.T) {
	cfg := settings(Safe)
	light := cfg.Classes[0]
	light.Name = "light"
	cfg.Classes = append(cfg.Classes, light)
	for name, c := range map[string]struct {
		lightOnes int
		want      int // heavy requests sent to two servers with limits of two, or three after a quick answer
	}{"beside light ones": {1, 3}, "alone": {0, 4}} {
		r := newHarness(t, cfg, fleet(2)...)
		id := uint64(0)
		ask := func(class string, work time.Duration) bool {
			id++
			r.step(Event{Kind: EvRequest, Request: id, Class: class, ExpectedWork: work, Expires: r.now + 800*ms})
			_, sent := r.find(ActSend)
			return sent
		}
		for range c.lightOnes {
			ask("light", ms)
			r.outcome(id, 0, ms, Done)
		}
		heavy := 0
		for range 8 {
			if ask("c", 200*ms) {
				heavy++
			}
		}
		if heavy != c.want {
			t.Errorf("heavy requests %s: %d were sent, want %d", name, heavy, c.want)
		}
		if c.lightOnes > 0 && !ask("light", ms) {
			t.Errorf("heavy requests %s: a light request was not sent", name)
		}
	}
}

func TestUnresponsiveServerIsDropped(t *testing.T) {
	r := newHarness(t, settings(Unsafe), fleet(3)...)
	answer := func(uint64) time.Duration { return 20 * ms }
	for id := range uint64(30) {
		r.serve(id, answer)
	}
	sends := 0
	for id := uint64(100); id < 200; id++ {
		r.request(id)
		if r.sent() == 1 { // this server accepts requests and answers none
			sends++
			r.now += 20 * ms
			continue
		}
		r.now += 20 * ms
		r.outcome(id, 0, 20*ms, Done)
	}
	if sends > 8 {
		t.Errorf("an unresponsive server got %d of 100 requests, want at most 8", sends)
	}
}
