package coordination

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Times and bounds of calls at their origin.
const (
	// CallTimeout is how long a call may take. Callers turn to another machine after a second.
	CallTimeout = 900 * time.Millisecond
	// attemptTimeout is how long the proposer may take before another one is asked.
	attemptTimeout = 300 * time.Millisecond
	// maxWatchSegment is how long a watch stays at one proposer before it is sent again, to whoever proposes then.
	maxWatchSegment = time.Second
	// maxPendingCalls bounds the calls that have arrived here and have no result.
	maxPendingCalls = 1024
)

// origin holds the calls that arrived at this machine.
type origin struct {
	engine *Engine
	// lastID begins at random in each run of this process, so that results for an earlier run match none.
	lastID  uint64
	pending []*pendingCall
}

type pendingCall struct {
	request  uint64
	call     *pb.CoordinationCall
	deadline time.Duration
	watchEnd time.Duration // of a watch
	sentAt   time.Duration
	target   string // identity of the machine that was asked last; empty: it has answered, or none was asked
	// maybeExecuted: a machine that was asked has not answered that it did not execute the call.
	maybeExecuted bool
}

// submit takes a call. A call that may have waited for a stalled process is refused, as its caller may have gone.
func (o *origin) submit(now time.Duration, request uint64, call *pb.CoordinationCall) {
	if !o.engine.canSubmit() || len(o.pending) >= maxPendingCalls {
		o.engine.host.ReplyToCaller(request, &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE})
		return
	}
	o.lastID++
	call.Id = o.lastID
	call.Origin = o.engine.name
	wait := time.Duration(call.GetWatch().GetWaitMs()) * time.Millisecond
	pending := &pendingCall{request: request, call: call, deadline: now + wait + CallTimeout, watchEnd: now + wait}
	o.pending = append(o.pending, pending)
	o.forward(now, pending)
}

// cancel forgets a call whose caller has gone.
func (o *origin) cancel(request uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(pending *pendingCall) bool { return pending.request == request })
}

// forward sends a call to the machine that proposes for its register.
func (o *origin) forward(now time.Duration, pending *pendingCall) {
	register := registerOf(pending.call)
	target := o.engine.routing.proposerFor(now, register, o.engine.replica.Membership().Voters)
	if target == nil {
		return
	}
	pending.sentAt = now
	pending.target = target.GetIdentity()
	call := pending.call
	if call.GetWatch() != nil {
		call = o.watchSegment(now, pending)
	}
	o.engine.sendCall(now, register, target, call)
}

// watchSegment is the part of a watch that stays at one proposer.
func (o *origin) watchSegment(now time.Duration, pending *pendingCall) *pb.CoordinationCall {
	watch := pending.call.GetWatch()
	wait := min(max(pending.watchEnd-now, 0), maxWatchSegment)
	return &pb.CoordinationCall{
		Id:     pending.call.GetId(),
		Origin: pending.call.GetOrigin(),
		Operation: &pb.CoordinationCall_Watch{Watch: &pb.WatchGroup{
			Group:  watch.GetGroup(),
			After:  watch.GetAfter(),
			WaitMs: uint32(wait.Milliseconds()),
		}},
	}
}

// receive takes a result. Calls that are not finished are sent again at the next tick.
func (o *origin) receive(now time.Duration, from *pb.Replica, result *pb.CoordinationResult) {
	index := slices.IndexFunc(o.pending, func(pending *pendingCall) bool { return pending.call.GetId() == result.GetId() })
	if index < 0 {
		return
	}
	pending := o.pending[index]
	o.engine.routing.clearSuspicion(from.GetIdentity())
	isLast := pending.target == from.GetIdentity()
	switch result.GetOutcome() {
	case pb.CoordinationResult_OUTCOME_UNKNOWN:
		pending.maybeExecuted = true
		pending.answered(isLast)
	case pb.CoordinationResult_OUTCOME_UNAVAILABLE:
		pending.answered(isLast)
	case pb.CoordinationResult_OUTCOME_BUSY:
		if isLast && !pending.maybeExecuted {
			o.finish(pending, result)
			return
		}
		pending.answered(isLast)
	case pb.CoordinationResult_OUTCOME_REVISION_MISMATCH:
		if pending.maySucceedLater(result) {
			result = &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNKNOWN}
		}
		o.finish(pending, result)
	default:
		if pending.call.GetWatch() != nil && o.isUnfinishedWatch(now, pending, result) {
			pending.answered(isLast)
			o.forward(now, pending)
			return
		}
		o.finish(pending, result)
	}
}

// maySucceedLater reports whether a put that found another revision than it expected may succeed all the same: another machine
// that was asked executes it when the key has come to that revision.
func (p *pendingCall) maySucceedLater(mismatch *pb.CoordinationResult) bool {
	return p.maybeExecuted && mismatch.GetRevision() < p.call.GetPut().GetExpectedRevision()
}

// answered records that the machine that was asked last need not be waited for.
func (p *pendingCall) answered(isLast bool) {
	if isLast {
		p.target = ""
	}
}

// isUnfinishedWatch reports whether a watch has nothing to tell yet and time is left.
func (o *origin) isUnfinishedWatch(now time.Duration, pending *pendingCall, result *pb.CoordinationResult) bool {
	hasNothing := result.GetOutcome() == pb.CoordinationResult_OUTCOME_OK && len(result.GetEvents()) == 0
	return hasNothing && pending.call.GetWatch().GetAfter() > 0 && now < pending.watchEnd
}

// finish answers the caller.
func (o *origin) finish(pending *pendingCall, result *pb.CoordinationResult) {
	o.pending = slices.DeleteFunc(o.pending, func(other *pendingCall) bool { return other == pending })
	o.engine.host.ReplyToCaller(pending.request, result)
}

// tick answers the calls whose time is up, and sends those again that were not executed or have no answer.
func (o *origin) tick(now time.Duration) {
	for _, pending := range slices.Clone(o.pending) {
		switch {
		case now >= pending.deadline:
			o.finish(pending, pending.timeoutResult())
		case pending.target == "":
			o.forward(now, pending)
		case now-pending.sentAt >= o.timeoutOf(pending):
			o.engine.routing.suspect(now, pending.target)
			pending.maybeExecuted = true
			o.forward(now, pending)
		}
	}
}

// timeoutOf is how long the machine that was asked last may take.
func (o *origin) timeoutOf(pending *pendingCall) time.Duration {
	if pending.call.GetWatch() == nil {
		return attemptTimeout
	}
	return min(max(pending.watchEnd-pending.sentAt, 0), maxWatchSegment) + attemptTimeout
}

// timeoutResult is the result of a call whose time is up.
func (p *pendingCall) timeoutResult() *pb.CoordinationResult {
	outcome := pb.CoordinationResult_OUTCOME_UNAVAILABLE
	if p.maybeExecuted || p.target != "" {
		outcome = pb.CoordinationResult_OUTCOME_UNKNOWN
	}
	return &pb.CoordinationResult{Outcome: outcome}
}
