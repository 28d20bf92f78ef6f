// Package fleet wires what lets the sidecars know each other: the machines
// that decide (member, view), the channel (peer) and the management address.
// Core is the machines as one, without I/O or clock; Fleet is the actor with
// clock and sockets round it.
package fleet

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/rules"
	"fieldrelay/internal/skew"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
)

// Mode is how much of the fleet a sidecar has. Placement goes on in each of them.
type Mode uint8

// The modes.
const (
	Alone       Mode = iota // never in an agreed view
	Together                // a view is held
	Partitioned             // a view was held, and is no longer
	Yielded                 // another living process has this one's name
)

func (m Mode) String() string { return [...]string{"alone", "together", "cut off", "yielded"}[m] }

// Event is what happens to a Core.
type Event interface{ event() }

// The events.
type (
	// Tick is that time has passed.
	Tick struct{}
	// Received is a frame of this fleet.
	Received struct{ Frame peer.Frame }
	// Leave is that the process is about to end.
	Leave struct{}
	// SetSeeds is new settings of the kind that may change while the fleet runs.
	SetSeeds struct{ Join []string }
	// SetLimits replaces the limits of the fleet.
	SetLimits struct{ Limits []quota.Limit }
	// SetSuspended is a word of this member's on an execute node, for the whole fleet.
	SetSuspended struct {
		Node      string
		Suspended bool
	}
	// SetDraining is that this member's list has an execute node, by its start, as draining or gone; or no longer so.
	SetDraining struct {
		Node     string
		Since    time.Duration
		Draining bool
	}
	// PushRules is the edition of this member's file, which it wants to hold.
	PushRules struct{ Edition rules.Edition }
	// Recover is the operator's word that the majority of the voters is lost for good.
	Recover struct{}
)

func (Tick) event()         {}
func (PushRules) event()    {}
func (Received) event()     {}
func (Leave) event()        {}
func (SetSeeds) event()     {}
func (Recover) event()      {}
func (SetLimits) event()    {}
func (SetSuspended) event() {}
func (SetDraining) event()  {}

// Action is what a Core wants done.
type Action interface{ action() }

// The actions.
type (
	// Transmit is a frame for a process. To.Name is empty for an address to join by.
	Transmit struct {
		To     member.Record
		Frame  peer.Frame
		Stream bool
	}
	// MemberChanged is a new belief about another process.
	MemberChanged struct{ member.Changed }
	// Save is state to be kept and synced before any action after it is done.
	Save struct{ Change view.Change }
	// Decided is a view that this voter learns of from the engine.
	Decided struct{ View view.View }
	// Adopted is that this member goes by a view from now on.
	Adopted struct{ View view.View }
	// Notice is a line for the operator.
	Notice struct{ view.Notice }
	// SuspensionsChanged is all that is now known of execute nodes.
	SuspensionsChanged struct{ All []verdict.Statement }
	// Avoid is the execute nodes that this member sends nothing new to from now on, by the fleet's verdict.
	Avoid struct{ verdict.Avoid }
	// VerdictLog is a line on a verdict.
	VerdictLog struct{ verdict.LogEntry }
	// DrainingChanged is what is new of execute nodes that drain.
	DrainingChanged struct{ Updates []verdict.Statement }
	// QuotaSharesChanged is that this member's parts of the limits may have changed.
	QuotaSharesChanged struct{}
	// RulesEnforced is that this member goes by an edition from now on, whole.
	RulesEnforced struct{ Compiled *rules.Compiled }
	// RulesLog is a line on rules for the operator.
	RulesLog struct{ skew.LogEntry }
	// ModeChanged is a new mode.
	ModeChanged struct {
		Mode, Was Mode
		Reason    string
	}
)

func (Transmit) action()           {}
func (RulesEnforced) action()      {}
func (RulesLog) action()           {}
func (MemberChanged) action()      {}
func (ModeChanged) action()        {}
func (Save) action()               {}
func (Decided) action()            {}
func (Adopted) action()            {}
func (Notice) action()             {}
func (QuotaSharesChanged) action() {}
func (SuspensionsChanged) action() {}
func (Avoid) action()              {}
func (VerdictLog) action()         {}
func (DrainingChanged) action()    {}

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

// Observations is what a member knows of execute nodes by itself.
type Observations interface {
	// Evidence is what requests to each node have shown by now.
	Evidence(now time.Duration) []verdict.Evidence
	// Listed are the nodes on the member's list.
	Listed() []verdict.Node
	// Forget drops the evidence of a node.
	Forget(node string)
}

// gossipFanout is to how many others a new word goes at once.
const gossipFanout = 3

