package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/proxy/upstream"
)

// fate tells what became of a request at one server.
type executionState uint8

const (
	unsent           executionState = iota // no byte of it reached the server
	notExecuted                            // the server said that it has not run and never will
	possiblyExecuted                       // it was sent, and it may have run
	executed                               // the server answered as one that ran it
)

// Statuses that promise that a request has not run and never will.
func isRejectionStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// executionOfError classifies an attempt that brought no usable answer.
func executionOfError(err error) executionState {
	var dialError *upstream.DialError
	if errors.As(err, &dialError) {
		return unsent
	}
	var sendError *upstream.SendError
	if errors.As(err, &sendError) && sendError.Written == 0 {
		return unsent
	}
	return possiblyExecuted
}

// executionOfResponse classifies an attempt by the head of the answer. Only X-Fieldrelay-Not-Executed and 421 say
// that a request has not run; a success without the server's seal is no answer.
func executionOfResponse(status int, header http.Header) executionState {
	if status == http.StatusMisdirectedRequest || len(header[headerNotExecuted]) > 0 {
		return notExecuted
	}
	if isRejectionStatus(status) {
		return possiblyExecuted
	}
	if isSuccess(status) && len(header[headerServerSeal]) != 1 {
		return possiblyExecuted
	}
	return executed
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// usable tells whether an answer of this fate may be passed on to the client as it is.
func (f executionState) usable() bool { return f == executed }
