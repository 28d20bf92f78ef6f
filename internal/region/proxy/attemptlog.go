package proxy

import (
	"net/http"
	"time"
)

// attemptLog records what has become of one client's request so far. It is the only place where execution states
// are recorded, and decides on retries and on the final status. possiblyExecuted is never reset: no later attempt
// can show that an earlier one was not run. It belongs to one request and is not safe for concurrent use.
type attemptLog struct {
	idempotent       bool // the request may be run more than once
	maxAttempts      int  // most attempts that may be sent, by the route
	sent             int  // attempts that were sent
	unsent           int  // attempts that failed before anything was sent
	possiblyExecuted bool
}

// record adds the result of one attempt.
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
	// minRetryTime is the least remaining time for another attempt.
	minRetryTime = 10 * time.Millisecond
)

// mayRetry reports whether the request may be sent to another server, as far as the request itself is concerned.
// The retry budget is checked apart, see needsBudget.
func (l *attemptLog) mayRetry(remaining time.Duration) bool {
	if remaining < minRetryTime || l.unsent >= maxUnsentAttempts || l.sent >= l.maxAttempts {
		return false
	}
	return l.idempotent || !l.possiblyExecuted
}

// needsBudget reports whether the next attempt is a retry, which draws on the retry budget.
func (l *attemptLog) needsBudget() bool { return l.sent > 0 }

// finalStatus returns the status for a request for which no server's response is forwarded: 503 if it was certainly
// not run, and otherwise 504 after its deadline and 502 before.
func (l *attemptLog) finalStatus(remaining time.Duration) int {
	switch {
	case !l.possiblyExecuted:
		return http.StatusServiceUnavailable
	case remaining <= 0:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
