package fleet

import (
	"time"

	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
)

// Constants of the leases on shares of limits. Times are in paces.
const (
	reportInterval     = 2  // interval between two reports of a holder
	minReportsPerLease = 4  // least number of reports of a holder within a lease
	fullRateMembers    = 50 // number of members up to which reportInterval applies; with more, the interval grows in proportion
	actTimeout         = 4  // time for which a granter acts after a majority confirmed its leadership
	// minLease is the shortest lease. It exceeds the sum of the election of another leader (at most 16 paces, unless two
	// candidates campaign at once), the new leader's wait before it grants, and a report, so that shares outlive their granter.
	minLease = 32
)

// Holder returns the holder of this member's shares of the limits.
func (c *Core) Holder() *quota.Holder { return c.holder }

// Granter returns the granter of all members' shares, which acts only while this member leads the voters.
func (c *Core) Granter() *quota.Granter { return c.granter }

// stepQuotas sends this member's demand to the leader when the report is due. If this member leads, its own granter gets the report.
func (c *Core) stepQuotas() {
	if era, term, confirmed, ok := c.views.Leadership(); ok {
		c.granter.Lead(c.now, quota.Term{Era: era, Term: term}, confirmed)
	} else {
		c.granter.Follow()
	}
	// The amounts in use are read only after the caller has carried out a change of the shares: until then the gates still admit
	// by the old shares, and the use may grow beyond the reported one.
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

// applyGrant applies a grant to this member's shares.
func (c *Core) applyGrant(g quota.Grant) {
	if c.holder.ReceiveGrant(c.now, g) {
		c.reportSharesChanged()
	}
}

// reportSharesChanged emits the action that this member's shares may have changed.
func (c *Core) reportSharesChanged() {
	c.sharesChanged = true
	c.out = append(c.out, QuotaSharesChanged{})
}
