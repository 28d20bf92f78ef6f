package callers

import (
	"fmt"
	"time"

	"fieldrelay/internal/testkit/history"
)

// StartFinalCalls starts calls that read the state of all locks, counters, keys and watched groups, each until it is answered.
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

// StartProbes makes one call of each of several kinds, repeats it until it is answered, and then reports its kind to served. It
// returns the number of kinds.
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

// probe repeats a call until a machine answers it, even if the answer is that another caller holds the lock.
func (c *caller) probe(wanted history.Call, served func(history.Kind)) {
	c.call(wanted, func(call *history.Call) {
		if isOpen(call) {
			c.all.env.After(c.all.between(50*time.Millisecond, 150*time.Millisecond), func() { c.probe(wanted, served) })
			return
		}
		served(call.Kind)
	})
}

// callUntilAnswered repeats a call until it is answered and, for a lock, granted.
func (c *caller) callUntilAnswered(wanted history.Call) {
	c.call(wanted, func(call *history.Call) {
		switch call.Outcome {
		case history.Unclear, history.Refused, history.Held:
			c.all.env.After(c.all.between(50*time.Millisecond, 150*time.Millisecond), func() { c.callUntilAnswered(wanted) })
		}
	})
}
