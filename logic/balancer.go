package logic

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/door"
	"fieldrelay/logic/selection"
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg            Config
	classes        map[string]*class
	classOrder     []*class // the same, in the settings' order
	rng            *rand.Rand
	seed           uint64
	servers        []*server // in this sidecar's own order
	candidates     []*server // scratch of candidates: where a request may go
	weights        []float64 // scratch of softmax
	requestRate    float64   // aged own requests a second
	rateUpdated    time.Duration
	byID           map[uint64]*server
	inFlight       int // attempts out
	requests       map[uint64]*request
	queue          []*request
	overall        faultShares
	zones          map[string]*faultShares // by zone
	cells          map[int]*faultShares
	tenants        map[string]*faultShares
	ledger         *door.Door // what tenants send against their shares
	slack          selection.Slack
	firstRequest   time.Duration // the first request
	shedding       bool          // as last logged
	listDistrusted bool          // it calls most servers gone: no proof
	walk           selection.Walk[*server]
	listRequestAt  time.Duration // when to ask for the list (again); 0: no need
	listBackoff    time.Duration
	now            time.Duration
	actions        []Action
}

// New makes a balancer, or tells what makes the settings unusable.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("logic: settings name no class")
	}
	c := &cfg.Contract
	if min(c.SlowStartMinCapacity, 1-c.SlowStartMinCapacity) < 0 || min(c.ListInterval, c.SlowStartWindow, cfg.Tick) < 0 || cfg.Limits.MaxAttempts < 0 {
		return nil, errors.New("logic: settings hold a negative time or count, or a share not within 0 to 1")
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[uint64]*server{}, requests: map[uint64]*request{}, seed: seed,
		slack: selection.NewSlack(selection.PaperBands),
		zones: map[string]*faultShares{}, cells: map[int]*faultShares{}, tenants: map[string]*faultShares{},
		ledger: door.New(cfg.Tenants, cfg.Balancers, cfg.OverShareValue, agingTime),
	}
	return b, b.SetClasses(cfg.Classes, cfg.Limits.MaxAttempts)
}

// SetClasses takes new classes and bound on attempts for requests from now on; open ones keep their class. An
// unchanged class keeps what was learnt of it. Of classes with a negative time nothing is taken.
func (b *Balancer) SetClasses(classes []Class, attempts int) error {
	kinds, named := make([]*class, 0, len(classes)), make(map[string]*class, len(classes))
	for _, c := range classes {
		if c.LatencyTarget < 0 || c.Deadline < 0 || c.Window < 0 {
			return fmt.Errorf("logic: class %q has a negative time", c.Name)
		}
		k := b.classes[c.Name]
		if k == nil || k.Class != c {
			k = &class{Class: c}
		}
		kinds, named[c.Name] = append(kinds, k), k
	}
	b.classOrder, b.classes, b.cfg.Classes, b.cfg.Limits.MaxAttempts = kinds, named, classes, max(attempts, 1)
	return nil
}

// SetTenants takes the tenants and the worth beyond a share from now on; what was counted of those kept stays.
func (b *Balancer) SetTenants(tenants []Tenant, overShare float64) { b.ledger.Set(tenants, overShare) }

// SetTenantAllowance tells what of a tenant's allowance is this sidecar's, in requests a second; below 0: an equal part, as at first.
func (b *Balancer) SetTenantAllowance(tenant string, rate float64) { b.ledger.Allot(tenant, rate) }

// Step takes one event and appends the actions that follow from it.
func (b *Balancer) Step(now time.Duration, ev *Event, acts []Action) []Action {
	b.now, b.actions = now, acts
	switch ev.Kind {
	case EvMembers:
		b.onMembers(ev)
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
	acts, b.actions = b.actions, nil
	return acts
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// at asks for a wake-up at t about the request or server id.
func (b *Balancer) wakeAt(t time.Duration, kind TimerKind, id uint64) {
	b.emit(Action{Kind: ActWake, At: max(t, b.now), Timer: Timer{Kind: kind, ID: id}})
}

// isDue tells whether a wake-up for t has come. The host may round t down: woken a fraction early, a sidecar
// went without a subscription and sent to servers that were gone.
func (b *Balancer) isDue(t time.Duration) bool { return b.now+b.cfg.Tick >= t }

// wake takes in that a wake-up is due.
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
