package coordinationapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"fieldrelay/api/coordination"
	pb "fieldrelay/api/fieldrelay/v1"
)

// retryAfterSeconds is the Retry-After of calls that were not executed.
const retryAfterSeconds = "0.1"

// responder gives the body of a response to a call that was executed.
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

// respond converts a result into a response. Only what is known not to be executed gets 429 or 503.
func (s *Server) respond(w http.ResponseWriter, result *pb.CoordinationResult, body responder) {
	switch result.GetOutcome() {
	case pb.CoordinationResult_OUTCOME_OK:
		s.write(w, http.StatusOK, body(result))
	case pb.CoordinationResult_OUTCOME_HELD_BY_OTHER:
		s.reject(w, http.StatusConflict, "another caller holds the lock, or it is lost")
	case pb.CoordinationResult_OUTCOME_REVISION_MISMATCH:
		s.write(w, http.StatusPreconditionFailed, respondRevision(result))
	case pb.CoordinationResult_OUTCOME_NOT_FOUND:
		s.reject(w, http.StatusNotFound, "the key was never written")
	case pb.CoordinationResult_OUTCOME_COMPACTED:
		s.reject(w, http.StatusGone, "what follows this revision is not kept any more")
	case pb.CoordinationResult_OUTCOME_BUSY:
		s.reject(w, http.StatusTooManyRequests, "too many calls wait for this name")
	case pb.CoordinationResult_OUTCOME_UNAVAILABLE:
		s.reject(w, http.StatusServiceUnavailable, "the call was not executed; it may be sent again")
	default:
		s.reject(w, http.StatusGatewayTimeout, "it is not known whether the call was executed; it may be sent again")
	}
}

// reject responds with an error.
func (s *Server) reject(w http.ResponseWriter, status int, message string) {
	detail := coordination.RefusalDetail{Code: rejectionCode(status), Message: message}
	s.write(w, status, coordination.Refusal{Error: detail})
}

// rejectionCode is the code of an error for programs.
func rejectionCode(status int) string {
	switch status {
	case http.StatusBadRequest:
		return "invalid_call"
	case http.StatusNotFound:
		return "not_found"
	case http.StatusConflict:
		return "lock_held"
	case http.StatusGone:
		return "compacted"
	case http.StatusRequestEntityTooLarge:
		return "body_too_large"
	case http.StatusTooManyRequests:
		return "busy"
	case http.StatusServiceUnavailable:
		return "unavailable"
	default:
		return "unknown_outcome"
	}
}

// write sends a complete response.
func (s *Server) write(w http.ResponseWriter, status int, content any) {
	s.options.Counters.count(status)
	body, err := json.Marshal(content)
	if err != nil {
		body = []byte("{}") // no content of this package fails to marshal
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(body)
}
