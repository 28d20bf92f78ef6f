package proxy

import (
	"net/http"
	"time"
)

// attemptLog records the results of the attempts of one client request. It is the only place where execution states
// are recorded, and it decides on retries and on the final status. possiblyExecuted is never reset, because no later
// attempt can show that an earlier one was not run. An attemptLog belongs to one request and is not safe for
// concurrent use.
type attemptLog struct {
	idempotent       bool // the request may be run more than once
	maxAttempts      int  // the route's limit on attempts that are sent
	sent             int  // attempts of which at least one byte was sent
	unsent           int  // attempts that failed before anything was sent
	possiblyExecuted bool // at least one attempt may have been run
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
	// maxUnsentAttempts bounds the attempts of one request that fail before anything is sent.
	maxUnsentAttempts = 4
	// minRetryTime is the shortest time to the deadline with which another attempt is made.
	minRetryTime = 10 * time.Millisecond
)

// mayRetry reports whether the time to the deadline, the limits on attempts and the execution state of the request
// permit another attempt. It doesn't check the retry budget; see needsBudget.
func (l *attemptLog) mayRetry(remaining time.Duration) bool {
	if remaining < minRetryTime || l.unsent >= maxUnsentAttempts || l.sent >= l.maxAttempts {
		return false
	}
	return l.idempotent || !l.possiblyExecuted
}

// needsBudget reports whether the next attempt counts as a retry and so requires a token of the retry budget. An
// attempt after failures before anything was sent doesn't count as a retry.
func (l *attemptLog) needsBudget() bool { return l.sent > 0 }

// finalStatus returns the status with which the proxy itself responds if no server's response can be forwarded: 503
// if the request was certainly not run, and otherwise 504 after its deadline and 502 before it.
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
