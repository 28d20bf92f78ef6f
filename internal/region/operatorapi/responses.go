package operatorapi

import (
	"errors"
	"net/http"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
	"fieldrelay/internal/region/httpapi"
	"fieldrelay/internal/region/operatorapi/rejection"
)

const (
	// retryAfterSeconds is the value of the Retry-After header of responses with 503. RFC 9110 allows only whole
	// seconds; api/operator.yaml allows fractions.
	retryAfterSeconds = "0.2"

	maxHTTPStatus = 599
)

// writeResult responds with the result of an order. A status that is missing or is not a final HTTP status becomes 503.
func (s *Server) writeResult(w http.ResponseWriter, result *pb.OrderResult) {
	status := int(result.GetStatus())
	if status < http.StatusOK || status > maxHTTPStatus {
		status = http.StatusServiceUnavailable
	}
	body := result.GetBody()
	if status >= http.StatusBadRequest {
		body = rejection.Structured(status, body)
	}
	if len(body) > 0 {
		s.options.Counters.count(status)
		writeJSON(w, status, body)
		return
	}
	if status < http.StatusMultipleChoices {
		s.options.Counters.count(status)
		writeJSON(w, status, []byte("{}"))
		return
	}
	s.reject(w, &ResultError{HTTPStatus: status})
}

// reject responds with an error. An error that is not a RejectionError becomes 503.
func (s *Server) reject(w http.ResponseWriter, err error) {
	cause, known := errors.AsType[httpapi.RejectionError](err)
	if !known {
		cause = &ResultError{HTTPStatus: http.StatusServiceUnavailable}
	}
	s.options.Counters.count(cause.Status())
	detail := operator.RefusalDetail{Code: cause.Code(), Message: cause.Error()}
	writeJSON(w, cause.Status(), rejection.Marshal(detail))
}

// writeJSON sends a complete response.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = retryAfterSeconds
	}
	httpapi.WriteJSON(w, status, body, retryAfter)
}
