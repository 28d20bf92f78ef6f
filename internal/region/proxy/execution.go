package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/proxy/upstream"
)

// executionState says whether a server may have run a request in one attempt. It determines whether the request may
// be sent again.
type executionState uint8

const (
	unsent           executionState = iota // no byte of the request was sent to the server
	notExecuted                            // the server rejected the request; it has not run it and never will
	possiblyExecuted                       // the request was sent, and no response says whether it was run
	executed                               // the server's response shows that it ran the request
)

// isRejectionStatus reports whether servers use a status to reject requests. Except for 421 Misdirected Request, such a
// response doesn't guarantee that the request was not run unless it has the header X-Fieldrelay-Not-Executed.
func isRejectionStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// executionOfError classifies an attempt without a usable response by its error from package upstream.
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

// executionOfResponse classifies an attempt by the head of its response. Only X-Fieldrelay-Not-Executed and 421 guarantee
// that the request was not run and never will be. A success without X-Fieldrelay-Server-Seal may come from something
// other than the server, and doesn't count as the server's response.
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

// usable reports whether a response in this state may be forwarded to the client as it is.
func (s executionState) usable() bool { return s == executed }
