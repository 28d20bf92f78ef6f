package operatorapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
)

const (
	// retryAfterSeconds is when a call that got 503 may be sent again, in seconds.
	retryAfterSeconds = "0.2"

	contentTypeJSON = "application/json"
)

// Counters counts calls since the start.
type Counters struct {
	Acknowledged atomic.Int64 // orders and reads answered with 2xx
	Rejected     atomic.Int64 // answered with 4xx
	Unavailable  atomic.Int64 // answered with 5xx
	Lookups      atomic.Int64 // directory answers with addresses
}

// count adds an answer to an order.
func (c *Counters) count(status int) {
	switch {
	case status < http.StatusMultipleChoices:
		c.Acknowledged.Add(1)
	case status < http.StatusInternalServerError:
		c.Rejected.Add(1)
	default:
		c.Unavailable.Add(1)
	}
}

// LookupEndpoints tells a client which edge addresses to use.
func (s *Server) LookupEndpoints(w http.ResponseWriter, _ *http.Request, params operator.LookupEndpointsParams) {
	endpoints := s.options.Endpoints(valueOf(params.Name), valueOf(params.Geo), valueOf(params.Az))
	if len(endpoints) == 0 {
		s.reject(w, &NoEndpointsError{})
		return
	}
	s.options.Counters.Lookups.Add(1)
	seconds := max(1, int(s.options.EndpointsLifetime()/time.Second))
	body, err := json.Marshal(operator.Endpoints{Endpoints: endpoints, TTLS: seconds})
	if err != nil {
		s.reject(w, &NoEndpointsError{})
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// valueOf is the value of an optional parameter, "" if it was not given.
func valueOf(parameter *string) string {
	if parameter == nil {
		return ""
	}
	return *parameter
}

// answer passes the result of an order on.
func (s *Server) writeResult(w http.ResponseWriter, result *pb.OrderResult) {
	status := int(result.GetStatus())
	if status < http.StatusOK || status > 599 {
		status = http.StatusServiceUnavailable
	}
	body := result.GetBody()
	if status >= http.StatusBadRequest {
		body = structuredRejection(status, body)
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

// refuse answers with a failure.
func (s *Server) reject(w http.ResponseWriter, err error) {
	refusal, known := errors.AsType[RejectionError](err)
	if !known {
		refusal = &ResultError{HTTPStatus: http.StatusServiceUnavailable}
	}
	s.options.Counters.count(refusal.Status())
	detail := operator.RefusalDetail{Code: refusal.Code(), Message: refusal.Error()}
	writeJSON(w, refusal.Status(), marshalRejection(detail))
}

// write sends a whole answer.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	// A failed write means that the caller is gone; it asks again.
	_, _ = w.Write(body)
}
