package logic

import (
	"testing"
	"time"
)

func TestSoftmaxPrefersTheFasterServer(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(2)...)
	count := map[uint64]int{}
	for id := range uint64(400) {
		count[r.serve(id, func(s uint64) time.Duration { return time.Duration(s) * 50 * ms })]++
	}
	if count[2] == 0 || count[1] < 2*count[2] {
		t.Errorf("requests by server %v, want server 1, twice as fast, to get at least twice as many", count)
	}
}

func TestKeysStayAtTheirAffinityServer(t *testing.T) {
	cfg := settings(Safe)
	cfg.KeyAffinity = true
	r := newHarness(t, cfg, fleet(6)...)
	count := map[uint64]int{}
	for id := range uint64(300) {
		r.step(Event{Kind: EvRequest, Request: id, Class: "c", Key: 77, HasKey: true, Expires: r.now + 800*ms})
		count[r.sent()]++
		r.now += 20 * ms
		r.outcome(id, 0, 20*ms, Done)
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	if most < 150 || most == 300 {
		t.Errorf("requests of one key by server %v, want 150 to 299 at one server", count)
	}
}

// Requests to another zone have a price: they are sent there only while the servers of the own zone are at
// their limits.
func TestCrossZonePriceKeepsRequestsNear(t *testing.T) {
	cfg := settings(Safe)
	cfg.Prices.CrossZone = 0.1
	list := fleet(6)
	for i := range list[3:] {
		list[3+i].Zone = "z2"
	}
	r := newHarness(t, cfg, list...)
	crossed := 0
	for id := range uint64(300) {
		if s := r.serve(id, func(uint64) time.Duration { return 20 * ms }); id >= 10 && s > 3 {
			crossed++
		}
	}
	if crossed > 20 {
		t.Errorf("%d of 290 requests crossed zones though all servers are equally fast, want at most 20",
			crossed)
	}
	for id := uint64(1000); ; id++ {
		if r.request(id); r.sent() > 3 {
			return
		} else if id > 1100 {
			t.Fatal("no request crossed zones though the servers of the own zone are at their limits")
		}
	}
}
