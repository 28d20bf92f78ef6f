package coordination

import (
	"strconv"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// callName names a call among all calls of all machines.
func callName(call *pb.CoordinationCall) string {
	return call.GetOrigin() + "/" + strconv.FormatUint(call.GetId(), 36)
}

// acquire gives a lock that nobody holds, or that the caller holds. Every acquisition has a fence of its own, also one by
// the present holder: a release of the earlier fence that arrives late then ends nothing.
func acquire(lock *pb.LockState, call string, wanted *pb.AcquireLock, conditions register.Conditions) register.Outcome {
	remaining := conditions.HoldRemaining
	isHeld := lock.GetHolder() != "" && remaining > 0
	isHolder := lock.GetHolder() == wanted.GetHolder()
	switch {
	case lock.GetAcquiredBy() == call:
		return okWithFence(lock.GetFence()) // executed before, and perhaps released since
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
	return grant(next, conditions.Round, wanted.GetHoldMs(), remaining)
}

// renew gives the holder more time. It counts as the holder also by the fence of an earlier acquisition of its own, as long as
// no other caller has held the lock since: of two acquisitions that it sent, it may have the answer to the first.
func renew(lock *pb.LockState, wanted *pb.RenewLock, conditions register.Conditions) register.Outcome {
	remaining := conditions.HoldRemaining
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
	return grant(next, conditions.Round, wanted.GetHoldMs(), remaining)
}

// release ends the hold of a fence; what is not held by it stays as it is.
func release(lock *pb.LockState, wanted *pb.ReleaseLock) register.Outcome {
	outcome := outcomeOnly(pb.CoordinationResult_OUTCOME_OK)
	if lock.GetHolder() != "" && lock.GetHolder() == wanted.GetHolder() && lock.GetFence() == wanted.GetFence() {
		outcome.Change = wholeChange(lockValue(&pb.LockState{Fence: lock.GetFence(), AcquiredBy: lock.GetAcquiredBy()}))
	}
	return outcome
}

// grant completes a state that gives a lock to its holder, for as long as the call asks for and not shorter than it was
// given before: the caller may have had no answer to this call yet, and goes by the one before. A grant is known by its round,
// not by its call: executed again, a call gives the time that is left by then, from then on.
func grant(next *pb.LockState, round string, holdMs uint32, remaining time.Duration) register.Outcome {
	hold := max(time.Duration(holdMs)*time.Millisecond, remaining)
	next.HoldMs = uint32(hold.Milliseconds()) + 1 // rounded up
	next.GrantedBy = round
	outcome := okWithFence(next.GetFence())
	outcome.Change = wholeChange(lockValue(next))
	outcome.HoldFor = hold
	return outcome
}

func okWithFence(fence uint64) register.Outcome {
	return unchanged(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK, Fence: fence})
}

func lockValue(lock *pb.LockState) *pb.RegisterValue {
	return &pb.RegisterValue{Kind: &pb.RegisterValue_Lock{Lock: lock}}
}
