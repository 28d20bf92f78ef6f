package logic

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// The randomized test feeds valid sequences of events to a balancer and checks every action against the
// rules. Outcomes are random: there is no model of a fleet.

// seenAttempt is the test's own record of an ActSend.
type seenAttempt struct {
	server  uint64
	sent    time.Duration
	out     bool
	mayRun  bool
	timeout time.Duration // time at which it times out
}

type seenRequest struct {
	class    Class
	expires  time.Duration
	attempts []seenAttempt
	over     bool
}

type checker struct {
	t        *testing.T
	cfg      Config
	rng      *rand.Rand
	b        *Balancer
	now      time.Duration
	list     map[uint64]*Server
	banned   map[uint64]bool // listed as draining or gone
	requests map[uint64]*seenRequest
	order    []uint64
	wakes    []Action
	sends    int
	cold     map[uint64]float64 // sends that each server may have got during slow start
	coldGot  map[uint64]int
	history  []Action
	nextID   uint64
	watch    func(now time.Duration, a Action) // called with each action, if not nil
}

func randomConfig(rng *rand.Rand) Config {
	cfg := Config{
		Zone: "z0", Balancers: 1 + rng.IntN(9), Tick: time.Duration(1+rng.IntN(5)) * ms,
		Subscribe: rng.IntN(2) == 0, KeyAffinity: rng.IntN(2) == 0,
		Contract: Contract{ListInterval: 10 * time.Second, SlowStartMinCapacity: 0.1 + 0.4*rng.Float64(),
			SlowStartWindow: 20 * time.Second,
			AnswerGrace:     20 * ms, BusyMayHaveRun: rng.IntN(2) == 0, GoneIsAdvisory: rng.IntN(2) == 0},
		Limits: Limits{MaxAttempts: 1 + rng.IntN(6), Cancel: rng.IntN(2) == 0, ParallelAttempts: rng.IntN(3) > 0,
			RetryAfter: rng.IntN(2) == 0, MaxRetryAfter: time.Second},
	}
	for i := range 1 + rng.IntN(3) {
		late := 0.0
		if rng.IntN(2) == 0 {
			late = 0.5
		}
		cfg.Classes = append(cfg.Classes, Class{Name: string(rune('a' + i)), Effect: Effect(rng.IntN(3)),
			Group: Group(rng.IntN(3)), Window: time.Duration(100+rng.IntN(1000)) * ms,
			LatencyTarget: time.Duration(rng.IntN(4)) * 150 * ms, Deadline: 1500 * ms, LateValue: late,
			Stream: rng.IntN(4) == 0})
	}
	return cfg
}

func (c *checker) step(ev Event) {
	acts := c.b.Step(c.now, &ev, nil)
	c.history = append(c.history, acts...)
	for _, a := range acts {
		if c.watch != nil {
			c.watch(c.now, a)
		}
		c.check(a)
	}
}

func (c *checker) check(a Action) {
	switch a.Kind {
	case ActWake:
		if a.At < c.now {
			c.t.Fatalf("a wake-up was requested for the past")
		}
		c.wakes = append(c.wakes, a)
		return
	case ActWatch, ActLog, ActCloseIdle:
		return
	}
	r := c.requests[a.Request]
	if r == nil {
		c.t.Fatalf("action %+v for an unknown request", a)
	}
	switch a.Kind {
	case ActSend:
		c.checkSend(r, a)
	case ActCancel:
		if !c.cfg.Limits.Cancel || a.Attempt >= len(r.attempts) {
			c.t.Fatalf("cancellation of an unknown attempt, or against the settings: %+v", a)
		}
	case ActReject, ActFail:
		if r.over {
			c.t.Fatalf("request %d got two final answers", a.Request)
		}
		r.over = true
		if c.now > r.expires+c.cfg.Contract.AnswerGrace {
			c.t.Fatalf("request %d got its final answer %v after its expiry", a.Request, c.now-r.expires)
		}
		keyedAll := r.class.Effect == Keyed && r.class.Group == GroupAll
		if a.Kind == ActReject && r.class.Effect != Safe && !keyedAll && r.ran() {
			c.t.Fatalf("request %d rejected though it may have run", a.Request)
		}
	}
}

func (r *seenRequest) ran() bool {
	return slices.ContainsFunc(r.attempts, func(a seenAttempt) bool { return a.out || a.mayRun })
}

