package coordination

import (
	"fmt"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/testkit/history"
)

// How callers behave.
const (
	callerTimeout = time.Second
	// putAgainFor is for how long a put without a clear answer is sent again.
	putAgainFor = 3 * time.Second
	// finalPause is between the last calls and those by which callers find out what was kept.
	finalPause = callerTimeout
)

// Names that callers use.
var (
	lockNames    = []string{"l1", "l2"}
	counterNames = []string{"n1", "n2"}
	keyNames     = []string{"g.a", "g.b", "h.a", "h.b"}
	groupNames   = []string{"g.", "h."}
)

// freshKeyInterval is how long a fresh key is in use: its group is one that was never written before.
const freshKeyInterval = 500 * time.Millisecond

// callers are the applications of a run.
type callers struct {
	simulation *simulation
	stopped    bool
	watchers   []*watcher
}

func (s *simulation) startCallers() *callers {
	all := &callers{simulation: s}
	for number := range 4 {
		(&locker{caller: all.newCaller(fmt.Sprintf("locker%d", number))}).rest()
	}
	for number := range 2 {
		all.newCaller(fmt.Sprintf("numberer%d", number)).takeNumbers()
	}
	for number := range 3 {
		writer := &putter{caller: all.newCaller(fmt.Sprintf("putter%d", number)), known: make(map[string]uint64)}
		writer.rest()
	}
	for number := range 2 {
		all.newCaller(fmt.Sprintf("reader%d", number)).readKeys()
	}
	for number := range 2 {
		watching := &watcher{caller: all.newCaller(fmt.Sprintf("watcher%d", number)), group: groupNames[number]}
		all.watchers = append(all.watchers, watching)
		watching.watch()
	}
	return all
}

// stop has no caller begin another call.
func (c *callers) stop() { c.stopped = true }

// caller makes one call at a time.
type caller struct {
	all  *callers
	name string
	pace time.Duration
	turn int // which machine it asks
}

func (c *callers) newCaller(name string) *caller {
	return &caller{
		all:  c,
		name: name,
		pace: c.simulation.between(10, 300),
		turn: c.simulation.random.IntN(16),
	}
}

func (c *caller) simulation() *simulation { return c.all.simulation }

// pause goes on after a while, unless the callers have stopped.
func (c *caller) pause(most time.Duration, next func()) {
	s := c.simulation()
	s.after(time.Duration(s.random.Float64()*float64(most)), func() {
		if !c.all.stopped {
			next()
		}
	})
}

// attempt is a call on its way.
type attempt struct {
	caller *caller
	call   *history.Call
	done   bool
	then   func(*history.Call)
}

// call makes a call and goes on with its outcome. After one without a clear answer or a refusal it turns to another machine.
func (c *caller) call(wanted history.Call, then func(*history.Call)) {
	s := c.simulation()
	wanted.Caller = c.name
	wanted.Sent = s.now
	started := &attempt{caller: c, call: &wanted, then: then}
	s.calls = append(s.calls, started.call)
	timeout := callerTimeout
	request := requestOf(wanted)
	if watch := request.GetWatch(); watch != nil {
		timeout += time.Duration(watch.GetWaitMs()) * time.Millisecond
	}
	cancel := func() {}
	target := s.machines[c.turn%len(s.machines)]
	s.after(s.between(1, 5), func() {
		if !target.running {
			started.finish(history.Unclear)
			return
		}
		target.do(func() {
			if !started.done {
				cancel = target.submit(request, started.answered)
			}
		})
	})
	s.after(timeout, func() {
		if !started.done {
			cancel()
			started.finish(history.Unclear)
		}
	})
}

// answered takes a result where the call arrived.
func (a *attempt) answered(result *pb.CoordinationResult) {
	s := a.caller.simulation()
	delay := s.between(1, 5)
	if s.chance(s.network.lateness) {
		delay = s.between(5, 1500)
	}
	s.after(delay, func() {
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
	})
}

func (a *attempt) finish(outcome history.Outcome) {
	a.done = true
	a.call.Outcome = outcome
	a.call.Answered = a.caller.simulation().now
	if outcome == history.Unclear || outcome == history.Refused {
		a.caller.turn++
	}
	a.then(a.call)
}

