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

// attemptRecord is the test's own record of an ActSend.
type attemptRecord struct {
	server     uint64
	sent       time.Duration
	inFlight   bool
	mayHaveRun bool
	timeout    time.Duration // time at which it times out
}

type requestRecord struct {
	class    Class
	expires  time.Duration
	attempts []attemptRecord
	closed   bool
}

type checker struct {
	t              *testing.T
	cfg            Config
	rng            *rand.Rand
	b              *Balancer
	now            time.Duration
	list           map[uint64]*Server
	excluded       map[uint64]bool // listed as draining or gone
	requests       map[uint64]*requestRecord
	order          []uint64
	wakes          []Action
	sends          int
	slowStartParts map[uint64]float64 // sends that each server may have got during slow start
	slowStartSends map[uint64]int
	history        []Action
	nextID         uint64
	onAction       func(now time.Duration, a Action) // called with each action, if not nil
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
		if c.onAction != nil {
			c.onAction(c.now, a)
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
		if r.closed {
			c.t.Fatalf("request %d got two final answers", a.Request)
		}
		r.closed = true
		if c.now > r.expires+c.cfg.Contract.AnswerGrace {
			c.t.Fatalf("request %d got its final answer %v after its expiry", a.Request, c.now-r.expires)
		}
		keyedAll := r.class.Effect == Keyed && r.class.Group == GroupAll
		if a.Kind == ActReject && r.class.Effect != Safe && !keyedAll && r.mayHaveRun() {
			c.t.Fatalf("request %d rejected though it may have run", a.Request)
		}
	}
}

func (r *requestRecord) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attemptRecord) bool { return a.inFlight || a.mayHaveRun })
}

func (c *checker) checkSend(r *requestRecord, a Action) {
	s := c.list[a.Server]
	if s == nil || c.excluded[a.Server] {
		c.t.Fatalf("attempt sent to server %d, which is unknown, draining or gone", a.Server)
	}
	if r.closed || len(r.attempts) >= c.cfg.Limits.MaxAttempts {
		c.t.Fatalf("attempt of request %d after its final answer or beyond MaxAttempts", a.Request)
	}
	for _, o := range r.attempts {
		if !o.inFlight && !o.mayHaveRun {
			continue
		}
		from := c.list[o.server]
		same := r.class.Group == GroupAll || (r.class.Group == GroupZone && from.Zone == s.Zone) ||
			(r.class.Group == GroupCell && from.Cell == s.Cell)
		if r.class.Effect == Unsafe || (o.inFlight && !c.cfg.Limits.ParallelAttempts) ||
			(r.class.Effect == Keyed && (!same || c.now-o.sent > r.class.Window)) {
			c.t.Fatalf("effect %d: request %d was sent again where a repeat is not allowed",
				r.class.Effect, a.Request)
		}
	}
	r.attempts = append(r.attempts, attemptRecord{server: a.Server, sent: c.now, inFlight: true, timeout: c.now + a.After})
	c.sends++
	if c.b.capacityFraction(c.b.byID[a.Server]) < 1 {
		c.slowStartSends[a.Server]++
	}
	if got := float64(c.slowStartSends[a.Server]); got > c.slowStartParts[a.Server]+3 {
		c.t.Fatalf("server %d got %v sends during slow start, its part is %.1f",
			a.Server, got, c.slowStartParts[a.Server])
	}
}

// addSlowStartParts adds to each server in slow start its present part of one request. The subset is assumed
// to have at least half of its full capacity.
func (c *checker) addSlowStartParts() {
	for id, s := range c.list {
		if f := c.b.capacityFraction(&server{Server: *s}); f < 1 && !c.excluded[id] {
			c.slowStartParts[id] += 2 * f / float64(min(c.ready(), c.b.subsetSize()))
		}
	}
}

