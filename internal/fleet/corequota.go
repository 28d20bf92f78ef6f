package fleet

import (
	"time"

	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
)

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

func (c *Core) applyGrant(g quota.Grant) {
	if c.holder.Granted(c.now, g) {
		c.out = append(c.out, QuotaSharesChanged{})
	}
}
