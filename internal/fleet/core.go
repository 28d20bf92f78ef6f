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
	Alone    Mode = iota // never in an agreed view
	Together             // a view is held
	CutOff               // a view was held, and is no longer
	Yielded              // another living process has this one's name
)

func (m Mode) String() string { return [...]string{"alone", "together", "cut off", "yielded"}[m] }

// Event is what happens to a Core.
type Event interface{ event() }

// The events.
type (
	// Tick is that time has passed.
	Tick struct{}
	// Got is a frame of this fleet.
	Got struct{ Frame peer.Frame }
	// Leave is that the process is about to end.
	Leave struct{}
	// Change is new settings of the kind that may change while the fleet runs.
	Change struct{ Join []string }
	// Limits replaces the limits of the fleet.
	Limits struct{ Limits []quota.Limit }
	// Say is a word of this member's on an execute node, for the whole fleet.
	Say struct {
		Node      string
		Suspended bool
	}
	// Drains is that this member's list has an execute node, by its start, as draining or gone; or no longer so.
	Drains struct {
		Node   string
		Since  time.Duration
		Drains bool
	}
	// PushRules is the edition of this member's file, which it wants to hold.
	PushRules struct{ Edition rules.Edition }
	// Recover is the operator's word that the majority of the voters is lost for good.
	Recover struct{}
)

func (Tick) event()      {}
func (PushRules) event() {}
func (Got) event()       {}
func (Leave) event()     {}
func (Change) event()    {}
func (Recover) event()   {}
func (Limits) event()    {}
func (Say) event()       {}
func (Drains) event()    {}

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
	// WordsChanged is all that is now known of execute nodes.
	WordsChanged struct{ All []verdict.Statement }
	// Avoid is the execute nodes that this member sends nothing new to from now on, by the fleet's verdict.
	Avoid struct{ verdict.Avoid }
	// VerdictLine is a line on a verdict.
	VerdictLine struct{ verdict.LogEntry }
	// DrainsChanged is what is new of execute nodes that drain.
	DrainsChanged struct{ News []verdict.Statement }
	// PartsChanged is that this member's parts of the limits may have changed.
	PartsChanged struct{}
	// RulesForced is that this member goes by an edition from now on, whole.
	RulesForced struct{ Compiled *rules.Compiled }
	// RulesLine is a line on rules for the operator.
	RulesLine struct{ skew.LogEntry }
	// ModeChanged is a new mode.
	ModeChanged struct {
		Mode, Was Mode
		Why       string
	}
)

func (Transmit) action()      {}
func (RulesForced) action()   {}
func (RulesLine) action()     {}
func (MemberChanged) action() {}
func (ModeChanged) action()   {}
func (Save) action()          {}
func (Decided) action()       {}
func (Adopted) action()       {}
func (Notice) action()        {}
func (PartsChanged) action()  {}
func (WordsChanged) action()  {}
func (Avoid) action()         {}
func (VerdictLine) action()   {}
func (DrainsChanged) action() {}

// CoreConfig is what a Core is made with.
type CoreConfig struct {
	Fleet  string
	Member member.Config
	View   view.Config // Members and Member are filled in
	Limits []quota.Limit
	// Demand tells what this member could use of a limit, and what it has in use. It is called in Step.
	Demand func(limit string, now time.Duration) (demand, used quota.Unit)
	Mutate quota.Mutation      // of tests alone
	Words  []verdict.Statement // kept from before
	// Seen is what this member knows of execute nodes; nil: no verdicts are made. Its methods are called in Step.
	Seen          Seen
	VerdictPct    int              // of the listed nodes, and of each zone's, that may be under verdict
	MutateVerdict verdict.Mutation // of tests alone
	Rules         *skew.Config     // of what follows from the others the rest is filled in; nil: no rules
}

// Seen is what a member knows of execute nodes by itself.
type Seen interface {
	// Evidence is what requests to each node have shown by now.
	Evidence(now time.Duration) []verdict.Evidence
	// Listed are the nodes on the member's list.
	Listed() []verdict.Node
	// Forget drops the evidence of a node.
	Forget(node string)
}

