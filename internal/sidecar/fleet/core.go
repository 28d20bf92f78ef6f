// Package fleet is a sidecar's membership in a fleet: it joins the state machines of failure detection (member), agreement
// (view), quotas (quota), verdicts (verdict) and rules (skew) with the channel between sidecars (peer) and the management
// address. Core is these machines as one, without I/O or clock; Fleet is the actor around it, with clock, sockets and disk.
//
// Nothing that serves requests waits for the fleet: without it, or cut off from it, a sidecar goes on alone.
// docs/design/fleet.md describes the design, docs/sidecar/peers.md is the page for operators.
package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// CoreConfig is what a Core is made with.
type CoreConfig struct {
	Fleet  string
	Member member.Config
	View   view.Config // but for Members and Member
	Limits []quota.Limit
	// Demand returns how much of a limit this member could use, and how much it has in use. It is called in Step.
	Demand      func(limit string, now time.Duration) (demand, used quota.Unit)
	MutateQuota quota.Mutation      // set by tests only
	Suspensions []verdict.Statement // stored by an earlier process
	// Observations is what this member observes of execute nodes; nil: there are no verdicts. Its methods are called in Step.
	Observations   Observations
	VerdictPercent int                 // of the listed nodes, and of each zone's, that may be under verdict
	MutateVerdict  verdict.Mutation    // set by tests only
	Rules          *versionskew.Config // but for what follows from the other fields; nil: there are no rules
}

// gossipFanout is how many other members a frame is gossiped to.
const gossipFanout = 3

// Core is the state machines of a fleet's member as one. It is a state machine itself, without I/O, clock or goroutine, and
// the same seed and events give the same actions. It is not safe for concurrent use.
type Core struct {
	cfg CoreConfig
	now time.Duration
	rng *rand.Rand
	out []Action
	// sharesChanged is set while out has QuotaSharesChanged.
	sharesChanged bool

	member    *member.Machine
	views     *view.Machine
	holder    *quota.Holder
	granter   *quota.Granter
	evaluator *verdict.Evaluator   // nil: there are no verdicts
	skew      *versionskew.Machine // nil: there are no rules

	pingTimes    map[uint64]time.Duration // when each unanswered ping was sent, by its number
	suspensions  verdict.Table
	draining     verdict.Table
	tableSyncDue time.Duration // both tables are not sent whole before
	mode         Mode
	rejoinAt     time.Duration // when a lease that is held again ends the mode Partitioned; 0: none is
}

// NewCore makes a Core. now is the present time on the monotonic clock that Step is called with. The error is of the stored
// state of the voter.
func NewCore(cfg CoreConfig, now time.Duration) (*Core, error) {
	pace := cfg.Member.Pace
	c := &Core{cfg: cfg, member: member.New(cfg.Member, now), pingTimes: make(map[uint64]time.Duration),
		rng: rand.New(rand.NewPCG(cfg.Member.Seed, cfg.Member.Boot+1))}
	times := quota.Times{ReportInterval: reportInterval * pace, Lease: max(cfg.View.Lease, minLease*pace), ActTimeout: actTimeout * pace, Drift: cfg.View.Drift}
	c.holder = quota.NewHolder(times, uint64(c.rng.Uint32()), now+c.jitter(), cfg.MutateQuota)
	c.granter = quota.NewGranter(times, cfg.MutateQuota)
	c.suspensions.Merge(cfg.Suspensions)
	c.draining.EvictsOldest = true
	if cfg.Observations != nil {
		c.evaluator = verdict.NewEvaluator(verdict.Config{Name: cfg.Member.Name, Zone: cfg.Member.Zone, Boot: cfg.Member.Boot, Pace: pace,
			MaxPercent: cfg.VerdictPercent, Mutate: cfg.MutateVerdict}, now+c.jitter())
	}
	c.holder.SetLimits(cfg.Limits)
	c.granter.SetLimits(cfg.Limits)
	cfg.View.Members, cfg.View.Member = c.member.PresentRecords, c.member.Peer
	views, err := view.New(cfg.View, now)
	c.views = views
	if cfg.Rules != nil && err == nil {
		c.newSkew(*cfg.Rules, now)
	}
	return c, err
}

