package logic

import (
	"testing"
	"time"

	"fieldrelay/internal/common/selection"
)

func TestOneLateAnswerAfterAGapLowersEstimatesLittle(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	for id := range uint64(50) {
		r.serve(id, func(uint64) time.Duration { return 20 * ms })
	}
	was := r.b.slack.Fraction
	r.now += time.Minute
	r.serve(100, func(uint64) time.Duration { return 500 * ms })
	if r.b.slack.Fraction < was-selection.MaxSlackAlpha-0.01 {
		t.Errorf("slack fell from %.2f to %.2f after one late answer", was, r.b.slack.Fraction)
	}
	if s := r.b.servers[0]; s.Speed() < 1/0.05 {
		t.Errorf("speed fell to %.1f after one late answer, want at least 20", s.Speed())
	}
}

// Variation of the requests' work alone must not keep a limit low.
func TestRareSlowAnswersLeaveTheLimit(t *testing.T) {
	r := newHarness(t, settings(Safe), fleet(1)...)
	s := r.b.servers[0]
	for id := range uint64(400) {
		base := id * 10
		for k := range uint64(8) { // keep eight in flight, so that the limit is in use
			r.request(base + k)
		}
		r.now += 20 * ms
		for len(s.inFlight) > 0 {
			a := s.inFlight[0]
			latency := 20 * ms
			if r.b.rng.IntN(10) == 0 {
				latency = 180 * ms
			}
			r.outcome(a.request.id, a.number, latency, Done)
		}
	}
	if s.limit < 8 {
		t.Errorf("limit %.1f though nine of ten answers are quick, want at least 8", s.limit)
	}
}

// A server that fails quickly looks idle and fast, but must not attract requests.
func TestServerThatFailsQuicklyIsDropped(t *testing.T) {
	r := newHarness(t, settings(Unsafe), fleet(3)...)
	failed := 0
	for id := range uint64(200) {
		r.request(id)
		s := r.sent()
		r.now += 10 * ms
		if s == 2 {
			failed++
			r.outcome(id, 0, ms, Errored)
		} else {
			r.outcome(id, 0, 10*ms, Done)
		}
	}
	if failed > 10 {
		t.Errorf("%d of 200 requests were sent to a server that fails all, want at most 10", failed)
	}
}

func TestStreamedAnswerIsLearnedAtItsStart(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].Stream = true
	r := newHarness(t, cfg, fleet(1)...)
	r.request(1)
	r.now += 30 * ms
	r.step(Event{Kind: EvStarted, Request: 1, Latency: 30 * ms})
	if s := r.b.servers[0]; !s.Seeded() {
		t.Error("the start of a streamed answer gave no sample")
	}
	r.now += time.Minute
	r.step(Event{Kind: EvWake, Timer: Timer{Kind: TimerExpire, ID: 1}})
	if len(r.actions) != 0 {
		t.Errorf("actions at the expiry of a request whose streamed answer has started: %+v", r.actions)
	}
}
