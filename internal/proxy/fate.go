package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/proxy/upstream"
)

// fate tells what became of a request at one server.
type fate uint8

const (
	fateNotSent  fate = iota // no byte of it reached the server
	fatePromised             // the server said that it has not run and never will
	fateUnknown              // it was sent, and it may have run
	fateRan                  // the server answered as one that ran it
)

// Statuses that promise that a request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// fateOfError classifies an attempt that brought no usable answer.
func fateOfError(err error) fate {
	var dialError *upstream.DialError
	if errors.As(err, &dialError) {
		return fateNotSent
	}
	var sendError *upstream.SendError
	if errors.As(err, &sendError) && sendError.Written == 0 {
		return fateNotSent
	}
	return fateUnknown
}

// fateOfAnswer classifies an attempt by the head of the answer. Only X-Fieldrelay-Not-Executed and 421 say
// that a request has not run; a success without the server's seal is no answer.
func fateOfAnswer(status int, header http.Header) fate {
	if status == http.StatusMisdirectedRequest || len(header[headerNotExecuted]) > 0 {
		return fatePromised
	}
	if isPromise(status) {
		return fateUnknown
	}
	if isSuccess(status) && len(header[headerServerSeal]) != 1 {
		return fateUnknown
	}
	return fateRan
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// usable tells whether an answer of this fate may be passed on to the client as it is.
func (f fate) usable() bool { return f == fateRan }

// ledger is what has become of one client's request so far. It is the only place where an attempt's fate is
// written down, and it only ever moves towards "may have run".
type ledger struct {
	repeatable bool // the request may run more than once
	tries      int  // most servers to which it may be sent
	sent       int  // servers to which it was sent
	unsent     int  // attempts that failed before anything was sent
	mayHaveRun bool
}

// record takes in the fate of one attempt.
func (l *ledger) record(f fate) {
	if f == fateNotSent {
		l.unsent++
		return
	}
	l.sent++
	if f != fatePromised {
		l.mayHaveRun = true
	}
}

const (
	// maxUnsent bounds the attempts of one request that fail before anything was sent.
	maxUnsent = 4
	// minTimeToRepeat is the least time left with which another server is tried.
	minTimeToRepeat = 10 * time.Millisecond
)

// mayRepeat tells whether the request may go to another server, the common budget aside.
func (l *ledger) mayRepeat(left time.Duration) bool {
	if left < minTimeToRepeat || l.unsent >= maxUnsent || l.sent >= l.tries {
		return false
	}
	return l.repeatable || !l.mayHaveRun
}

// needsBudget tells whether one more attempt is a repeat that draws on the common budget.
func (l *ledger) needsBudget() bool { return l.sent > 0 }

// ending is the answer to a request for which no server's answer is passed on.
func (l *ledger) ending(left time.Duration) int {
	switch {
	case !l.mayHaveRun:
		return http.StatusServiceUnavailable
	case left <= 0:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
