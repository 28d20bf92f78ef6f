package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// newSkew creates the check of rules. The check reads the members and the view at each of its steps.
func (c *Core) newSkew(cfg versionskew.Config, now time.Duration) {
	cfg.Name, cfg.Boot, cfg.Pace, cfg.Seed = c.cfg.Member.Name, c.cfg.Member.Boot, c.cfg.Member.Pace, c.cfg.Member.Seed
	cfg.Bound = view.StalenessBound(c.cfg.View.Lease, c.cfg.View.Drift)
	cfg.View, cfg.Decided = c.views.View, c.views.Decided
	cfg.HoldsLease = func() bool { return c.views.HoldsLease(c.now) }
	cfg.Leader = func() string { _, leader := c.views.VoterGroup(); return leader }
	cfg.Members = c.rulesMembers
	c.skew = versionskew.New(cfg, now)
}

// rulesMembers returns the members that an edition of rules may have to be compatible with: all known members except those that
// left.
func (c *Core) rulesMembers() []versionskew.Member {
	self := c.member.Self()
	all := []versionskew.Member{{Name: self.Name, Boot: self.Boot, Reads: self.Reads, AbsentFor: -1}}
	for _, other := range c.member.Others() {
		switch {
		case other.Present():
			all = append(all, versionskew.Member{Name: other.Name, Boot: other.Boot, Reads: other.Reads, AbsentFor: -1})
		case other.State == member.Failed:
			all = append(all, versionskew.Member{Name: other.Name, Boot: other.Boot, Reads: other.Reads, AbsentFor: c.now - other.StateSince})
		}
	}
	return all
}

// Skew returns the check of rules; nil: rules are off.
func (c *Core) Skew() *versionskew.Machine { return c.skew }

// stepSkew steps the check of rules, if rules are on, and carries out its actions.
func (c *Core) stepSkew(event versionskew.Event) {
	if c.skew == nil {
		return
	}
	for _, a := range c.skew.Step(c.now, event) {
		switch a := a.(type) {
		case versionskew.Send:
			if to, ok := c.member.Peer(a.To); ok && to.Addr != "" {
				c.transmit(to, peer.Frame{Rules: &a.Message}, false)
			}
		case versionskew.Gossip:
			c.gossip(peer.Frame{Rules: &a.Message})
		case versionskew.Propose:
			c.stepViews(view.ProposeRules{Rules: a.Rules})
		case versionskew.Enforce:
			c.out = append(c.out, RulesEnforced{a.Compiled})
		case versionskew.LogEntry:
			c.out = append(c.out, RulesLog{a})
		}
	}
}
