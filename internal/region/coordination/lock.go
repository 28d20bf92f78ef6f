package coordination

import (
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// callName returns a name for the call that is unique among the calls of all machines.
func callName(call *pb.CoordinationCall) string {
	return call.GetOrigin() + "/" + strconv.FormatUint(call.GetId(), 36)
}

// acquire grants a lock that is free or that the caller already holds. Every acquisition gets a new fencing token
// (fence), even one by the current holder, so that a delayed release with an earlier token has no effect.
func acquire(lock *pb.LockState, call string, wanted *pb.AcquireLock, conditions register.Conditions) register.Outcome {
	remaining := conditions.LeaseRemaining
	isHeld := lock.GetHolder() != "" && remaining > 0
	isHolder := lock.GetHolder() == wanted.GetHolder()
	switch {
	case lock.GetAcquiredBy() == call:
		return okWithFence(lock.GetFence()) // the call was executed before, and the lock possibly released since
	case isHeld && !isHolder:
		return outcomeOnly(pb.CoordinationResult_OUTCOME_HELD_BY_OTHER)
	}
	next := &pb.LockState{
		Fence:      lock.GetFence() + 1,
		Holder:     wanted.GetHolder(),
		AcquiredBy: call,
		FirstFence: lock.GetFence() + 1,
	}
	if isHolder && isHeld {
		next.FirstFence = lock.GetFirstFence()
	} else {
		remaining = 0
	}
	return grant(next, conditions.BatchID, wanted.GetHoldMs(), remaining)
}

// renew extends the lease. The holder may present the fencing token of any acquisition since it last became the holder:
// if it sent two acquisitions, it may have received only the answer to the first.
func renew(lock *pb.LockState, wanted *pb.RenewLock, conditions register.Conditions) register.Outcome {
	remaining := conditions.LeaseRemaining
	isHolder := lock.GetHolder() != "" && lock.GetHolder() == wanted.GetHolder()
	isOwnFence := wanted.GetFence() >= lock.GetFirstFence() && wanted.GetFence() <= lock.GetFence()
	if !isHolder || !isOwnFence || remaining <= 0 {
		return outcomeOnly(pb.CoordinationResult_OUTCOME_HELD_BY_OTHER)
	}
	next := &pb.LockState{
		Fence:      lock.GetFence(),
		Holder:     lock.GetHolder(),
		AcquiredBy: lock.GetAcquiredBy(),
		FirstFence: lock.GetFirstFence(),
	}
	return grant(next, conditions.BatchID, wanted.GetHoldMs(), remaining)
}

// release frees the lock if the given holder holds it with the given fencing token; otherwise it changes nothing.
func release(lock *pb.LockState, wanted *pb.ReleaseLock) register.Outcome {
	outcome := outcomeOnly(pb.CoordinationResult_OUTCOME_OK)
	if lock.GetHolder() != "" && lock.GetHolder() == wanted.GetHolder() && lock.GetFence() == wanted.GetFence() {
		outcome.Change = wholeChange(lockValue(&pb.LockState{Fence: lock.GetFence(), AcquiredBy: lock.GetAcquiredBy()}))
	}
	return outcome
}

// grant completes a state that grants a lock to its holder, for the requested time but not for less than the remaining
// time of the previous lease: the caller may not have received the answer to this call yet and still rely on the
// previous lease. A grant is identified by its batch, not by its call, because a call that is executed again grants a
// new lease, which begins with the second execution.
func grant(next *pb.LockState, batchID string, holdMs uint32, remaining time.Duration) register.Outcome {
	hold := max(time.Duration(holdMs)*time.Millisecond, remaining)
	next.HoldMs = uint32(hold.Milliseconds()) + 1 // rounded up
	next.GrantedBy = batchID
	outcome := okWithFence(next.GetFence())
	outcome.Change = wholeChange(lockValue(next))
	outcome.LeaseDuration = hold
	return outcome
}

func okWithFence(fence uint64) register.Outcome {
	return unchanged(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK, Fence: fence})
}

func lockValue(lock *pb.LockState) *pb.RegisterValue {
	return &pb.RegisterValue{Kind: &pb.RegisterValue_Lock{Lock: lock}}
}
