package logic

import (
	"strings"
	"testing"
	"time"
)

func TestNewRejectsUnusableSettings(t *testing.T) {
	bad := settings(Safe)
	bad.Contract.SlowStartMinCapacity = 2
	neg := settings(Safe)
	neg.Classes[0].LatencyTarget = -1
	for _, cfg := range []Config{{}, bad, neg} {
		if _, err := New(cfg, 1); err == nil || !strings.HasPrefix(err.Error(), "logic: ") {
			t.Errorf("New(%+v): error %v, want a settings error", cfg, err)
		}
	}
}

// After SetClasses, requests of added classes are served, those of removed classes fail, and an unchanged
// class keeps its measurements.
func TestSetClassesKeepsWhatWasMeasuredOfAnUnchangedClass(t *testing.T) {
	a := Class{Name: "a", Deadline: time.Second}
	b, err := New(Config{Tick: 5 * time.Millisecond, Classes: []Class{a}, Limits: Limits{MaxAttempts: 3}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	fails := func(id uint64, class string) bool {
		acts := b.Step(time.Second, &Event{Kind: EvRequest, Request: id, Class: class, Expires: 2 * time.Second}, nil)
		for _, act := range acts {
			if act.Kind == ActFail && act.Request == id {
				return true
			}
		}
		return false
	}
	if !fails(1, "b") {
		t.Error("a request of an unknown class was served")
	}
	measured := b.classes["a"]
	bClass := Class{Name: "b", Deadline: 2 * time.Second}
	if err := b.SetClasses([]Class{a, bClass}, 2); err != nil {
		t.Fatal(err)
	}
	if fails(2, "b") {
		t.Error("a request of an added class failed")
	}
	if b.classes["a"] != measured || b.cfg.Limits.MaxAttempts != 2 {
		t.Error("an unchanged class lost its measurements, or MaxAttempts did not change")
	}
	if err := b.SetClasses([]Class{bClass}, 0); err != nil || b.cfg.Limits.MaxAttempts != 1 {
		t.Fatal(err, b.cfg.Limits.MaxAttempts)
	}
	if !fails(3, "a") {
		t.Error("a request of a removed class was served")
	}
	if b.SetClasses([]Class{{Name: "c", Deadline: -1}}, 1) == nil || b.classes["b"] == nil {
		t.Error("SetClasses accepted a class with a negative deadline")
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	r.serve(1, func(uint64) time.Duration { return ms })
	for _, ev := range []Event{
		{Kind: EvOutcome, Request: 1}, {Kind: EvOutcome, Request: 9}, {Kind: EvClientGone, Request: 1},
		{Kind: EvWake, Timer: Timer{Kind: TimerExpire, ID: 1}}, {Kind: EvStarted, Request: 1},
	} {
		if acts := r.step(ev); len(acts) > 0 {
			t.Errorf("event %+v of an unknown or ended request led to actions %+v", ev, acts)
		}
	}
}

// With absent settings, and with no server, one, thousands or only draining ones, every request gets a final
// answer in time, and nothing panics.
func TestOddSizesAndAbsentSettings(t *testing.T) {
	draining := fleet(3)
	for i := range draining {
		draining[i].State = Draining
	}
	for name, servers := range map[string][]Server{
		"none": nil, "one": fleet(1), "thousands": fleet(3000), "all draining": draining,
	} {
		bare := Config{Classes: []Class{{Name: "c", Effect: Keyed, Group: GroupZone}}} // the rest is absent
		for _, cfg := range []Config{settings(Unsafe), bare} {
			r := newHarness(t, cfg, servers...)
			r.b.requestRate = 0
			var wakes []Action
			for id := range uint64(40) {
				wakes = append(wakes, r.request(id)...)
				r.now += 7 * ms
			}
			r.now += time.Second
			answered := map[uint64]bool{}
			for _, w := range wakes {
				if w.Kind == ActReject {
					answered[w.Request] = true
				}
				if w.Kind == ActWake {
					for _, a := range r.step(Event{Kind: EvWake, Timer: w.Timer}) {
						if a.Kind == ActReject || a.Kind == ActFail {
							answered[a.Request] = true
						}
					}
				}
			}
			if len(answered) < 40 {
				t.Errorf("servers %s: %d of 40 requests have a final answer", name, len(answered))
			}
		}
	}
}

func TestWakesBeforeEveryExpiry(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	for _, a := range r.request(1) {
		if a.Kind == ActWake && a.Timer == (Timer{Kind: TimerExpire, ID: 1}) && a.At < r.now+800*ms {
			return
		}
	}
	t.Error("no wake-up was requested before the request expires")
}

func TestEveryRequestHasItsFinalAnswerBeforeItExpires(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		r := newHarness(t, settings(effect), fleet(1)...)
		r.request(1)
		r.now += 795 * ms
		r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerExpire, ID: 1}})
		_, rejected := r.find(ActReject)
		_, failed := r.find(ActFail)
		if rejected == failed {
			t.Errorf("effect %d: rejected %t, failed %t, want exactly one", effect, rejected, failed)
		}
	}
}
