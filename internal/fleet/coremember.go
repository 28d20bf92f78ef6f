package fleet

import (
	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/skew"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
)

// maxPings bounds the questions whose answers are waited for.
const maxPings = 256

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
