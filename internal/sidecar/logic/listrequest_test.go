package logic

import (
	"testing"
	"time"
)

func TestListIsRequestedAgainAfterAnError(t *testing.T) {
	cfg := settings(Safe)
	cfg.Subscribe = true
	r := newHarness(t, cfg, fleet(1)...)
	r.deliverWakeUp(TimerList)
	if _, ok := r.find(ActWatch); !ok {
		t.Fatal("the server list was not requested after the start")
	}
	r.step(Event{Kind: EvListLost})
	w, ok := r.find(ActWake)
	if !ok {
		t.Fatal("no wake-up was requested after a lost subscription")
	}
	r.now = w.At
	r.step(Event{Kind: EvWake, Timer: w.Timer})
	if _, ok := r.find(ActWatch); !ok {
		t.Error("the server list was not requested again after a lost subscription")
	}
}

// The list's service may need a millisecond per entry. When eighty sidecars all requested the list within
// 0.4 s, and again at once after an error, none of them was served.
func TestCallsForTheListLeaveItsServiceTime(t *testing.T) {
	const work = 80 * 60 * ms
	cfg := settings(Safe)
	cfg.Subscribe, cfg.Balancers = true, 80
	early := 0
	for seed := range uint64(80) {
		b, _ := New(cfg, seed)
		r := &harness{t: t, b: b, now: time.Minute}
		r.step(Event{Kind: EvServerList, Servers: fleet(60), Complete: true, Stored: true})
		if w, _ := r.find(ActWake); w.At-r.now < work/5 {
			early++
		}
		r.step(Event{Kind: EvListLost})
		if w, _ := r.find(ActWake); w.At-r.now < work/3 || w.At-r.now > cfg.Contract.ListInterval/2 {
			t.Errorf("list requested again after %s, want at least a third of the %s that calls of all sidecars need",
				w.At-r.now, work)
		}
	}
	if early > 50 {
		t.Errorf("%d of 80 first calls are within a fifth of the time that all need, want at most 50", early)
	}
}

// A change that a broken subscription missed counts as received 6 s after the last message, and a drain
// allows another half second. With the usual backoff of up to half of ListInterval, the list was requested
// later than that.
func TestMissedListIsRequestedBeforeItCountsAsReceived(t *testing.T) {
	cfg := settings(Safe)
	cfg.Subscribe, cfg.Balancers = true, 300
	latest := time.Duration(0)
	for seed := range uint64(200) {
		b, _ := New(cfg, seed)
		r := &harness{t: t, b: b, now: time.Minute}
		r.step(Event{Kind: EvServerList, Servers: fleet(60), Complete: true})
		const left = 3500 * ms
		receivedAt := r.now + left
		for call := 1; call <= 2; call++ {
			r.step(Event{Kind: EvListLost, Expires: receivedAt})
			w, _ := r.find(ActWake)
			r.now = w.At
			r.step(Event{Kind: EvWake, Timer: w.Timer})
			if _, ok := r.find(ActWatch); !ok {
				t.Fatal("the server list was not requested again after a lost subscription")
			}
			if call == 1 {
				latest = max(latest, r.now-(receivedAt-left))
			}
			r.now += time.Second // the call gets no answer
		}
		if late := r.now - time.Second - receivedAt; late > 0 {
			t.Errorf("seed %d: the second call is %s after a missed change counts as received", seed, late)
		}
		r.step(Event{Kind: EvListLost, Expires: receivedAt}) // received: the usual backoff applies
		if w, _ := r.find(ActWake); r.now > receivedAt && w.At-r.now < cfg.Contract.ListInterval/32 {
			t.Errorf("seed %d: list requested again after %s, want the usual backoff", seed, w.At-r.now)
		}
	}
	if latest > 1750*ms || latest < time.Second {
		t.Errorf("the latest first call of the sidecars is after %s, want 1s to 1.75s", latest)
	}
}

// A host may round the time of a wake-up down. A sidecar that ignored a wake-up that was slightly early had
// no subscription and went on sending to servers that were gone.
func TestWakeUpAFractionEarlyStillRequestsTheList(t *testing.T) {
	cfg := settings(Safe)
	cfg.Subscribe = true
	r := newHarness(t, cfg, fleet(1)...)
	w, ok := r.find(ActWake)
	if !ok {
		t.Fatal("no wake-up for a request of the list")
	}
	r.now = w.At - time.Nanosecond
	r.step(Event{Kind: EvWake, Timer: w.Timer})
	if _, ok := r.find(ActWatch); !ok {
		t.Error("the list is not requested at a wake-up that is a nanosecond early")
	}
}
