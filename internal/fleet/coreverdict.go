package fleet

import (
	"math/bits"
	"time"

	"fieldrelay/internal/peer"
	"fieldrelay/internal/verdict"
)

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

// Evaluator knows the verdicts on execute nodes; nil: none are made.
func (c *Core) Evaluator() *verdict.Evaluator { return c.evaluator }

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

// Observations is what a member knows of execute nodes by itself.
type Observations interface {
	// Evidence is what requests to each node have shown by now.
	Evidence(now time.Duration) []verdict.Evidence
	// Listed are the nodes on the member's list.
	Listed() []verdict.Node
	// Forget drops the evidence of a node.
	Forget(node string)
}
