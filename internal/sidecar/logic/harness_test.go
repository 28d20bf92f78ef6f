package logic

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one balancer with events and keeps its latest actions.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     time.Duration
	actions []Action // of the latest event
}

// settings returns a configuration with one class, "c", of the given effect.
func settings(effect Effect) Config {
	return Config{
		Zone: "z1", Balancers: 3, Tick: 5 * ms,
		Classes: []Class{{Name: "c", Effect: effect, Group: GroupCell, Window: 500 * ms, LatencyTarget: 400 * ms,
			Deadline: 1000 * ms}},
		Contract: Contract{ListInterval: 10 * time.Second, SlowStartMinCapacity: 0.2, SlowStartWindow: 10 * time.Second},
		Limits:   Limits{MaxAttempts: 4, Cancel: true, ParallelAttempts: true},
	}
}

// advisoryGone returns settings under which requests may still be sent to a server that is listed as gone.
func advisoryGone() Config {
	cfg := settings(Safe)
	cfg.Contract.GoneIsAdvisory = true
	return cfg
}

func newHarness(t *testing.T, cfg Config, servers ...Server) *harness {
	t.Helper()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, b: b, now: time.Minute}
	b.requestRate, b.rateUpdated = 1e3, r.now // a high rate, so that the subset has all servers
	r.step(Event{Kind: EvServerList, Servers: servers, Complete: true, Stored: true})
	return r
}

func fleet(n int) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{ID: uint64(i + 1), Zone: "z1"})
	}
	return list
}

func (r *harness) step(ev Event) []Action {
	r.actions = r.b.Step(r.now, &ev, nil)
	return r.actions
}

func (r *harness) request(id uint64) []Action {
	return r.step(Event{Kind: EvRequest, Request: id, Class: "c", Expires: r.now + 800*ms})
}

// requestAs passes a request of a class and a tenant to the balancer.
func (r *harness) requestAs(id uint64, class, tenant string, retry bool) {
	r.step(Event{Kind: EvRequest, Request: id, Class: class, Tenant: tenant, Retry: retry,
		Expires: r.now + 900*ms})
}

func (r *harness) outcome(id uint64, attempt int, latency time.Duration, o Outcome) []Action {
	return r.step(Event{Kind: EvOutcome, Request: id, Attempt: attempt, Latency: latency, Outcome: o,
		Final: o == Done})
}

// list applies a server list, or a change to it unless complete is set.
func (r *harness) list(complete bool, servers ...Server) {
	r.step(Event{Kind: EvServerList, Servers: servers, Complete: complete})
}

// find returns the first action of a kind.
func (r *harness) find(kind ActionKind) (Action, bool) {
	i := slices.IndexFunc(r.actions, func(a Action) bool { return a.Kind == kind })
	if i < 0 {
		return Action{}, false
	}
	return r.actions[i], true
}

func (r *harness) has(kind ActionKind) bool {
	_, ok := r.find(kind)
	return ok
}

// sent returns the server of the latest event's ActSend.
func (r *harness) sent() uint64 {
	r.t.Helper()
	a, ok := r.find(ActSend)
	if !ok {
		r.t.Fatalf("no attempt was sent, actions %+v", r.actions)
	}
	return a.Server
}

// serve passes one request to the balancer, answers it after latency and returns its server.
func (r *harness) serve(id uint64, latency func(server uint64) time.Duration) uint64 {
	r.t.Helper()
	r.request(id)
	s := r.sent()
	l := latency(s)
	r.now += l
	r.outcome(id, 0, l, Done)
	return s
}

// serveAndCount serves n requests with ids from id on, with a latency of 20 ms each, and counts them by
// server.
func (r *harness) serveAndCount(id, n uint64) map[uint64]int {
	got := map[uint64]int{}
	for i := range n {
		got[r.serve(id+i, func(uint64) time.Duration { return 20 * ms })]++
	}
	return got
}

// deliverWakeUp advances the time to a wake-up that the latest event requested, and delivers the wake-up.
func (r *harness) deliverWakeUp(kind TimerKind) {
	r.t.Helper()
	for _, a := range r.actions {
		if a.Kind == ActWake && a.Timer.Kind == kind {
			r.now = a.At
			r.step(Event{Kind: EvWake, Timer: a.Timer})
			return
		}
	}
	r.t.Fatalf("no wake-up of kind %d was requested, actions %+v", kind, r.actions)
}