// What the parts of limits are leased by, in paces.
const (
	reportInterval     = 2
	minReportsPerLease = 4  // reports in a lease at the least
	fullRateMembers    = 50 // members up to which each reports so often; beyond, less in proportion
	actTimeout         = 4  // for so long after it was confirmed a granter acts
	// minLease is the shortest lease: longer than the voters take to find another leader (16 paces at the most, if no
	// two stand at once), what that one waits, and a report, so that parts outlive who gave them.
	minLease = 32
)

// maxPings bounds the questions whose answers are waited for.
const maxPings = 256

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

// Evaluator knows the verdicts on execute nodes; nil: none are made.
func (c *Core) Evaluator() *verdict.Evaluator { return c.evaluator }

// observers are this member, those that are there, and those of the view that this member went by last: who is cut off with
// few takes those for no majority.
func (c *Core) observers() []verdict.Peer {
	v, has := c.views.View()
	all := []verdict.Peer{{Name: c.cfg.Member.Name, Zone: c.cfg.Member.Zone}}
	for _, k := range c.member.Others() {
		if _, in := v.Find(k.Name); k.Present() || has && in {
			all = append(all, verdict.Peer{Name: k.Name, Zone: k.Zone})
		}
	}
	return all
}

// judged runs the judge and does what it wants.
func (c *Core) stepEvaluator(e verdict.Event) {
	for _, a := range c.evaluator.Step(c.now, e) {
		switch a := a.(type) {
		case verdict.Send:
			c.gossip(peer.Frame{Opinions: a.Opinions})
		case verdict.Avoid:
			c.out = append(c.out, Avoid{a})
		case verdict.Forget:
			c.cfg.Observations.Forget(a.Node)
		case verdict.LogEntry:
			c.out = append(c.out, VerdictLog{a})
		}
	}
}

// Holder knows this member's parts of the limits.
func (c *Core) Holder() *quota.Holder { return c.holder }

// Granter gives the parts, where this member leads.
func (c *Core) Granter() *quota.Granter { return c.granter }

// limit does what is due for the limits.
func (c *Core) stepQuotas() {
	if era, term, confirmed, ok := c.views.Leadership(); ok {
		c.granter.Lead(c.now, quota.Term{Era: era, Term: term}, confirmed)
	} else {
		c.granter.Follow()
	}
	if c.holder.Next() > c.now {
		return
	}
	if c.cfg.Demand != nil {
		for _, name := range c.holder.Names() {
			demand, used := c.cfg.Demand(name, c.now)
			c.holder.Demand(name, demand)
			c.holder.Used(name, used)
		}
	}
	v, _ := c.views.View()
	report := c.holder.Report(c.now)
	gap := min(reportInterval*c.cfg.Member.Pace*time.Duration(max(1, len(v.Members)/fullRateMembers)), c.cfg.View.Lease/minReportsPerLease)
	c.holder.Wait(c.now + gap*3/4 + time.Duration(c.rng.Int64N(int64(gap/2)+1)))
	_, leader := c.views.VoterGroup()
	if leader == c.cfg.Member.Name {
		if g, ok := c.granter.Reported(c.now, quota.Who{Name: leader, Boot: c.cfg.Member.Boot}, report); ok {
			c.applyGrant(g)
		}
		return
	}
	if to, ok := c.member.Peer(leader); ok && to.Addr != "" {
		c.transmit(to, peer.Frame{Report: &report}, false)
	}
}

// Suspensions is what is known of execute nodes.
func (c *Core) Suspensions() *verdict.Table { return &c.suspensions }

// pass tells what is new to some others at once; each passes it on once, so all know within a few steps.
func (c *Core) publishSuspensions(news []verdict.Statement) {
	c.out = append(c.out, SuspensionsChanged{c.suspensions.All()})
	c.gossip(peer.Frame{Words: news})
}

func (c *Core) publishDraining(news []verdict.Statement) {
	c.out = append(c.out, DrainingChanged{news})
	c.gossip(peer.Frame{Drains: news})
}