func outcomeOf(result *pb.CoordinationResult) history.Outcome {
	switch result.GetOutcome() {
	case pb.CoordinationResult_OUTCOME_OK:
		return history.OK
	case pb.CoordinationResult_OUTCOME_HELD_BY_OTHER:
		return history.Held
	case pb.CoordinationResult_OUTCOME_REVISION_MISMATCH:
		return history.Mismatch
	case pb.CoordinationResult_OUTCOME_NOT_FOUND:
		return history.NotFound
	case pb.CoordinationResult_OUTCOME_COMPACTED:
		return history.Compacted
	case pb.CoordinationResult_OUTCOME_BUSY, pb.CoordinationResult_OUTCOME_UNAVAILABLE:
		return history.Refused
	default:
		return history.Unclear
	}
}

const watchWait = 800 * time.Millisecond

// requestOf is a call as the machines take it.
func requestOf(call history.Call) *pb.CoordinationCall {
	request := &pb.CoordinationCall{}
	holdMs := uint32(call.Hold.Milliseconds())
	switch call.Kind {
	case history.Acquire:
		request.Operation = &pb.CoordinationCall_Acquire{Acquire: &pb.AcquireLock{Name: call.Name, Holder: call.Caller, HoldMs: holdMs}}
	case history.Renew:
		renewal := &pb.RenewLock{Name: call.Name, Holder: call.Caller, Fence: call.Fence, HoldMs: holdMs}
		request.Operation = &pb.CoordinationCall_Renew{Renew: renewal}
	case history.Release:
		request.Operation = &pb.CoordinationCall_Release{Release: &pb.ReleaseLock{Name: call.Name, Holder: call.Caller, Fence: call.Fence}}
	case history.Number:
		request.Operation = &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{Name: call.Name}}
	case history.Put:
		request.Operation = &pb.CoordinationCall_Put{Put: &pb.PutKey{Name: call.Name, Value: call.Value, ExpectedRevision: call.Expected}}
	case history.Read:
		request.Operation = &pb.CoordinationCall_Read{Read: &pb.ReadKey{Name: call.Name}}
	case history.Watch:
		watch := &pb.WatchGroup{Group: call.Name, After: call.After, WaitMs: uint32(watchWait.Milliseconds())}
		request.Operation = &pb.CoordinationCall_Watch{Watch: watch}
	}
	return request
}

func (c *caller) takeNumbers() {
	c.call(history.Call{Kind: history.Number, Name: pick(c.simulation(), counterNames)}, func(*history.Call) {
		c.pause(c.pace, c.takeNumbers)
	})
}

// someKey is one of the keys that are used all the time, or the fresh one.
func (c *caller) someKey() string {
	s := c.simulation()
	if s.chance(0.2) {
		return fmt.Sprintf("fresh%d.a", s.now/freshKeyInterval)
	}
	return pick(s, keyNames)
}

func (c *caller) readKeys() {
	c.call(history.Call{Kind: history.Read, Name: c.someKey()}, func(*history.Call) {
		c.pause(c.pace, c.readKeys)
	})
}

// watcher resumes from the revision that it was given last.
type watcher struct {
	*caller
	group string
	after uint64
}

func (w *watcher) watch() {
	w.call(history.Call{Kind: history.Watch, Name: w.group, After: w.after}, func(call *history.Call) {
		switch call.Outcome {
		case history.OK:
			w.after = call.Revision
		case history.Compacted:
			w.after = 0
		}
		w.pause(w.pace, w.watch)
	})
}

// putter writes keys, with a condition or without one, and sends again what had no clear answer.
type putter struct {
	*caller
	known  map[string]uint64 // by key
	values int
}

func (p *putter) rest() { p.pause(p.pace, p.begin) }

func (p *putter) begin() {
	s := p.simulation()
	p.values++
	put := history.Call{Kind: history.Put, Name: p.someKey(), Value: fmt.Sprintf("%s-%d", p.name, p.values)}
	if s.chance(0.6) {
		expected := p.known[put.Name]
		if s.chance(0.1) {
			expected += uint64(s.random.IntN(2))
		}
		put.Expected = &expected
	}
	p.send(put, s.now+putAgainFor)
}

func (p *putter) send(put history.Call, until time.Duration) {
	p.call(put, func(call *history.Call) {
		isOpen := call.Outcome == history.Unclear || call.Outcome == history.Refused
		switch {
		case isOpen && call.Answered < until:
			p.pause(50*time.Millisecond, func() { p.send(put, until) })
			return
		case call.Outcome == history.OK || call.Outcome == history.Mismatch:
			p.known[put.Name] = call.Revision
		}
		p.rest()
	})
}

