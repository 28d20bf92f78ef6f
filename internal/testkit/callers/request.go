package callers

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/testkit/history"
)

const watchWait = 800 * time.Millisecond

// requestOf converts a call to the request message of the service.
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