// sum is the digest of all words.
func (c *Core) tablesDigest() uint64 {
	return c.suspensions.Digest() ^ bits.RotateLeft64(c.draining.Digest(), 1)
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

func (c *Core) applyGrant(g quota.Grant) {
	if c.holder.Granted(c.now, g) {
		c.out = append(c.out, QuotaSharesChanged{})
	}
}

// got takes a frame in. The stamp of an answer counts from when its question was asked, whoever answered.
func (c *Core) receive(f peer.Frame) {
	if msg := f.Member; msg != nil {
		c.handleMember(c.member.Step(c.now, member.Received{From: f.From, Message: *msg}))
		if asked, ok := c.pingTimes[msg.Seq]; ok && msg.Kind == member.Ack {
			delete(c.pingTimes, msg.Seq)
			if f.Stamp != nil {
				c.stepViews(view.Stamped{From: f.From, Stamp: *f.Stamp, RequestedAt: asked})
			}
		}
	}
	if msg := f.Member; msg != nil && (msg.Kind == member.Ping || msg.Kind == member.Ack) && f.Sum != c.tablesDigest() && c.tableSyncDue <= c.now {
		if all, drains := c.suspensions.All(), c.draining.All(); len(all)+len(drains) > 0 {
			c.tableSyncDue = c.now + c.cfg.Member.Pace
			c.transmit(member.Record{Name: f.From.Name, Addr: f.From.Addr}, peer.Frame{Words: all, Drains: drains}, false)
		}
	}
	if len(f.Words) > 0 {
		if news := c.suspensions.Merge(f.Words); len(news) > 0 {
			c.publishSuspensions(news)
		}
	}
	if len(f.Drains) > 0 && c.evaluator != nil {
		if news := c.draining.Merge(f.Drains); len(news) > 0 {
			c.publishDraining(news)
		}
	}
	if len(f.Opinions) > 0 && c.evaluator != nil {
		c.stepEvaluator(verdict.Received{Opinions: f.Opinions})
	}
	if f.Report != nil {
		if g, ok := c.granter.Reported(c.now, quota.Who{Name: f.From.Name, Boot: f.From.Boot}, *f.Report); ok {
			c.transmit(member.Record{Name: f.From.Name, Addr: f.From.Addr}, peer.Frame{Grant: &g}, false)
		}
	}
	if f.Grant != nil {
		c.applyGrant(*f.Grant)
	}
	if f.Rules != nil {
		c.stepSkew(skew.Received{From: f.From, Message: *f.Rules})
	}
	if f.View != nil {
		c.stepViews(view.Received{From: f.From, Message: *f.View})
	}
}

// agree runs the agreement's machine.
func (c *Core) stepViews(e view.Event) {
	for _, a := range c.views.Step(c.now, e) {
		switch a := a.(type) {
		case view.Send:
			if to, ok := c.member.Peer(a.To); ok && to.Addr != "" {
				c.transmit(to, peer.Frame{View: &a.Message}, false)
			}
		case view.Save:
			c.out = append(c.out, Save{a.Change})
		case view.Decided:
			c.out = append(c.out, Decided{a.View})
		case view.Adopted:
			c.out = append(c.out, Adopted{a.View})
		case view.Notice:
			c.out = append(c.out, Notice{a})
		}
	}
}

// asked remembers when a question left.
func (c *Core) recordPing(seq uint64) {
	if len(c.pingTimes) >= maxPings {
		for s, at := range c.pingTimes {
			if c.now-at > c.cfg.View.Lease {
				delete(c.pingTimes, s)
			}
		}
	}
	if len(c.pingTimes) < maxPings {
		c.pingTimes[seq] = c.now
	}
}

func (c *Core) handleMember(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			f := peer.Frame{Member: &a.Message}
			switch a.Message.Kind {
			case member.Ping:
				f.Sum = c.tablesDigest()
				c.recordPing(a.Message.Seq)
			case member.Ack:
				f.Sum = c.tablesDigest()
				if s := c.views.Stamp(c.now); s.ID != (view.ID{}) {
					f.Stamp = &s
				}
			}
			c.transmit(a.To, f, a.Stream)
		case member.Changed:
			c.out = append(c.out, MemberChanged{a})
		case member.Yield:
			c.changeMode(Yielded, "the name "+c.cfg.Member.Name+" is held by another living process at "+a.To.Addr)
		}
	}
}

func (c *Core) transmit(to member.Record, f peer.Frame, stream bool) {
	f.Fleet, f.From = c.cfg.Fleet, c.member.Self()
	c.out = append(c.out, Transmit{To: to, Frame: f, Stream: stream})
}

func (c *Core) updateMode() {
	if c.mode == Yielded {
		return
	}
	switch held := c.views.HoldsLease(c.now); {
	case !held && c.mode == Together:
		c.rejoinAt = 0
		c.changeMode(Partitioned, "the lease of view "+c.viewID()+" ran out")
	case !held:
		c.rejoinAt = 0
	case c.mode == Partitioned && c.rejoinAt == 0: // who come back do so one after another
		c.rejoinAt = c.now + c.jitter()
	case c.mode == Alone || c.mode == Partitioned && c.rejoinAt <= c.now:
		c.rejoinAt = 0
		c.changeMode(Together, "view "+c.viewID()+" is held")
	}
}

func (c *Core) viewID() string {
	v, _ := c.views.View()
	return v.ID.String()
}

// jitter is a part of a pace.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.rng.Int64N(int64(c.cfg.Member.Pace))) + 1
}

func (c *Core) changeMode(mode Mode, why string) {
	if mode != c.mode {
		c.out = append(c.out, ModeChanged{Mode: mode, Was: c.mode, Reason: why})
		c.mode = mode
	}
}
