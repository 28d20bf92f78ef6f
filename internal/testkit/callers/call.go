package callers

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/testkit/history"
)

// caller is one simulated application, which makes one call at a time.
type caller struct {
	all  *Callers
	name string
	pace time.Duration
	turn int // selects the machine that the caller asks
}

func (c *Callers) newCaller(name string) *caller {
	return &caller{
		all:  c,
		name: name,
		pace: c.between(10*time.Millisecond, 300*time.Millisecond),
		turn: c.random.IntN(turns),
	}
}

// runAfter runs next after a random delay of less than most, unless the callers have stopped by then.
func (c *caller) runAfter(most time.Duration, next func()) {
	c.all.env.After(time.Duration(c.all.random.Float64()*float64(most)), func() {
		if !c.all.stopped {
			next()
		}
	})
}

// attempt is a call in progress.
type attempt struct {
	caller *caller
	call   *history.Call
	done   bool
	then   func(*history.Call)
}

// call makes a call and passes it with its outcome to then. After a refusal or a call without a clear answer, the caller turns to
// another machine.
func (c *caller) call(wanted history.Call, then func(*history.Call)) {
	wanted.Caller = c.name
	wanted.Sent = c.all.env.Now()
	started := &attempt{caller: c, call: &wanted, then: then}
	c.all.calls = append(c.all.calls, started.call)
	timeout := Timeout
	request := requestOf(wanted)
	if watch := request.GetWatch(); watch != nil {
		timeout += time.Duration(watch.GetWaitMs()) * time.Millisecond
	}
	cancel := c.all.env.Submit(c.turn, request, started.answered)
	c.all.env.After(timeout, func() {
		if !started.done {
			cancel()
			started.finish(history.Unclear)
		}
	})
}

// answered records the result of a call in the history; nil: no result will arrive.
func (a *attempt) answered(result *pb.CoordinationResult) {
	if a.done {
		return
	}
	if a.call.Kind == history.Acquire {
		a.call.Fence = result.GetFence()
	}
	a.call.Number = result.GetNumber()
	a.call.Revision = result.GetRevision()
	if a.call.Kind == history.Read {
		a.call.Value = result.GetValue()
	}
	for _, told := range result.GetEvents() {
		a.call.Events = append(a.call.Events, history.Event{Key: told.GetName(), Value: told.GetValue(), Revision: told.GetRevision()})
	}
	a.finish(outcomeOf(result))
}

func (a *attempt) finish(outcome history.Outcome) {
	a.done = true
	a.call.Outcome = outcome
	a.call.Answered = a.caller.all.env.Now()
	if isOpen(a.call) {
		a.caller.turn++
	}
	a.then(a.call)
}

// isOpen reports whether a call was refused or had no clear answer, so that it may have to be made again.
func isOpen(call *history.Call) bool {
	return call.Outcome == history.Unclear || call.Outcome == history.Refused
}
