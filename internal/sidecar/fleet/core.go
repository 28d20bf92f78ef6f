// Package fleet implements a sidecar's membership in a fleet. It connects the state machines of failure detection (member),
// agreement (view), quotas (quota), verdicts (verdict) and rules (versionskew) with the channel between sidecars (peer) and the
// management address. Core combines these machines in one, without I/O or clock; Fleet is the actor that runs a Core, with clock,
// sockets and disk.
//
// Serving requests never waits for the fleet: a sidecar without a fleet, or partitioned from it, continues alone.
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

// CoreConfig configures a Core.
type CoreConfig struct {
	Fleet  string
	Member member.Config
	View   view.Config // all fields except Members and Member, which NewCore sets
	Limits []quota.Limit
	// Demand returns how much of a limit this member could use, and how much it has in use. It is called in Step.
	Demand      func(limit string, now time.Duration) (demand, used quota.Unit)
	MutateQuota quota.Mutation      // fault that a test injects; none otherwise
	Suspensions []verdict.Statement // statements that an earlier process stored
	// Observations has what this member observes of execute nodes; nil: verdicts are off. Its methods are called in Step.
	Observations   Observations
	VerdictPercent int                 // percent of the listed nodes, and of each zone's, that may be under a verdict
	MutateVerdict  verdict.Mutation    // fault that a test injects; none otherwise
	Rules          *versionskew.Config // all fields except those that follow from the rest of CoreConfig; nil: rules are off
}

// gossipFanout is the number of other members that a frame is gossiped to.
const gossipFanout = 3

// Core combines the state machines of a fleet's member. It is a deterministic state machine itself, without I/O, clock or goroutine:
// the same seed and events give the same actions. It is not safe for concurrent use.
type Core struct {
	cfg CoreConfig
	now time.Duration
	rng *rand.Rand
	out []Action
	// sharesChanged is set if out contains QuotaSharesChanged.
	sharesChanged bool

	member    *member.Machine
	views     *view.Machine
	holder    *quota.Holder
	granter   *quota.Granter
	evaluator *verdict.Evaluator   // nil: verdicts are off
	skew      *versionskew.Machine // nil: rules are off

	pingTimes    map[uint64]time.Duration // send times of unanswered pings, by sequence number
	suspensions  verdict.Table
	draining     verdict.Table
	tableSyncDue time.Duration // earliest time at which both tables are sent whole again
	mode         Mode
	rejoinAt     time.Duration // time at which the mode Partitioned ends, after a lease is held again; 0: no lease is held, or the mode is another one
}

// NewCore creates a Core. now is the present time on the monotonic clock that Step is called with. An error means that the stored
// state of the voter cannot be used.
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

// Next returns the time by which Step has to be called with Tick, if no event comes before.
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

// Views returns the state machine of the agreement on views.
func (c *Core) Views() *view.Machine { return c.views }

// Mode returns the present mode.
func (c *Core) Mode() Mode { return c.mode }

// Members returns the failure detector.
func (c *Core) Members() *member.Machine { return c.member }

// Step handles an event at a time, on the clock of NewCore, that is not before that of the last call. It returns the actions to carry
// out in order.
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

// handle passes an event to the state machine that it is for.
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

// gossip sends a frame to up to gossipFanout other members, drawn at random at each call.
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

// transmit emits the action that sends a frame to a process.
func (c *Core) transmit(to member.Record, f peer.Frame, stream bool) {
	f.Fleet, f.From = c.cfg.Fleet, c.member.Self()
	c.out = append(c.out, Transmit{To: to, Frame: f, Stream: stream})
}

// jitter returns a random duration from 1 ns to a pace.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.rng.Int64N(int64(c.cfg.Member.Pace))) + 1
}
