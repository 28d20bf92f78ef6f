package coordination

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Timeouts and limits of calls at their origin.
const (
	// CallTimeout is how long a call may take. Callers retry at another machine after one second.
	CallTimeout = 900 * time.Millisecond
	// attemptTimeout is how long a proposer may take to answer before the call is sent to another machine.
	attemptTimeout = 300 * time.Millisecond
	// maxWatchSegment is how long a watch stays at one proposer before it is sent again, to the machine that should
	// then propose for the register.
	maxWatchSegment = time.Second
	// maxPendingCalls is the maximum number of calls that arrived at this machine and have no result yet.
	maxPendingCalls = 1024
)

// origin manages the calls that arrived at this machine.
type origin struct {
	engine *Engine
	// lastID starts at a random value in each run of the process, so that a result for an earlier run matches no call.
	lastID  uint64
	pending []*pendingCall
}

type pendingCall struct {
	request  uint64
	call     *pb.CoordinationCall
	deadline time.Duration
	watchEnd time.Duration // end of the wait time of a watch
	sentAt   time.Duration
	target   string // identity of the machine whose answer the call awaits; empty: there is none
	// maybeExecuted is set if a machine that the call was sent to has not confirmed that it did not execute the call.
	maybeExecuted bool
}

// submit processes a call. It refuses the call if a stall of this process may have delayed the call, since the caller
// may have given up, and if no call can succeed now.
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

// cancel drops a call whose result is no longer awaited.
func (o *origin) cancel(request uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(pending *pendingCall) bool { return pending.request == request })
}

// forward sends a call to the machine that should propose for its register.
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

// watchSegment returns the part of a watch that is sent to one proposer.
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

// receive handles a result. If the machine that the call was last sent to has answered without finishing the call, the
// call is sent again, at the latest at the next tick.
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

// maySucceedLater reports whether a put that was rejected for its expected revision may still succeed: another machine
// that the call was sent to may execute the put once the key has reached that revision.
func (p *pendingCall) maySucceedLater(mismatch *pb.CoordinationResult) bool {
	return p.maybeExecuted && mismatch.GetRevision() < p.call.GetPut().GetExpectedRevision()
}

// answered clears the target if the answer came from the machine that the call was last sent to.
func (p *pendingCall) answered(isLast bool) {
	if isLast {
		p.target = ""
	}
}

// isUnfinishedWatch reports whether a watch has nothing to report yet and has wait time left.
func (o *origin) isUnfinishedWatch(now time.Duration, pending *pendingCall, result *pb.CoordinationResult) bool {
	hasNothing := result.GetOutcome() == pb.CoordinationResult_OUTCOME_OK && len(result.GetEvents()) == 0
	return hasNothing && pending.call.GetWatch().GetAfter() > 0 && now < pending.watchEnd
}

// finish returns the result to the caller.
func (o *origin) finish(pending *pendingCall, result *pb.CoordinationResult) {
	o.pending = slices.DeleteFunc(o.pending, func(other *pendingCall) bool { return other == pending })
	o.engine.host.ReplyToCaller(pending.request, result)
}

// tick answers the calls whose deadline has passed, and resends the calls that were not executed or not answered in
// time.
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

// timeoutOf returns how long the machine that a call was last sent to may take to answer.
func (o *origin) timeoutOf(pending *pendingCall) time.Duration {
	if pending.call.GetWatch() == nil {
		return attemptTimeout
	}
	return min(max(pending.watchEnd-pending.sentAt, 0), maxWatchSegment) + attemptTimeout
}

// timeoutResult returns the result of a call whose deadline has passed.
func (p *pendingCall) timeoutResult() *pb.CoordinationResult {
	outcome := pb.CoordinationResult_OUTCOME_UNAVAILABLE
	if p.maybeExecuted || p.target != "" {
		outcome = pb.CoordinationResult_OUTCOME_UNKNOWN
	}
	return &pb.CoordinationResult{Outcome: outcome}
}
