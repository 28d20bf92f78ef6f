package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
)

// The constants of the leases on shares of limits: times are in paces.
const (
	reportInterval     = 2  // of a holder's reports
	minReportsPerLease = 4  // a holder reports at least so often in a lease
	fullRateMembers    = 50 // members up to which the interval holds; beyond, it grows in proportion
	actTimeout         = 4  // for so long after a majority confirmed that it leads a granter acts
	// minLease is the shortest lease: longer than the election of another leader (at most 16 paces, unless two campaign at
	// once), what that one waits, and a report, so that shares outlive their granter.
	minLease = 32
)

// Holder returns the holder of this member's shares of the limits.
func (c *Core) Holder() *quota.Holder { return c.holder }

// Granter returns the granter of all shares, which acts while this member leads.
func (c *Core) Granter() *quota.Granter { return c.granter }

// stepQuotas reports this member's demand when that is due, to the leader or to itself.
func (c *Core) stepQuotas() {
	if era, term, confirmed, ok := c.views.Leadership(); ok {
		c.granter.Lead(c.now, quota.Term{Era: era, Term: term}, confirmed)
	} else {
		c.granter.Follow()
	}
	// What is in use is read only once the caller has carried out a change of the shares: until then it may still grow by the
	// old ones, beyond what is reported.
	if c.holder.Next() > c.now || c.sharesChanged {
		return
	}
	if c.cfg.Demand != nil {
		for _, name := range c.holder.Names() {
			demand, used := c.cfg.Demand(name, c.now)
			c.holder.SetDemand(name, demand)
			c.holder.SetInUse(name, used)
		}
	}
	v, _ := c.views.View()
	report := c.holder.Report(c.now)
	interval := min(reportInterval*c.cfg.Member.Pace*time.Duration(max(1, len(v.Members)/fullRateMembers)), c.cfg.View.Lease/minReportsPerLease)
	c.holder.Postpone(c.now + interval*3/4 + time.Duration(c.rng.Int64N(int64(interval/2)+1)))
	_, leader := c.views.VoterGroup()
	if leader == c.cfg.Member.Name {
		if g, ok := c.granter.ReceiveReport(c.now, quota.Process{Name: leader, Boot: c.cfg.Member.Boot}, report); ok {
			c.applyGrant(g)
		}
		return
	}
	if to, ok := c.member.Peer(leader); ok && to.Addr != "" {
		c.transmit(to, peer.Frame{Report: &report}, false)
	}
}

// applyGrant takes in a grant for this member.
func (c *Core) applyGrant(g quota.Grant) {
	if c.holder.ReceiveGrant(c.now, g) {
		c.reportSharesChanged()
	}
}

// reportSharesChanged tells the caller that this member's shares may have changed.
func (c *Core) reportSharesChanged() {
	c.sharesChanged = true
	c.out = append(c.out, QuotaSharesChanged{})
}
