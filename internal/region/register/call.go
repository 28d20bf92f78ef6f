package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Conditions are what the execution of a call may depend on besides the value.
type Conditions struct {
	// HoldRemaining is how much longer the holder of a lock may take itself for the holder, at most; negative when that
	// time is over.
	HoldRemaining time.Duration
	// Round names the round among those of all proposers. A call that is executed again is executed in another one.
	Round string
}

// Outcome is what a call does to a value.
type Outcome struct {
	// Result leaves when a majority holds the value that the call led to, or that it found.
	Result *pb.CoordinationResult
	// Change leads to the new value; nil: the call changes nothing.
	Change *pb.RegisterChange
	// HoldFor is how long from now the new value gives a lock to its holder; meaningful with a Change of a lock.
	HoldFor time.Duration
	// Wait has the call wait for a later value, instead of Result: it is a watch to which nothing can be told yet.
	Wait bool
}

// Execute executes a call on a value; nil: the register was never written. It must not modify the value, and must bear that
// a call is executed again, on a later value, although it had its effect before.
type Execute func(value *pb.RegisterValue, call *pb.CoordinationCall, conditions Conditions) Outcome

// operation is a call at a proposer.
type operation struct {
	call    *pb.CoordinationCall
	from    *pb.Replica // where it arrived in the system
	arrived time.Duration
	// proposed: a round that may have changed the value contained it.
	proposed bool
}

// result fills in which call a result belongs to.
func (o *operation) result(result *pb.CoordinationResult) *pb.CoordinationResult {
	result.Id = o.call.GetId()
	return result
}

// unfinished is the result of a call that this machine does not go on with.
func (o *operation) unfinished() *pb.CoordinationResult {
	if o.proposed {
		return o.result(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNKNOWN})
	}
	return o.result(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE})
}
