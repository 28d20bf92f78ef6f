package proxy

import (
	"net/http"
	"time"
)

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