func (c *checker) ready() int {
	n := 0
	for id := range c.list {
		if !c.excluded[id] {
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
	c.updateExcluded(id, entry.State, later)
	if entry.Since == c.now {
		c.slowStartParts[id], c.slowStartSends[id] = 0, 0
	}
	c.list[id] = &entry
	c.step(Event{Kind: EvServerList, Servers: []Server{entry}})
}

// updateExcluded tracks, independently of the balancer, which servers must get no requests. If gone is
// advisory, only a drain excludes a server, until it restarts.
func (c *checker) updateExcluded(id uint64, state State, later bool) {
	advisory := c.cfg.Contract.GoneIsAdvisory
	switch {
	case state == Draining || (state == Gone && !advisory):
		c.excluded[id] = true
	case state == Ready && (later || !advisory):
		delete(c.excluded, id)
	}
}

// sendCompleteList sends a complete list that may be wrong: it omits some servers and lists draining ones as
// ready.
func (c *checker) sendCompleteList() {
	var list []Server
	for id := uint64(1); id <= 9; id++ {
		s := c.list[id]
		if s == nil {
			continue
		}
		if c.rng.IntN(4) == 0 {
			c.updateExcluded(id, Gone, false)
			c.slowStartParts[id], c.slowStartSends[id] = 0, 0
			continue
		}
		entry := *s
		entry.State = Ready
		c.updateExcluded(id, Ready, false)
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
	clear(c.slowStartParts)
	clear(c.slowStartSends)
	var list []Server
	for id := uint64(1); id <= 9; id++ {
		if s := c.list[id]; s != nil {
			entry := *s
			entry.State = Ready
			if c.excluded[id] {
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
	c.requests[c.nextID] = &requestRecord{class: cl, expires: ev.Expires}
	c.order = append(c.order, c.nextID)
	c.addSlowStartParts()
	c.step(ev)
}

// outcomes ends a random part of the attempts in flight, and all that have timed out.
func (c *checker) outcomes() {
	for _, id := range c.order {
		r := c.requests[id]
		for n := range r.attempts {
			a := &r.attempts[n]
			due := c.now >= a.timeout
			if !a.inFlight || (!due && c.rng.IntN(12) > 0) {
				continue
			}
			o := Outcome(c.rng.IntN(8))
			if due {
				o = TimedOut
			} else if c.rng.IntN(2) == 0 {
				o = Done
			}
			a.inFlight, a.mayHaveRun = false, (o != Busy || c.cfg.Contract.BusyMayHaveRun) && o != Refused && o != Skipped
			final := r.closed || o == Done
			if o == Done {
				r.closed = true
			}
			c.step(Event{Kind: EvOutcome, Request: id, Attempt: n, Outcome: o, Latency: c.now - a.sent, Final: final})
		}
	}
	c.order = slices.DeleteFunc(c.order, func(id uint64) bool { return c.requests[id].closed && !c.requests[id].mayHaveRun() })
}

func (c *checker) wake() {
	slices.SortStableFunc(c.wakes, func(x, y Action) int { return int(x.At - y.At) })
	for len(c.wakes) > 0 && c.wakes[0].At <= c.now {
		w := c.wakes[0]
		c.wakes = c.wakes[1:]
		c.step(Event{Kind: EvWake, Timer: w.Timer})
	}
}

func runRandom(t *testing.T, seed uint64) []Action { return runRandomObserved(t, seed, nil) }

func runRandomObserved(t *testing.T, seed uint64, watch func(time.Duration, Action)) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := randomConfig(rng)
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{t: t, cfg: cfg, rng: rng, b: b, now: time.Minute, list: map[uint64]*Server{},
		excluded: map[uint64]bool{}, requests: map[uint64]*requestRecord{}, slowStartParts: map[uint64]float64{},
		slowStartSends: map[uint64]int{}, onAction: watch}
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
				c.requests[id].closed = true
				c.step(Event{Kind: EvClientGone, Request: id})
			}
		case 3:
			if rng.IntN(10) == 0 {
				c.sendCompleteList()
			}
		default:
			if !quiet || rng.IntN(10) == 0 {
				c.newRequest()
			}
		}
		for _, id := range c.order {
			if r := c.requests[id]; !r.closed && c.now > r.expires+3*cfg.Tick+cfg.Contract.AnswerGrace {
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