// locker holds locks: briefly or long, and some time it dies while it holds, or sleeps past its time.
type locker struct {
	*caller
	lock  string
	fence uint64
	until time.Duration
}

func (l *locker) rest() { l.pause(l.pace, l.begin) }

func (l *locker) hold() time.Duration {
	return pick(l.simulation(), []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second})
}

func (l *locker) begin() {
	l.lock = pick(l.simulation(), lockNames)
	l.acquire(l.usePlan)
}

// acquire asks for the lock, which it may hold already.
func (l *locker) acquire(then func()) {
	l.call(history.Call{Kind: history.Acquire, Name: l.lock, Hold: l.hold()}, func(call *history.Call) {
		l.granted(call, then)
	})
}

func (l *locker) renew(then func()) {
	l.call(history.Call{Kind: history.Renew, Name: l.lock, Fence: l.fence, Hold: l.hold()}, func(call *history.Call) {
		l.granted(call, then)
	})
}

// granted goes on if the caller holds the lock, and gives it up otherwise.
func (l *locker) granted(call *history.Call, then func()) {
	isHolder := call.Outcome == history.OK && call.Answered < call.Sent+call.Hold
	if call.Kind == history.Renew {
		isHolder = isHolder && call.Answered < l.until
	}
	isOpen := call.Outcome == history.Unclear || call.Outcome == history.Refused
	switch {
	case isHolder:
		l.fence = call.Fence
		l.until = call.Sent + call.Hold
		then()
	case isOpen && call.Kind == history.Renew && call.Answered < l.until:
		l.renew(then)
	default:
		l.rest()
	}
}

// usePlan draws what the holder does.
func (l *locker) usePlan() {
	s := l.simulation()
	switch s.random.IntN(6) {
	case 0, 1:
		l.pause(l.left(), l.release)
	case 2, 3:
		l.keep(s.now + s.between(500, 5000))
	case 4: // it dies, and starts again
		s.after(s.between(50, 4000), l.rest)
	case 5:
		s.after(l.left()+s.between(0, 1500), l.wakeLate)
	}
}

// left is how much longer the caller holds the lock.
func (l *locker) left() time.Duration { return max(l.until-l.simulation().now, 0) }

// keep holds the lock for long.
func (l *locker) keep(end time.Duration) {
	if l.simulation().now >= end {
		l.release()
		return
	}
	l.pause(l.left()*2/3, func() {
		again := func() { l.keep(end) }
		if l.simulation().chance(0.2) {
			l.acquire(again)
		} else {
			l.renew(again)
		}
	})
}

// wakeLate uses a fence after its time.
func (l *locker) wakeLate() {
	if l.simulation().chance(0.5) {
		l.release()
		return
	}
	l.renew(l.usePlan)
}

func (l *locker) release() {
	l.call(history.Call{Kind: history.Release, Name: l.lock, Fence: l.fence}, func(call *history.Call) {
		if call.Outcome != history.OK && l.simulation().chance(0.5) {
			l.pause(l.pace, l.release)
			return
		}
		l.rest()
	})
}

// startFinalCalls finds out what was kept.
func (s *simulation) startFinalCalls(all *callers) {
	for _, name := range lockNames {
		all.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Acquire, Name: name, Hold: time.Second, Final: true})
	}
	for _, name := range counterNames {
		all.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Number, Name: name, Final: true})
	}
	for _, name := range keyNames {
		all.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Read, Name: name, Final: true})
	}
	for fresh := range (faultsFor + settleFor) / freshKeyInterval {
		name := fmt.Sprintf("fresh%d.a", fresh)
		all.newCaller("final " + name).callUntilAnswered(history.Call{Kind: history.Read, Name: name, Final: true})
	}
	for _, watching := range all.watchers {
		watching.callUntilAnswered(history.Call{Kind: history.Watch, Name: watching.group, After: watching.after, Final: true})
	}
}

// callUntilAnswered makes a call again and again until it is answered.
func (c *caller) callUntilAnswered(wanted history.Call) {
	c.call(wanted, func(call *history.Call) {
		switch call.Outcome {
		case history.Unclear, history.Refused, history.Held:
			s := c.simulation()
			s.after(s.between(50, 150), func() { c.callUntilAnswered(wanted) })
		}
	})
}
