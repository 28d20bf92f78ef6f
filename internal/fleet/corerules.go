package fleet

import (
	"time"

	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/skew"
	"fieldrelay/internal/view"
)

// newSkew makes the checker of rules, which looks at members and views as they are when it is called.
func (c *Core) newSkew(cfg skew.Config, now time.Duration) {
	cfg.Name, cfg.Boot, cfg.Pace, cfg.Seed = c.cfg.Member.Name, c.cfg.Member.Boot, c.cfg.Member.Pace, c.cfg.Member.Seed
	cfg.Bound = view.Bound(c.cfg.View.Lease, c.cfg.View.Drift)
	cfg.View, cfg.Decided = c.views.View, c.views.Decided
	cfg.HoldsLease = func() bool { return c.views.HoldsLease(c.now) }
	cfg.Leader = func() string { _, leader := c.views.VoterGroup(); return leader }
	cfg.Members = c.rulesMembers
	c.skew = skew.New(cfg, now)
}

// readers are those whose understanding of rules may matter.
func (c *Core) rulesMembers() []skew.Member {
	self := c.member.Self()
	all := []skew.Member{{Name: self.Name, Boot: self.Boot, Reads: self.Reads, AbsentFor: -1}}
	for _, k := range c.member.Others() {
		switch {
		case k.Present():
			all = append(all, skew.Member{Name: k.Name, Boot: k.Boot, Reads: k.Reads, AbsentFor: -1})
		case k.State == member.Failed:
			all = append(all, skew.Member{Name: k.Name, Boot: k.Boot, Reads: k.Reads, AbsentFor: c.now - k.StateSince})
		}
	}
	return all
}

// Skew is the checker of rules; nil: no rules.
func (c *Core) Skew() *skew.Machine { return c.skew }

// rule runs the checker of rules and does what it wants.
func (c *Core) stepSkew(e skew.Event) {
	if c.skew == nil {
		return
	}
	for _, a := range c.skew.Step(c.now, e) {
		switch a := a.(type) {
		case skew.Send:
			if to, ok := c.member.Peer(a.To); ok && to.Addr != "" {
				c.transmit(to, peer.Frame{Rules: &a.Message}, false)
			}
		case skew.Gossip:
			c.gossip(peer.Frame{Rules: &a.Message})
		case skew.Propose:
			c.stepViews(view.ProposeRules{Rules: a.Rules})
		case skew.Enforce:
			c.out = append(c.out, RulesEnforced{a.Compiled})
		case skew.LogEntry:
			c.out = append(c.out, RulesLog{a})
		}
	}
}
