package coordinationapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"fieldrelay/api/coordination"
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/httpapi"
)

// retryAfterSeconds is the value of the Retry-After header of responses to calls that were not executed. RFC 9110 allows
// only whole seconds; api/operator.yaml allows fractions.
const retryAfterSeconds = "0.1"

// responder returns the body of the response to a call that was executed.
type responder func(result *pb.CoordinationResult) any

func respondDone(*pb.CoordinationResult) any { return struct{}{} }

func respondGrant(result *pb.CoordinationResult) any {
	return coordination.LockGrant{Fence: result.GetFence()}
}

func respondNumber(result *pb.CoordinationResult) any {
	return coordination.Number{Val: result.GetNumber()}
}

func respondRevision(result *pb.CoordinationResult) any {
	return coordination.Revision{Revision: result.GetRevision()}
}

func respondValue(result *pb.CoordinationResult) any {
	return coordination.KeyValue{Val: result.GetValue(), Revision: result.GetRevision()}
}

func respondEvents(result *pb.CoordinationResult) any {
	events := make([]coordination.KeyEvent, 0, len(result.GetEvents()))
	for _, event := range result.GetEvents() {
		events = append(events, coordination.KeyEvent{
			Name:     event.GetName(),
			Val:      event.GetValue(),
			Revision: event.GetRevision(),
		})
	}
	return coordination.WatchAnswer{Events: events, Revision: result.GetRevision()}
}

// respond converts a result into a response.
func (s *Server) respond(w http.ResponseWriter, result *pb.CoordinationResult, body responder) {
	switch result.GetOutcome() {
	case pb.CoordinationResult_OUTCOME_OK:
		s.write(w, http.StatusOK, body(result))
	case pb.CoordinationResult_OUTCOME_REVISION_MISMATCH:
		s.write(w, http.StatusPreconditionFailed, respondRevision(result))
	default:
		s.reject(w, rejectionOf(result.GetOutcome()))
	}
}

// rejectionOf returns the error for an outcome without a value. Only a call that is known not to have been executed gets
// 429 or 503.
func rejectionOf(outcome pb.CoordinationResult_Outcome) httpapi.RejectionError {
	switch outcome {
	case pb.CoordinationResult_OUTCOME_HELD_BY_OTHER:
		return &LockHeldError{}
	case pb.CoordinationResult_OUTCOME_NOT_FOUND:
		return &KeyNotFoundError{}
	case pb.CoordinationResult_OUTCOME_COMPACTED:
		return &CompactedError{}
	case pb.CoordinationResult_OUTCOME_BUSY:
		return &NameBusyError{}
	case pb.CoordinationResult_OUTCOME_UNAVAILABLE:
		return &NotExecutedError{}
	default:
		return &UnknownOutcomeError{}
	}
}

// reject responds with an error. An error that is not a RejectionError does not tell whether the call was executed, and
// becomes an UnknownOutcomeError.
func (s *Server) reject(w http.ResponseWriter, err error) {
	cause, known := errors.AsType[httpapi.RejectionError](err)
	if !known {
		cause = &UnknownOutcomeError{}
	}
	detail := coordination.RefusalDetail{Code: cause.Code(), Message: cause.Error()}
	if invalid, isInvalid := errors.AsType[*InvalidCallError](err); isInvalid {
		detail.Faults = &invalid.Faults
	}
	s.write(w, cause.Status(), coordination.Refusal{Error: detail})
}

// write sends and counts a complete response.
func (s *Server) write(w http.ResponseWriter, status int, content any) {
	s.options.Counters.count(status)
	body, err := json.Marshal(content)
	if err != nil {
		body = []byte("{}") // unreachable: the contents in this package can be marshaled
	}
	retryAfter := ""
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter = retryAfterSeconds
	}
	httpapi.WriteJSON(w, status, body, retryAfter)
}
