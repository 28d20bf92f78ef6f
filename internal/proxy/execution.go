package proxy

import (
	"net/http"
	"time"

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

// ledger is what has become of one client's request so far. It is the only place where an attempt's fate is
// written down, and it only ever moves towards "may have run".
type attemptLog struct {
	idempotent       bool // the request may run more than once
	maxAttempts      int  // most servers to which it may be sent
	sent             int  // servers to which it was sent
	unsent           int  // attempts that failed before anything was sent
	possiblyExecuted bool
}

// record takes in the fate of one attempt.
func (l *attemptLog) record(state executionState) {
	if state == unsent {
		l.unsent++
		return
	}
	l.sent++
	if state != notExecuted {
		l.possiblyExecuted = true
	}
}

const (
	// maxUnsentAttempts bounds the attempts of one request that fail before anything was sent.
	maxUnsentAttempts = 4
	// minRetryTime is the least time left with which another server is tried.
	minRetryTime = 10 * time.Millisecond
)

// mayRetry tells whether the request may go to another server, the common budget aside.
func (l *attemptLog) mayRetry(left time.Duration) bool {
	if left < minRetryTime || l.unsent >= maxUnsentAttempts || l.sent >= l.maxAttempts {
		return false
	}
	return l.idempotent || !l.possiblyExecuted
}

// needsBudget tells whether one more attempt is a repeat that draws on the common budget.
func (l *attemptLog) needsBudget() bool { return l.sent > 0 }

// ending is the answer to a request for which no server's answer is passed on.
func (l *attemptLog) finalStatus(left time.Duration) int {
	switch {
	case !l.possiblyExecuted:
		return http.StatusServiceUnavailable
	case left <= 0:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
