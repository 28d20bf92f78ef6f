package coordination

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// Execute executes a call on the value of its register. It implements register.Execute.
func Execute(value *pb.RegisterValue, call *pb.CoordinationCall, conditions register.Conditions) register.Outcome {
	switch operation := call.GetOperation().(type) {
	case *pb.CoordinationCall_Acquire:
		return acquire(value.GetLock(), callName(call), operation.Acquire, conditions)
	case *pb.CoordinationCall_Renew:
		return renew(value.GetLock(), operation.Renew, conditions)
	case *pb.CoordinationCall_Release:
		return release(value.GetLock(), operation.Release)
	case *pb.CoordinationCall_NextNumber:
		return nextNumber(value.GetCounter())
	case *pb.CoordinationCall_Put:
		return put(value.GetGroup(), operation.Put, conditions)
	case *pb.CoordinationCall_Read:
		return read(value.GetGroup(), operation.Read)
	case *pb.CoordinationCall_Watch:
		return watch(value.GetGroup(), operation.Watch)
	default:
		return unchanged(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE})
	}
}

// unchanged returns the outcome of a call that changes nothing.
func unchanged(result *pb.CoordinationResult) register.Outcome {
	return register.Outcome{Result: result}
}

// outcomeOnly returns the outcome of a call that changes nothing and whose result has no further fields.
func outcomeOnly(outcome pb.CoordinationResult_Outcome) register.Outcome {
	return unchanged(&pb.CoordinationResult{Outcome: outcome})
}

// wholeChange returns the change that replaces the whole value of a register.
func wholeChange(value *pb.RegisterValue) *pb.RegisterChange {
	return &pb.RegisterChange{Kind: &pb.RegisterChange_Whole{Whole: value}}
}

func nextNumber(counter *pb.CounterState) register.Outcome {
	next := counter.GetValue() + 1
	value := &pb.RegisterValue{Kind: &pb.RegisterValue_Counter{Counter: &pb.CounterState{Value: next}}}
	return register.Outcome{
		Result: &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK, Number: next},
		Change: wholeChange(value),
	}
}
