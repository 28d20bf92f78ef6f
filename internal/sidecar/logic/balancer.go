package logic

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/common/selection"
	"fieldrelay/internal/sidecar/allowance"
)

// Balancer makes the decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	seed    uint64
	rng     *rand.Rand
	now     time.Duration // time of the present event
	actions []Action      // actions of the present event so far

	requests     map[uint64]*request
	queue        []*request // admitted requests that no server could take yet, in order of arrival
	inFlight     int        // number of attempts in flight
	requestRate  float64    // this sidecar's requests per second, aged as of rateUpdated
	rateUpdated  time.Duration
	firstRequest time.Duration

	classes    map[string]*class
	classOrder []*class // the classes in the order of the settings
	accounts   *allowance.Accounts

	slack    selection.Slack
	shedding bool // whether load shedding was last logged as active

	servers        []*server // in this sidecar's own order, see addServer
	byID           map[uint64]*server
	listDistrusted bool          // most servers are listed as gone, so the list is taken to be wrong
	listRequestAt  time.Duration // when to request the list (again); 0: no need
	listBackoff    time.Duration

	walk       selection.Walk[*server]
	candidates []*server // buffer of findCandidates
	weights    []float64 // buffer of pickSoftmax

	// Fault rates of what servers or requests have in common: the fleet, a zone, a cell, a tenant.
	overall faultRates
	zones   map[string]*faultRates
	cells   map[int]*faultRates
	tenants map[string]*faultRates
}

// New returns a balancer whose random source is seeded with seed. Unusable settings yield a *SettingsError.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[uint64]*server{}, requests: map[uint64]*request{}, seed: seed,
		slack: selection.NewSlack(selection.DefaultBands),
		zones: map[string]*faultRates{}, cells: map[int]*faultRates{}, tenants: map[string]*faultRates{},
		accounts: allowance.New(cfg.Tenants, cfg.Balancers, cfg.OverShareValue, agingTime),
	}
	return b, b.SetClasses(cfg.Classes, cfg.Limits.MaxAttempts)
}

// check returns a *SettingsError if the settings are unusable. SetClasses checks those of each class.
func (cfg *Config) check() error {
	c := &cfg.Contract
	switch {
	case len(cfg.Classes) == 0:
		return &SettingsError{Reason: "name no class"}
	case min(c.SlowStartMinCapacity, 1-c.SlowStartMinCapacity) < 0,
		min(c.ListInterval, c.SlowStartWindow, cfg.Tick) < 0, cfg.Limits.MaxAttempts < 0:
		return &SettingsError{Reason: "contain a negative time or count, or a fraction outside of 0 to 1"}
	}
	return nil
}

// SetClasses replaces the classes and the bound on attempts for requests from now on; open requests keep
// their class, and an unchanged class keeps its measurements. With an error, a *SettingsError, nothing has
// changed.
func (b *Balancer) SetClasses(classes []Class, maxAttempts int) error {
	order, byName := make([]*class, 0, len(classes)), make(map[string]*class, len(classes))
	for _, c := range classes {
		if c.LatencyTarget < 0 || c.Deadline < 0 || c.Window < 0 {
			return &SettingsError{Class: c.Name, Reason: "has a negative time"}
		}
		k := b.classes[c.Name]
		if k == nil || k.Class != c {
			k = &class{Class: c}
		}
		order, byName[c.Name] = append(order, k), k
	}
	b.classOrder, b.classes = order, byName
	b.cfg.Classes, b.cfg.Limits.MaxAttempts = classes, max(maxAttempts, 1)
	return nil
}

// SetTenants replaces the tenants and the value of requests beyond a quota share, as in Config. A tenant that
// was known before keeps its request rate and its allowance at this sidecar.
func (b *Balancer) SetTenants(tenants []Tenant, overShareValue float64) {
	b.accounts.Set(tenants, overShareValue)
}

// SetTenantAllowance sets this sidecar's part of a tenant's allowance, in requests per second. A negative
// rate restores the initial equal part.
func (b *Balancer) SetTenantAllowance(tenant string, rate float64) {
	b.accounts.SetAllowance(tenant, rate)
}

// Step processes the event ev at the time now, appends the resulting actions to actions and returns them.
// All times, also those of the server list, count from the same arbitrary moment; now must not decrease.
// Step does not retain what ev refers to.
func (b *Balancer) Step(now time.Duration, ev *Event, actions []Action) []Action {
	b.now, b.actions = now, actions
	switch ev.Kind {
	case EvServerList:
		b.onServerList(ev)
	case EvListLost:
		b.onListLost(ev.Expires)
	case EvRequest:
		b.onRequest(ev)
	case EvStarted:
		if a := b.attemptOf(ev); a != nil && !a.request.started {
			a.request.started = true
			b.recordAnswer(a, ev.Latency)
		}
	case EvOutcome:
		b.onOutcome(ev)
	case EvClientGone:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.close(r, false)
		}
	case EvWake:
		b.onWake(ev.Timer)
	}
	actions, b.actions = b.actions, nil
	return actions
}

// onWake handles a wake-up. A timer is never canceled, so its request or server may have ended or changed.
func (b *Balancer) onWake(t Timer) {
	switch s, r := b.byID[t.ID], b.requests[t.ID]; {
	case t.Kind == TimerList:
		if b.listRequestAt > 0 && b.isDue(b.listRequestAt) {
			b.requestList()
		}
	case t.Kind == TimerIdle:
		if s != nil && len(s.inFlight) == 0 && b.isDue(s.closeIdleAt) {
			b.emit(Action{Kind: ActCloseIdle, Server: s.ID})
		}
	case r != nil && !r.closed && !r.started && (r.queued || t.Kind != TimerQueued):
		b.finish(r)
		b.dispatchQueue()
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// wakeAt requests a wake-up at t for the request or server of an id.
func (b *Balancer) wakeAt(t time.Duration, kind TimerKind, id uint64) {
	b.emit(Action{Kind: ActWake, At: max(t, b.now), Timer: Timer{Kind: kind, ID: id}})
}

// isDue reports whether a wake-up for t is due, with a tolerance of one tick, since the host may round t
// down. Without the tolerance a sidecar that was woken early did not subscribe and sent to servers that had
// stopped.
func (b *Balancer) isDue(t time.Duration) bool { return b.now+b.cfg.Tick >= t }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
