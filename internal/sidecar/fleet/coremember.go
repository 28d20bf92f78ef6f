package fleet

import (
	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/verdict"
	"fieldrelay/internal/sidecar/versionskew"
	"fieldrelay/internal/sidecar/view"
)

// maxPings bounds the number of unanswered pings whose send times are remembered.
const maxPings = 256

// receive passes each part of a frame to the state machine that handles it.
func (c *Core) receive(f peer.Frame) {
	if f.Member != nil {
		c.receiveMember(f, *f.Member)
	}
	if len(f.Suspensions) > 0 {
		if updates := c.suspensions.Merge(f.Suspensions); len(updates) > 0 {
			c.publishSuspensions(updates)
		}
	}
	if len(f.Draining) > 0 && c.evaluator != nil {
		if updates := c.draining.Merge(f.Draining); len(updates) > 0 {
			c.publishDraining(updates)
		}
	}
	if len(f.Opinions) > 0 && c.evaluator != nil {
		c.stepEvaluator(verdict.Received{Opinions: f.Opinions})
	}
	if f.Report != nil {
		if g, ok := c.granter.ReceiveReport(c.now, quota.Process{Name: f.From.Name, Boot: f.From.Boot}, *f.Report); ok {
			c.transmit(member.Record{Name: f.From.Name, Addr: f.From.Addr}, peer.Frame{Grant: &g}, false)
		}
	}
	if f.Grant != nil {
		c.applyGrant(*f.Grant)
	}
	if f.Rules != nil {
		c.stepSkew(versionskew.Received{From: f.From, Message: *f.Rules})
	}
	if f.View != nil {
		c.stepViews(view.Received{From: f.From, Message: *f.View})
	}
}

// receiveMember handles a message of the failure detector, with the stamp of its sender's view and the digest of its sender's tables.
// The age of a stamp counts from the time at which the ping that it answers was sent, whichever member answered.
func (c *Core) receiveMember(f peer.Frame, msg member.Message) {
	c.handleMember(c.member.Step(c.now, member.Received{From: f.From, Message: msg}))
	if sentAt, ok := c.pingTimes[msg.Seq]; ok && msg.Kind == member.Ack {
		delete(c.pingTimes, msg.Seq)
		if f.Stamp != nil {
			c.stepViews(view.Stamped{From: f.From, Stamp: *f.Stamp, RequestedAt: sentAt})
		}
	}
	if (msg.Kind == member.Ping || msg.Kind == member.Ack) && f.TablesDigest != c.tablesDigest() && c.tableSyncDue <= c.now {
		if suspensions, draining := c.suspensions.All(), c.draining.All(); len(suspensions)+len(draining) > 0 {
			c.tableSyncDue = c.now + c.cfg.Member.Pace
			c.transmit(member.Record{Name: f.From.Name, Addr: f.From.Addr}, peer.Frame{Suspensions: suspensions, Draining: draining}, false)
		}
	}
}

// stepViews steps the agreement on views and carries out its actions.
func (c *Core) stepViews(event view.Event) {
	for _, a := range c.views.Step(c.now, event) {
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

// recordPing records when a ping was sent. If maxPings are recorded, it drops those that are older than
// a lease; if that frees no place, the ping is not recorded.
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

// handleMember carries out the actions of the failure detector. Pings and Acks carry the digest of the tables, Acks also the stamp
// of this member's view.
func (c *Core) handleMember(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Send:
			f := peer.Frame{Member: &a.Message}
			switch a.Message.Kind {
			case member.Ping:
				f.TablesDigest = c.tablesDigest()
				c.recordPing(a.Message.Seq)
			case member.Ack:
				f.TablesDigest = c.tablesDigest()
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
