package callers

import (
	"fmt"
	"time"

	"fieldrelay/internal/testkit/history"
)

// StartFinalCalls finds out what was kept.
func (c *Callers) StartFinalCalls() {
	for _, name := range lockNames {
		c.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Acquire, Name: name, Hold: time.Second, Final: true})
	}
	for _, name := range counterNames {
		c.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Number, Name: name, Final: true})
	}
	for _, name := range keyNames {
		c.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Read, Name: name, Final: true})
	}
	for fresh := range c.env.Now() / freshKeyInterval {
		name := fmt.Sprintf("fresh%d.a", fresh)
		c.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Read, Name: name, Final: true})
	}
	for _, watching := range c.watchers {
		watching.callUntilAnswered(history.Call{Kind: history.Watch, Name: watching.group, After: watching.after, Final: true})
	}
}

// StartProbes makes calls of some kinds, each until it is answered and then reported; it returns how many kinds there are.
func (c *Callers) StartProbes(served func(history.Kind)) int {
	probes := []history.Call{
		{Kind: history.Acquire, Name: lockNames[0], Hold: time.Second},
		{Kind: history.Number, Name: counterNames[0]},
		{Kind: history.Put, Name: keyNames[0], Value: fmt.Sprintf("probe-%d", c.env.Now())},
		{Kind: history.Read, Name: keyNames[1]},
	}
	for _, wanted := range probes {
		c.newCaller("probe "+string(wanted.Kind)).probe(wanted, served)
	}
	return len(probes)
}

// probe makes a call again and again until a machine answers it, if only that another caller holds the lock.
func (c *caller) probe(wanted history.Call, served func(history.Kind)) {
	c.call(wanted, func(call *history.Call) {
		if isOpen(call) {
			c.all.env.After(c.all.between(50*time.Millisecond, 150*time.Millisecond), func() { c.probe(wanted, served) })
			return
		}
		served(call.Kind)
	})
}

// callUntilAnswered makes a call again and again until it is answered.
func (c *caller) callUntilAnswered(wanted history.Call) {
	c.call(wanted, func(call *history.Call) {
		switch call.Outcome {
		case history.Unclear, history.Refused, history.Held:
			c.all.env.After(c.all.between(50*time.Millisecond, 150*time.Millisecond), func() { c.callUntilAnswered(wanted) })
		}
	})
}