// passOn is to how many others a new word goes at once.
const passOn = 3

// What the parts of limits are leased by, in paces.
const (
	reportPaces = 2
	reportMost  = 4  // reports in a lease at the least
	reportSmall = 50 // members up to which each reports so often; beyond, less in proportion
	actPaces    = 4  // for so long after it was confirmed a granter acts
	// leasePaces is the shortest lease: longer than the voters take to find another leader (16 paces at the most, if no
	// two stand at once), what that one waits, and a report, so that parts outlive who gave them.
	leasePaces = 32
)

// mostPings bounds the questions whose answers are waited for.
const mostPings = 256

// Core is the deciding part of a fleet's member. It is not safe for use by several goroutines.
type Core struct {
	cfg      CoreConfig
	member   *member.Machine
	now      time.Duration
	rng      *rand.Rand
	views    *view.Machine
	pings    map[uint64]time.Duration // when each was asked
	words    verdict.Table
	drains   verdict.Table
	wordsDue time.Duration // of the next exchange of all words
	holder   *quota.Holder
	grants   *quota.Granter
	judge    *verdict.Evaluator // nil: no verdicts are made
	skew     *skew.Machine      // nil: no rules
	mode     Mode
	back     time.Duration // when the lease that is held again is shown; 0: none is waited for
	out      []Action
}

// NewCore makes a Core. now is the present on the clock that Step is called with.
func NewCore(cfg CoreConfig, now time.Duration) (*Core, error) {
	c := &Core{cfg: cfg, member: member.New(cfg.Member, now), pings: map[uint64]time.Duration{},
		rng: rand.New(rand.NewPCG(cfg.Member.Seed, cfg.Member.Boot+1))}
	times := quota.Times{Report: reportPaces * cfg.Member.Pace, Lease: max(cfg.View.Lease, leasePaces*cfg.Member.Pace), Act: actPaces * cfg.Member.Pace, Drift: cfg.View.Drift}
	c.holder = quota.NewHolder(times, uint64(c.rng.Uint32()), now+c.jitter(), cfg.Mutate)
	c.grants = quota.NewGranter(times, cfg.Mutate)
	c.words.Merge(cfg.Words)
	c.drains.EvictsOldest = true
	if cfg.Seen != nil {
		c.judge = verdict.NewEvaluator(verdict.Config{Name: cfg.Member.Name, Zone: cfg.Member.Zone, Boot: cfg.Member.Boot, Pace: cfg.Member.Pace,
			MaxPercent: cfg.VerdictPct, Mutate: cfg.MutateVerdict}, now+c.jitter())
	}
	c.holder.Set(cfg.Limits)
	c.grants.Set(cfg.Limits)
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
	if c.judge != nil {
		next = min(next, c.judge.Next())
	}
	if c.skew != nil {
		next = min(next, c.skew.Next())
	}
	if c.back > 0 {
		next = min(next, c.back)
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
		c.take(c.member.Step(now, member.Tick{}))
		c.agree(view.Tick{})
	case Got:
		c.got(e.Frame)
	case Recover:
		c.agree(view.Recover{})
	case Say:
		if w, err := c.words.Declare(e.Node, c.cfg.Member.Name, e.Suspended); err == nil {
			c.pass([]verdict.Statement{w})
		}
	case Drains:
		if w, isNew := c.drains.DeclareDraining(e.Node, c.cfg.Member.Name, e.Since, e.Drains); isNew && c.judge != nil {
			c.passDrains([]verdict.Statement{w})
		}
	case Limits:
		c.holder.Set(e.Limits)
		c.grants.Set(e.Limits)
		c.out = append(c.out, PartsChanged{})
	case Leave:
		c.take(c.member.Step(now, member.Leave{}))
	case PushRules:
		c.rule(skew.Push{Edition: e.Edition})
	case Change:
		c.take(c.member.Step(now, member.Seeds{Join: e.Join}))
	}
	if c.mode != Yielded {
		c.rule(skew.Tick{})
		c.limit()
		if c.judge != nil && c.judge.Next() <= c.now {
			c.judged(verdict.Evaluate{Evidence: c.cfg.Seen.Evidence(c.now), Peers: c.observers(), Nodes: c.cfg.Seen.Listed()})
		}
	}
	c.setMode()
	return c.out
}

