package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Conditions are the inputs of a call's execution other than the register's value.
type Conditions struct {
	// LeaseRemaining is an upper bound on the remaining time for which the holder of a lock may consider itself the
	// holder; it is negative after the lease has expired.
	LeaseRemaining time.Duration
	// FreeBytes is the number of bytes by which a put may increase the value.
	FreeBytes int
	// BatchID identifies the batch uniquely among the batches of all proposers. A call that is executed again is
	// executed in a different batch.
	BatchID string
}

// Outcome is the result of executing a call on a value.
type Outcome struct {
	// Result is the answer to the call, sent once a majority has accepted the value that the call produced or read.
	Result *pb.CoordinationResult
	// Change produces the new value; nil if the call changes nothing.
	Change *pb.RegisterChange
	// LeaseDuration is how long, from the execution on, the new value grants a lock to its holder. It is set only with
	// a Change that grants a lock.
	LeaseDuration time.Duration
	// Wait means that the call, a watch, has nothing to report yet and waits for a later value; Result is then unset.
	Wait bool
}

// Execute executes a call on a value, which is nil if the register was never written. Execute must not modify the
// value, and must tolerate that a call is executed again on a later value although the first execution took effect.
type Execute func(value *pb.RegisterValue, call *pb.CoordinationCall, conditions Conditions) Outcome

// operation is a call that a proposer is processing.
type operation struct {
	call    *pb.CoordinationCall
	from    *pb.Replica // machine that received the call from its caller
	arrived time.Duration
	// proposed is set once a batch that contains the call has proposed a new value.
	proposed bool
}

// result sets the id of the call in a result and returns the result.
func (o *operation) result(result *pb.CoordinationResult) *pb.CoordinationResult {
	result.Id = o.call.GetId()
	return result
}

// unfinished returns the result of a call that this machine stops processing.
func (o *operation) unfinished() *pb.CoordinationResult {
	if o.proposed {
		return o.result(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNKNOWN})
	}
	return o.result(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE})
}
