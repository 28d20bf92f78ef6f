package fleet

import (
	"math/bits"
	"time"

	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/verdict"
)

// observers returns this member, the members present, and the other members of this member's last view. The last view counts so that
// a few members that are partitioned together do not take themselves for a majority.
func (c *Core) observers() []verdict.Peer {
	v, has := c.views.View()
	all := []verdict.Peer{{Name: c.cfg.Member.Name, Zone: c.cfg.Member.Zone}}
	for _, other := range c.member.Others() {
		if _, included := v.Find(other.Name); other.Present() || has && included {
			all = append(all, verdict.Peer{Name: other.Name, Zone: other.Zone})
		}
	}
	return all
}

// stepEvaluator steps the evaluator of execute nodes and carries out its actions.
func (c *Core) stepEvaluator(event verdict.Event) {
	for _, a := range c.evaluator.Step(c.now, event) {
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

// Evaluator returns the evaluator of execute nodes; nil: verdicts are off.
func (c *Core) Evaluator() *verdict.Evaluator { return c.evaluator }

// Suspensions returns the table of suspended execute nodes.
func (c *Core) Suspensions() *verdict.Table { return &c.suspensions }

// publishSuspensions gossips new statements on suspended nodes. Each member gossips a statement once, when it first gets it, so that
// all members have it within a few steps.
func (c *Core) publishSuspensions(updates []verdict.Statement) {
	c.out = append(c.out, SuspensionsChanged{c.suspensions.All()})
	c.gossip(peer.Frame{Suspensions: updates})
}

// publishDraining gossips new statements on draining nodes, likewise once at each member.
func (c *Core) publishDraining(updates []verdict.Statement) {
	c.out = append(c.out, DrainingChanged{updates})
	c.gossip(peer.Frame{Draining: updates})
}

// tablesDigest returns a digest of the tables of suspended and of draining nodes. Members compare it over the wire.
func (c *Core) tablesDigest() uint64 {
	return c.suspensions.Digest() ^ bits.RotateLeft64(c.draining.Digest(), 1)
}

// Observations provides what a member itself observes of execute nodes.
type Observations interface {
	// Evidence returns the outcomes of recent attempts at each node, as of a time.
	Evidence(now time.Duration) []verdict.Evidence
	// Listed returns the nodes on the member's list.
	Listed() []verdict.Node
	// Forget drops the evidence of a node.
	Forget(node string)
}
