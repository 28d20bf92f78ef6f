// Package fleet wires what lets the sidecars know each other: the machines
// that decide (member, view), the channel (peer) and the management address.
// Core is the machines as one, without I/O or clock; Fleet is the actor with
// clock and sockets round it.
package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/skew"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
)

// CoreConfig is what a Core is made with.
type CoreConfig struct {
	Fleet  string
	Member member.Config
	View   view.Config // Members and Member are filled in
	Limits []quota.Limit
	// Demand tells what this member could use of a limit, and what it has in use. It is called in Step.
	Demand      func(limit string, now time.Duration) (demand, used quota.Unit)
	MutateQuota quota.Mutation      // of tests alone
	Suspensions []verdict.Statement // kept from before
	// Observations is what this member knows of execute nodes; nil: no verdicts are made. Its methods are called in Step.
	Observations   Observations
	VerdictPercent int              // of the listed nodes, and of each zone's, that may be under verdict
	MutateVerdict  verdict.Mutation // of tests alone
	Rules          *skew.Config     // of what follows from the others the rest is filled in; nil: no rules
}

// gossipFanout is to how many others a new word goes at once.
const gossipFanout = 3

// Core is the deciding part of a fleet's member. It is not safe for use by several goroutines.
type Core struct {
	cfg          CoreConfig
	member       *member.Machine
	now          time.Duration
	rng          *rand.Rand
	views        *view.Machine
	pingTimes    map[uint64]time.Duration // when each was asked
	suspensions  verdict.Table
	draining     verdict.Table
	tableSyncDue time.Duration // of the next exchange of all words
	holder       *quota.Holder
	granter      *quota.Granter
	evaluator    *verdict.Evaluator // nil: no verdicts are made
	skew         *skew.Machine      // nil: no rules
	mode         Mode
	rejoinAt     time.Duration // when the lease that is held again is shown; 0: none is waited for
	out          []Action
}

// NewCore makes a Core. now is the present on the clock that Step is called with.
func NewCore(cfg CoreConfig, now time.Duration) (*Core, error) {
	c := &Core{cfg: cfg, member: member.New(cfg.Member, now), pingTimes: map[uint64]time.Duration{},
		rng: rand.New(rand.NewPCG(cfg.Member.Seed, cfg.Member.Boot+1))}
	times := quota.Times{Report: reportInterval * cfg.Member.Pace, Lease: max(cfg.View.Lease, minLease*cfg.Member.Pace), Act: actTimeout * cfg.Member.Pace, Drift: cfg.View.Drift}
	c.holder = quota.NewHolder(times, uint64(c.rng.Uint32()), now+c.jitter(), cfg.MutateQuota)
	c.granter = quota.NewGranter(times, cfg.MutateQuota)
	c.suspensions.Merge(cfg.Suspensions)
	c.draining.EvictsOldest = true
	if cfg.Observations != nil {
		c.evaluator = verdict.NewEvaluator(verdict.Config{Name: cfg.Member.Name, Zone: cfg.Member.Zone, Boot: cfg.Member.Boot, Pace: cfg.Member.Pace,
			MaxPercent: cfg.VerdictPercent, Mutate: cfg.MutateVerdict}, now+c.jitter())
	}
	c.holder.Set(cfg.Limits)
	c.granter.Set(cfg.Limits)
	cfg.View.Members, cfg.View.Member = c.member.PresentRecords, c.member.Peer
	views, err := view.New(cfg.View, now)
	c.views = views
	if cfg.Rules != nil && err == nil {
		c.newSkew(*cfg.Rules, now)
	}
	return c, err
}

// Next is when Step is to be called with Tick at the latest.
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

// Views is what is agreed.
func (c *Core) Views() *view.Machine { return c.views }

// Mode is the present mode.
func (c *Core) Mode() Mode { return c.mode }

// Members is what is believed.
func (c *Core) Members() *member.Machine { return c.member }

// Step takes an event at a time that is never before that of the last call.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.out, c.now = nil, max(now, c.now)
	if c.mode == Yielded {
		return nil
	}
	switch e := e.(type) {
	case Tick:
		c.handleMember(c.member.Step(now, member.Tick{}))
		c.stepViews(view.Tick{})
	case Received:
		c.receive(e.Frame)
	case Recover:
		c.stepViews(view.Recover{})
	case SetSuspended:
		if w, err := c.suspensions.Declare(e.Node, c.cfg.Member.Name, e.Suspended); err == nil {
			c.publishSuspensions([]verdict.Statement{w})
		}
	case SetDraining:
		if w, isNew := c.draining.DeclareDraining(e.Node, c.cfg.Member.Name, e.Since, e.Draining); isNew && c.evaluator != nil {
			c.publishDraining([]verdict.Statement{w})
		}
	case SetLimits:
		c.holder.Set(e.Limits)
		c.granter.Set(e.Limits)
		c.out = append(c.out, QuotaSharesChanged{})
	case Leave:
		c.handleMember(c.member.Step(now, member.Leave{}))
	case PushRules:
		c.stepSkew(skew.Push{Edition: e.Edition})
	case SetSeeds:
		c.handleMember(c.member.Step(now, member.Seeds{Join: e.Join}))
	}
	if c.mode != Yielded {
		c.stepSkew(skew.Tick{})
		c.stepQuotas()
		if c.evaluator != nil && c.evaluator.Next() <= c.now {
			c.stepEvaluator(verdict.Evaluate{Evidence: c.cfg.Observations.Evidence(c.now), Peers: c.observers(), Nodes: c.cfg.Observations.Listed()})
		}
	}
	c.updateMode()
	return c.out
}

// spread sends a frame to some others, drawn anew each time.
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

func (c *Core) transmit(to member.Record, f peer.Frame, stream bool) {
	f.Fleet, f.From = c.cfg.Fleet, c.member.Self()
	c.out = append(c.out, Transmit{To: to, Frame: f, Stream: stream})
}

// jitter is a part of a pace.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.rng.Int64N(int64(c.cfg.Member.Pace))) + 1
}