// Next is the time by which Step has to be called with Tick, if no event comes before.
func (c *Core) Next() time.Duration {
	if c.mode == Yielded {
		return math.MaxInt64
	}
	next := min(c.member.Next(), c.views.Next(), c.holder.Next())
	if c.evaluator != nil {
		next = min(next, c.evaluator.Next())
	}
	if c.skew != nil {
		next = min(next, c.skew.Next())
	}
	if c.rejoinAt > 0 {
		next = min(next, c.rejoinAt)
	}
	if c.mode == Together {
		next = min(next, c.views.LeaseEnd())
	}
	return next
}

// Views returns the machine of the agreement on views.
func (c *Core) Views() *view.Machine { return c.views }

// Mode returns the present mode.
func (c *Core) Mode() Mode { return c.mode }

// Members returns the failure detector.
func (c *Core) Members() *member.Machine { return c.member }

// Step takes an event at a time, on the clock of NewCore, that is not before that of the last call.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.out, c.sharesChanged, c.now = nil, false, max(now, c.now)
	if c.mode == Yielded {
		return nil
	}
	c.handle(now, event)
	if c.mode != Yielded {
		c.stepSkew(versionskew.Tick{})
		c.stepQuotas()
		if c.evaluator != nil && c.evaluator.Next() <= c.now {
			c.stepEvaluator(verdict.Evaluate{Evidence: c.cfg.Observations.Evidence(c.now), Peers: c.observers(), Nodes: c.cfg.Observations.Listed()})
		}
	}
	c.updateMode()
	return c.out
}

// handle takes in an event.
func (c *Core) handle(now time.Duration, event Event) {
	switch event := event.(type) {
	case Tick:
		c.handleMember(c.member.Step(now, member.Tick{}))
		c.stepViews(view.Tick{})
	case Received:
		c.receive(event.Frame)
	case Recover:
		c.stepViews(view.Recover{})
	case SetSuspended:
		if s, err := c.suspensions.Declare(event.Node, c.cfg.Member.Name, event.Suspended); err == nil {
			c.publishSuspensions([]verdict.Statement{s})
		}
	case SetDraining:
		if s, isNew := c.draining.DeclareDraining(event.Node, c.cfg.Member.Name, event.Since, event.Draining); isNew && c.evaluator != nil {
			c.publishDraining([]verdict.Statement{s})
		}
	case SetLimits:
		c.holder.SetLimits(event.Limits)
		c.granter.SetLimits(event.Limits)
		c.reportSharesChanged()
	case Leave:
		c.handleMember(c.member.Step(now, member.Leave{}))
	case PushRules:
		c.stepSkew(versionskew.Push{Edition: event.Edition})
	case SetSeeds:
		c.handleMember(c.member.Step(now, member.Seeds{Join: event.Join}))
	}
}

// gossip sends a frame to a few other members, drawn anew each time.
func (c *Core) gossip(f peer.Frame) {
	others := c.member.PresentRecords()
	c.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sent := 0
	for _, r := range others {
		if r.Name == c.cfg.Member.Name {
			continue
		}
		if c.transmit(r, f, false); sent == gossipFanout-1 {
			return
		}
		sent++
	}
}

// transmit sends a frame to a process.
func (c *Core) transmit(to member.Record, f peer.Frame, stream bool) {
	f.Fleet, f.From = c.cfg.Fleet, c.member.Self()
	c.out = append(c.out, Transmit{To: to, Frame: f, Stream: stream})
}

// jitter draws a duration of up to a pace, and never 0.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.rng.Int64N(int64(c.cfg.Member.Pace))) + 1
}
