package fleet

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// errBusy is the error of a call that the actor did not carry out within actorTimeout, or at all because it has ended.
var errBusy = errors.New("fleet busy or closed")

// Peers returns a line for each known member, this one first: name, state, incarnation, time since the last contact, address,
// number of the view in force here if the member belongs to that view, boot, and whether the member votes or leads.
func (f *Fleet) Peers() (lines []string, err error) {
	if !f.runOnActor(func() { lines = f.core.peerLines(time.Since(f.origin)) }) {
		return nil, errBusy
	}
	return lines, nil
}

// peerLines returns the lines of Peers.
func (c *Core) peerLines(now time.Duration) (lines []string) {
	self := c.member.Self()
	lease := max(0, c.views.LeaseEnd()-now)
	lines = append(lines, fmt.Sprintf("%s self inc=%d heard=0ms addr=%s view=%s mode=%s held=%dms boot=%x%s", self.Name, self.Incarnation, self.Addr,
		c.viewOf(self.Name, self.Boot), strings.ReplaceAll(c.mode.String(), " ", "-"), lease.Milliseconds(), self.Boot, c.voterRole(self.Name)))
	for _, other := range c.member.Others() {
		contact := "never"
		if other.LastContact >= 0 {
			contact = fmt.Sprintf("%dms", (now - other.LastContact).Milliseconds())
		}
		lines = append(lines, fmt.Sprintf("%s %s inc=%d heard=%s addr=%s view=%s boot=%x%s", other.Name, other.State, other.Incarnation, contact, other.Addr,
			c.viewOf(other.Name, other.Boot), other.Boot, c.voterRole(other.Name)))
	}
	return lines
}

// viewOf returns the number of the view in force here if that view contains a process, else "none".
func (c *Core) viewOf(name string, boot uint64) string {
	v, has := c.views.View()
	if m, ok := v.Find(name); has && ok && m.Boot == boot {
		return v.ID.String()
	}
	return "none"
}

// voterRole returns the suffix of a member's line: " leads", " votes" or nothing.
func (c *Core) voterRole(name string) string {
	if name == c.cfg.Member.Name && !c.views.IsEffectiveVoter() {
		return "" // an earlier process of this name was a voter, and the group may still count that one instead
	}
	group, leader := c.views.VoterGroup()
	for _, voter := range group.Voters {
		if voter.Name == name && name == leader {
			return " leads"
		} else if voter.Name == name {
			return " votes"
		}
	}
	return ""
}

// Recover forms a new group of voters that consists of this process alone, by the operator's decision.
func (f *Fleet) Recover() error {
	if !f.runOnActor(func() { f.step(Recover{}) }) {
		return errBusy
	}
	return nil
}

// Quotas returns a line for each limit of the fleet.
func (f *Fleet) Quotas() []string { return f.limits.statusLines() }

// Verdicts returns a line for each execute node that some member rates bad, or that is or was under a verdict.
func (f *Fleet) Verdicts() (lines []string, err error) {
	if !f.observations.enabled {
		return nil, errors.New("fleet.verdicts off")
	}
	if !f.runOnActor(func() { lines = f.core.Evaluator().Lines(time.Since(f.origin)) }) {
		return nil, errBusy
	}
	return lines, nil
}

// SetSuspended suspends an execute node for the whole fleet, or restores it.
func (f *Fleet) SetSuspended(node string, suspended bool) error {
	if !f.runOnActor(func() { f.step(SetSuspended{Node: node, Suspended: suspended}) }) {
		return errBusy
	}
	return nil
}

// Rules returns the state of the rules at this member, as lines for the operator.
func (f *Fleet) Rules() (lines []string, err error) {
	if !f.rules.enabled {
		return nil, errors.New("rules off")
	}
	if !f.runOnActor(func() { lines = f.core.Skew().Lines() }) {
		return nil, errBusy
	}
	return lines, nil
}