// Judge knows the verdicts on execute nodes; nil: none are made.
func (c *Core) Judge() *verdict.Evaluator { return c.judge }

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
func (c *Core) judged(e verdict.Event) {
	for _, a := range c.judge.Step(c.now, e) {
		switch a := a.(type) {
		case verdict.Send:
			c.spread(peer.Frame{Opinions: a.Opinions})
		case verdict.Avoid:
			c.out = append(c.out, Avoid{a})
		case verdict.Forget:
			c.cfg.Seen.Forget(a.Node)
		case verdict.LogEntry:
			c.out = append(c.out, VerdictLine{a})
		}
	}
}

// Holder knows this member's parts of the limits.
func (c *Core) Holder() *quota.Holder { return c.holder }

// Granter gives the parts, where this member leads.
func (c *Core) Granter() *quota.Granter { return c.grants }

// limit does what is due for the limits.
func (c *Core) limit() {
	if era, term, confirmed, ok := c.views.Leadership(); ok {
		c.grants.Lead(c.now, quota.Term{Era: era, Term: term}, confirmed)
	} else {
		c.grants.Follow()
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
	gap := min(reportPaces*c.cfg.Member.Pace*time.Duration(max(1, len(v.Members)/reportSmall)), c.cfg.View.Lease/reportMost)
	c.holder.Wait(c.now + gap*3/4 + time.Duration(c.rng.Int64N(int64(gap/2)+1)))
	_, leader := c.views.VoterGroup()
	if leader == c.cfg.Member.Name {
		if g, ok := c.grants.Reported(c.now, quota.Who{Name: leader, Boot: c.cfg.Member.Boot}, report); ok {
			c.granted(g)
		}
		return
	}
	if to, ok := c.member.Peer(leader); ok && to.Addr != "" {
		c.transmit(to, peer.Frame{Report: &report}, false)
	}
}

// Words is what is known of execute nodes.
func (c *Core) Words() *verdict.Table { return &c.words }

// pass tells what is new to some others at once; each passes it on once, so all know within a few steps.
func (c *Core) pass(news []verdict.Statement) {
	c.out = append(c.out, WordsChanged{c.words.All()})
	c.spread(peer.Frame{Words: news})
}

func (c *Core) passDrains(news []verdict.Statement) {
	c.out = append(c.out, DrainsChanged{news})
	c.spread(peer.Frame{Drains: news})
}

// sum is the digest of all words.
func (c *Core) sum() uint64 { return c.words.Digest() ^ bits.RotateLeft64(c.drains.Digest(), 1) }

// spread sends a frame to some others, drawn anew each time.
func (c *Core) spread(f peer.Frame) {
	others := c.member.PresentRecords()
	c.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sent := 0
	for _, r := range others {
		if r.Name == c.cfg.Member.Name {
			continue
		}
		if c.transmit(r, f, false); sent == passOn-1 {
			return
		}
		sent++
	}
}

func (c *Core) granted(g quota.Grant) {
	if c.holder.Granted(c.now, g) {
		c.out = append(c.out, PartsChanged{})
	}
}

// got takes a frame in. The stamp of an answer counts from when its question was asked, whoever answered.
func (c *Core) got(f peer.Frame) {
	if msg := f.Member; msg != nil {
		c.take(c.member.Step(c.now, member.Received{From: f.From, Message: *msg}))
		if asked, ok := c.pings[msg.Seq]; ok && msg.Kind == member.Ack {
			delete(c.pings, msg.Seq)
			if f.Stamp != nil {
				c.agree(view.Stamped{From: f.From, Stamp: *f.Stamp, RequestedAt: asked})
			}
		}
	}
	if msg := f.Member; msg != nil && (msg.Kind == member.Ping || msg.Kind == member.Ack) && f.Sum != c.sum() && c.wordsDue <= c.now {
		if all, drains := c.words.All(), c.drains.All(); len(all)+len(drains) > 0 {
			c.wordsDue = c.now + c.cfg.Member.Pace
			c.transmit(member.Record{Name: f.From.Name, Addr: f.From.Addr}, peer.Frame{Words: all, Drains: drains}, false)
		}
	}
	if len(f.Words) > 0 {
		if news := c.words.Merge(f.Words); len(news) > 0 {
			c.pass(news)
		}
	}
	if len(f.Drains) > 0 && c.judge != nil {
		if news := c.drains.Merge(f.Drains); len(news) > 0 {
			c.passDrains(news)
		}
	}
	if len(f.Opinions) > 0 && c.judge != nil {
		c.judged(verdict.Received{Opinions: f.Opinions})
	}
	if f.Report != nil {
		if g, ok := c.grants.Reported(c.now, quota.Who{Name: f.From.Name, Boot: f.From.Boot}, *f.Report); ok {
			c.transmit(member.Record{Name: f.From.Name, Addr: f.From.Addr}, peer.Frame{Grant: &g}, false)
		}
	}
	if f.Grant != nil {
		c.granted(*f.Grant)
	}
	if f.Rules != nil {
		c.rule(skew.Received{From: f.From, Message: *f.Rules})
	}
	if f.View != nil {
		c.agree(view.Received{From: f.From, Message: *f.View})
	}
}

// agree runs the agreement's machine.
func (c *Core) agree(e view.Event) {
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
func (c *Core) asked(seq uint64) {
	if len(c.pings) >= mostPings {
		for s, at := range c.pings {
			if c.now-at > c.cfg.View.Lease {
				delete(c.pings, s)
			}
		}
	}
	if len(c.pings) < mostPings {
		c.pings[seq] = c.now
	}
}

func (c *Core) take(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			f := peer.Frame{Member: &a.Message}
			switch a.Message.Kind {
			case member.Ping:
				f.Sum = c.sum()
				c.asked(a.Message.Seq)
			case member.Ack:
				f.Sum = c.sum()
				if s := c.views.Stamp(c.now); s.ID != (view.ID{}) {
					f.Stamp = &s
				}
			}
			c.transmit(a.To, f, a.Stream)
		case member.Changed:
			c.out = append(c.out, MemberChanged{a})
		case member.Yield:
			c.change(Yielded, "the name "+c.cfg.Member.Name+" is held by another living process at "+a.To.Addr)
		}
	}
}