func (c *checker) checkSend(r *seenRequest, a Action) {
	s := c.list[a.Server]
	if s == nil || c.banned[a.Server] {
		c.t.Fatalf("attempt sent to server %d, which is unknown, draining or gone", a.Server)
	}
	if r.over || len(r.attempts) >= c.cfg.Limits.MaxAttempts {
		c.t.Fatalf("attempt of request %d after its final answer or beyond MaxAttempts", a.Request)
	}
	for _, o := range r.attempts {
		if !o.out && !o.mayRun {
			continue
		}
		from := c.list[o.server]
		same := r.class.Group == GroupAll || (r.class.Group == GroupZone && from.Zone == s.Zone) ||
			(r.class.Group == GroupCell && from.Cell == s.Cell)
		if r.class.Effect == Unsafe || (o.out && !c.cfg.Limits.ParallelAttempts) ||
			(r.class.Effect == Keyed && (!same || c.now-o.sent > r.class.Window)) {
			c.t.Fatalf("effect %d: request %d was sent again where a repeat is not allowed",
				r.class.Effect, a.Request)
		}
	}
	r.attempts = append(r.attempts, seenAttempt{server: a.Server, sent: c.now, out: true, timeout: c.now + a.After})
	c.sends++
	if c.b.capacityFraction(c.b.byID[a.Server]) < 1 {
		c.coldGot[a.Server]++
	}
	if got := float64(c.coldGot[a.Server]); got > c.cold[a.Server]+3 {
		c.t.Fatalf("server %d got %v sends during slow start, its part is %.1f",
			a.Server, got, c.cold[a.Server])
	}
}

// earn adds to each server in slow start its present part of one request. The subset is assumed to have at
// least half of its full capacity.
func (c *checker) earn() {
	for id, s := range c.list {
		if f := c.b.capacityFraction(&server{Server: *s}); f < 1 && !c.banned[id] {
			c.cold[id] += 2 * f / float64(min(c.ready(), c.b.subsetSize()))
		}
	}
}

func (c *checker) ready() int {
	n := 0
	for id := range c.list {
		if !c.banned[id] {
			n++
		}
	}
	return max(n, 1)
}

func (c *checker) changeList() {
	id := uint64(1 + c.rng.IntN(9))
	s := c.list[id]
	entry := Server{ID: id, Zone: "z" + string(rune('0'+id%2)), Cell: int(id % 3)}
	if s != nil {
		entry.Since = s.Since
	}
	switch c.rng.IntN(5) {
	case 0:
		entry.State = Draining
	case 1:
		entry.State = Gone
	case 2:
		entry.Since = c.now
	case 3: // a start that was listed only after the end of the slow start
		entry.Since = max(entry.Since+1, c.now-c.cfg.Contract.SlowStartWindow)
	}
	if s == nil && entry.State != Ready {
		return
	}
	later := s == nil || entry.Since > s.Since
	c.ban(id, entry.State, later)
	if entry.Since == c.now {
		c.cold[id], c.coldGot[id] = 0, 0
	}
	c.list[id] = &entry
	c.step(Event{Kind: EvServerList, Servers: []Server{entry}})
}

// ban tracks, independently of the balancer, which servers must get no requests. If gone is advisory, only a
// drain excludes a server, until it restarts.
func (c *checker) ban(id uint64, state State, later bool) {
	advice := c.cfg.Contract.GoneIsAdvisory
	switch {
	case state == Draining || (state == Gone && !advice):
		c.banned[id] = true
	case state == Ready && (later || !advice):
		delete(c.banned, id)
	}
}

// wholeList sends a complete list that may be wrong: it omits some servers and lists draining ones as ready.
func (c *checker) wholeList() {
	var list []Server
	for id := uint64(1); id <= 9; id++ {
		s := c.list[id]
		if s == nil {
			continue
		}
		if c.rng.IntN(4) == 0 {
			c.ban(id, Gone, false)
			c.cold[id], c.coldGot[id] = 0, 0
			continue
		}
		entry := *s
		entry.State = Ready
		c.ban(id, Ready, false)
		list = append(list, entry)
	}
	c.step(Event{Kind: EvServerList, Servers: list, Complete: true})
}

// restart replaces the balancer by a new one that has only the stored list. Requests in flight are dropped.
func (c *checker) restart() {
	b, err := New(c.cfg, c.rng.Uint64())
	if err != nil {
		c.t.Fatal(err)
	}
	c.b, c.order, c.wakes = b, nil, nil
	clear(c.requests)
	clear(c.cold)
	clear(c.coldGot)
	var list []Server
	for id := uint64(1); id <= 9; id++ {
		if s := c.list[id]; s != nil {
			entry := *s
			entry.State = Ready
			if c.banned[id] {
				entry.State = Draining
			}
			list = append(list, entry)
		}
	}
	c.step(Event{Kind: EvServerList, Servers: list, Complete: true, Stored: true})
}

