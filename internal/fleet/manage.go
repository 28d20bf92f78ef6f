package fleet

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Peers has a line for each member that is known, this one first: name, state, incarnation, last heard, address, the view
// in which it belongs to those that this process goes by, boot, and whether it votes or leads.
func (f *Fleet) Peers() ([]string, error) {
	var lines []string
	ok := f.runOnActor(func() {
		now, self := time.Since(f.origin), f.core.Members().Self()
		v, has := f.core.Views().View()
		in := func(name string, boot uint64) string {
			if m, ok := v.Find(name); has && ok && m.Boot == boot {
				return v.ID.String()
			}
			return "none"
		}
		group, leader := f.core.Views().VoterGroup()
		role := func(name string) string {
			if name == self.Name && !f.core.Views().VoteCounts() {
				return "" // one of its name did, before it was started anew, and may still be counted in its place
			}
			for _, voter := range group.Voters {
				if voter.Name == name && name == leader {
					return " leads"
				} else if voter.Name == name {
					return " votes"
				}
			}
			return ""
		}
		held := max(0, f.core.Views().LeaseEnd()-now)
		lines = append(lines, fmt.Sprintf("%s self inc=%d heard=0ms addr=%s view=%s mode=%s held=%dms boot=%x%s", self.Name, self.Incarnation, self.Addr,
			in(self.Name, self.Boot), strings.ReplaceAll(f.core.Mode().String(), " ", "-"), held.Milliseconds(), self.Boot, role(self.Name)))
		for _, k := range f.core.Members().Others() {
			heard := "never"
			if k.LastContact >= 0 {
				heard = fmt.Sprintf("%dms", (now - k.LastContact).Milliseconds())
			}
			lines = append(lines, fmt.Sprintf("%s %s inc=%d heard=%s addr=%s view=%s boot=%x%s", k.Name, k.State, k.Incarnation, heard, k.Addr,
				in(k.Name, k.Boot), k.Boot, role(k.Name)))
		}
	})
	if !ok {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}

// Recover founds a new group of voters with this process alone, by the operator's word.
func (f *Fleet) Recover() error {
	if !f.runOnActor(func() { f.step(Recover{}) }) {
		return errors.New("fleet busy or closed")
	}
	return nil
}

// Quotas has a line for each limit of the fleet.
func (f *Fleet) Quotas() []string { return f.limits.lines() }

// Verdicts has a line for each execute node that is spoken of.
func (f *Fleet) Verdicts() (lines []string, err error) {
	if !f.observations.enabled {
		return nil, errors.New("fleet.verdicts off")
	}
	if !f.runOnActor(func() { lines = f.core.Evaluator().Lines(time.Since(f.origin)) }) {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}

// SetSuspended tells the whole fleet that an execute node is suspended, or restored.
func (f *Fleet) Say(node string, suspended bool) error {
	if !f.runOnActor(func() { f.step(SetSuspended{Node: node, Suspended: suspended}) }) {
		return errors.New("fleet busy or closed")
	}
	return nil
}

// Rules has what there is to tell of rules.
func (f *Fleet) Rules() (lines []string, err error) {
	if !f.rules.enabled {
		return nil, errors.New("rules off")
	}
	if !f.runOnActor(func() { lines = f.core.Skew().Lines() }) {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}