func (c *Core) transmit(to member.Record, f peer.Frame, stream bool) {
	f.Fleet, f.From = c.cfg.Fleet, c.member.Self()
	c.out = append(c.out, Transmit{To: to, Frame: f, Stream: stream})
}

func (c *Core) setMode() {
	if c.mode == Yielded {
		return
	}
	switch held := c.views.HoldsLease(c.now); {
	case !held && c.mode == Together:
		c.back = 0
		c.change(CutOff, "the lease of view "+c.id()+" ran out")
	case !held:
		c.back = 0
	case c.mode == CutOff && c.back == 0: // who come back do so one after another
		c.back = c.now + c.jitter()
	case c.mode == Alone || c.mode == CutOff && c.back <= c.now:
		c.back = 0
		c.change(Together, "view "+c.id()+" is held")
	}
}

func (c *Core) id() string {
	v, _ := c.views.View()
	return v.ID.String()
}

// jitter is a part of a pace.
func (c *Core) jitter() time.Duration {
	return time.Duration(c.rng.Int64N(int64(c.cfg.Member.Pace))) + 1
}

func (c *Core) change(mode Mode, why string) {
	if mode != c.mode {
		c.out = append(c.out, ModeChanged{Mode: mode, Was: c.mode, Why: why})
		c.mode = mode
	}
}