func (c *checker) newRequest() {
	c.nextID++
	cl := c.cfg.Classes[c.rng.IntN(len(c.cfg.Classes))]
	ev := Event{Kind: EvRequest, Request: c.nextID, Class: cl.Name, HasKey: true, Key: uint64(c.rng.IntN(20)),
		Expires: c.now + time.Duration(50+c.rng.IntN(1200))*ms}
	c.requests[c.nextID] = &seenRequest{class: cl, expires: ev.Expires}
	c.order = append(c.order, c.nextID)
	c.earn()
	c.step(ev)
}

// outcomes ends a random part of the attempts in flight, and all that have timed out.
func (c *checker) outcomes() {
	for _, id := range c.order {
		r := c.requests[id]
		for n := range r.attempts {
			a := &r.attempts[n]
			due := c.now >= a.timeout
			if !a.out || (!due && c.rng.IntN(12) > 0) {
				continue
			}
			o := Outcome(c.rng.IntN(8))
			if due {
				o = TimedOut
			} else if c.rng.IntN(2) == 0 {
				o = Done
			}
			a.out, a.mayRun = false, (o != Busy || c.cfg.Contract.BusyMayHaveRun) && o != Refused && o != Skipped
			final := r.over || o == Done
			if o == Done {
				r.over = true
			}
			c.step(Event{Kind: EvOutcome, Request: id, Attempt: n, Outcome: o, Latency: c.now - a.sent, Final: final})
		}
	}
	c.order = slices.DeleteFunc(c.order, func(id uint64) bool { return c.requests[id].over && !c.requests[id].ran() })
}

func (c *checker) wake() {
	slices.SortStableFunc(c.wakes, func(x, y Action) int { return int(x.At - y.At) })
	for len(c.wakes) > 0 && c.wakes[0].At <= c.now {
		w := c.wakes[0]
		c.wakes = c.wakes[1:]
		c.step(Event{Kind: EvWake, Timer: w.Timer})
	}
}

func runRandom(t *testing.T, seed uint64) []Action { return watchRandom(t, seed, nil) }

func watchRandom(t *testing.T, seed uint64, watch func(time.Duration, Action)) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := randomConfig(rng)
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{t: t, cfg: cfg, rng: rng, b: b, now: time.Minute, list: map[uint64]*Server{},
		banned: map[uint64]bool{}, requests: map[uint64]*seenRequest{}, cold: map[uint64]float64{},
		coldGot: map[uint64]int{}, watch: watch}
	var first []Server
	for id := uint64(1); id <= 5; id++ {
		s := Server{ID: id, Zone: "z" + string(rune('0'+id%2)), Cell: int(id % 3)}
		c.list[id] = &s
		first = append(first, s)
	}
	c.step(Event{Kind: EvServerList, Servers: first, Complete: true, Stored: true})
	steps, quiet := 1500, seed%2 == 1 // a sidecar with few requests uses a subset
	if quiet {
		steps = 15000
	}
	for n := range steps {
		if n == steps/2 {
			c.restart()
		}
		c.now += cfg.Tick * time.Duration(1+rng.IntN(3))
		c.wake()
		c.outcomes()
		switch rng.IntN(30) {
		case 0:
			c.changeList()
		case 1:
			c.step(Event{Kind: EvListLost})
		case 2:
			if len(c.order) > 0 {
				id := c.order[rng.IntN(len(c.order))]
				c.requests[id].over = true
				c.step(Event{Kind: EvClientGone, Request: id})
			}
		case 3:
			if rng.IntN(10) == 0 {
				c.wholeList()
			}
		default:
			if !quiet || rng.IntN(10) == 0 {
				c.newRequest()
			}
		}
		for _, id := range c.order {
			if r := c.requests[id]; !r.over && c.now > r.expires+3*cfg.Tick+cfg.Contract.AnswerGrace {
				t.Fatalf("seed %d: request %d has no final answer in time", seed, id)
			}
		}
	}
	if c.sends < 100 {
		t.Errorf("seed %d: %d sends, want at least 100", seed, c.sends)
	}
	return c.history
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		once := runRandom(t, seed)
		if again := runRandom(t, seed); !reflect.DeepEqual(once, again) {
			t.Fatalf("seed %d: two runs of the same events gave different actions", seed)
		}
	}
}
