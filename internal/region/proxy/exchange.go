package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
)

// exchange is the handling of one client's request, from when it has been read completely to the end of its
// response. It belongs to the goroutine that serves the request.
type exchange struct {
	handler   *handler
	client    http.ResponseWriter
	request   *http.Request
	target    string // path and query as the client sent them
	attemptID string
	route     *route.Route
	placement placement.Request
	body      *chargedBuffer // nil: none
	readyAt   time.Time      // when it could be forwarded: after a startup wait
	deadline  time.Time

	attempts      attemptLog
	retryReserved bool          // a retry is reserved in the retry budget and not sent yet
	retryAfter    time.Duration // by the last rejection; 0: none
	stream        *clientStream // nil until the headers of a stream were sent
	headersSent   bool          // the headers of a response were sent to the client
	success       bool          // a 2xx response was sent to its end
	firstByte     time.Time     // when the first event, or the response, was received
}

// attemptOutcome is the result of one attempt for the client.
type attemptOutcome uint8

const (
	outcomeDelivered attemptOutcome = iota // the client has its complete response
	outcomeFailed                          // no response was forwarded, or a stream broke off
	outcomeNoServer                        // there was no server for the attempt
	outcomeCanceled                        // the client is gone, or the process aborts its requests
	outcomeBroken                          // a response broke off while it was forwarded, and can't be resumed
)

// run makes attempts until the request has a response. It returns false if the response had begun and is
// incomplete; the client's connection must be aborted then, so that the response doesn't look complete.
func (x *exchange) run() (complete bool) {
	if err := x.handler.dispatcher.admit(&x.placement); err != nil {
		x.handler.counters.notAdmitted.Add(1)
		x.rejectOverload(err)
		return true
	}
	defer x.release()
	for {
		switch x.attemptServer() {
		case outcomeDelivered:
			x.handler.counters.delivered.Add(1)
			return true
		case outcomeCanceled:
			return x.endCanceled()
		case outcomeNoServer:
			x.handler.counters.noServer.Add(1)
			return x.respondWithoutServer()
		case outcomeBroken:
			return x.respondWithoutServer()
		case outcomeFailed:
			if !x.mayRetry() {
				return x.respondWithoutServer()
			}
		}
	}
}

// release returns a reserved retry that was not sent, and reports the request's result and latency to placement. It is
// called once for each admitted request.
func (x *exchange) release() {
	if x.retryReserved {
		x.handler.dispatcher.refundRetry(x.placement.Service)
		x.retryReserved = false
	}
	latency := time.Since(x.readyAt)
	if !x.firstByte.IsZero() {
		latency = x.firstByte.Sub(x.readyAt)
	}
	x.handler.dispatcher.requestDone(&x.placement, x.success, latency)
}

// freeBody returns the memory of the request's body.
func (x *exchange) freeBody() { x.body.free() }

// remaining is the time until the deadline; negative after it.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// mayRetry reports whether the request may be sent to another server. If that is a retry, it reserves it from the
// retry budget.
func (x *exchange) mayRetry() bool {
	if !x.attempts.mayRetry(x.remaining()) || !x.canResume() {
		return false
	}
	if !x.attempts.needsBudget() || x.retryReserved {
		return true
	}
	if !x.handler.dispatcher.reserveRetry(x.placement.Service) {
		x.handler.counters.retryBudgetExhausted.Add(1)
		return false
	}
	x.retryReserved = true
	return true
}

// canResume reports whether another server can continue the stream; true if no stream has begun.
func (x *exchange) canResume() bool { return x.stream == nil || x.stream.canResume() }

// endCanceled ends a canceled request. If the cause is the shutdown of the process rather than the client, the
// client still gets a response unless one has begun. It returns what run returns.
func (x *exchange) endCanceled() bool {
	if x.handler.lifecycle.phase() == phaseAborting {
		return x.respondWithoutServer()
	}
	x.handler.counters.clientCancellations.Add(1)
	return false
}

// respondWithoutServer ends a request for which no server's response is forwarded. It returns false if the headers
// of one were sent, see run.
func (x *exchange) respondWithoutServer() bool {
	if x.headersSent {
		x.handler.counters.brokenResponses.Add(1)
		return false
	}
	status := x.attempts.finalStatus(x.remaining())
	response := &rejection{status: status}
	if status == http.StatusServiceUnavailable {
		response.retryAfter = max(x.retryAfter, retryAfterShort)
	}
	x.handler.reject(x.client, response)
	return true
}

// rejectOverload responds to a request that was not admitted.
func (x *exchange) rejectOverload(err error) {
	wait := retryAfterShort
	var overload *placement.OverloadError
	if errors.As(err, &overload) {
		wait = max(overload.RetryAfter, wait)
	}
	response := &rejection{status: http.StatusServiceUnavailable, retryAfter: wait}
	x.handler.reject(x.client, response)
}

// record adds an attempt's result to the attempt log and the counters. A reserved retry counts as used once
// something was sent.
func (x *exchange) record(state executionState) {
	x.attempts.record(state)
	x.handler.counters.countExecution(state)
	if state != unsent {
		x.retryReserved = false // it was used
	}
}

// withdraw ends an attempt that was given up after its connection came up and before anything was sent.
func (x *exchange) withdraw(decision placement.Decision) attemptOutcome {
	x.finishAttempt(decision, placement.NotSent)
	x.record(unsent)
	if x.isCanceled() {
		return outcomeCanceled
	}
	x.handler.counters.withdrawn.Add(1)
	return outcomeFailed
}

// recordFailure ends an attempt without a response. Other proxies are notified only of failures on a fresh
// connection: one that had been idle may just have been closed meanwhile.
func (x *exchange) recordFailure(decision placement.Decision, err error, fresh bool) attemptOutcome {
	state := executionOfError(err)
	x.record(state)
	x.placement.Excluded = append(x.placement.Excluded, decision.ServerID)
	if x.isCanceled() {
		x.finishAttempt(decision, placement.Canceled)
		return outcomeCanceled
	}
	outcome := placementOutcomeOfError(err)
	if fresh && (outcome == placement.Reset || outcome == placement.Unreachable) {
		x.reportFailure(decision.ServerID)
	}
	x.finishAttempt(decision, outcome)
	return outcomeFailed
}

// reportFailure announces to the other proxies of the region that a server failed, at most once a reportInterval.
func (x *exchange) reportFailure(server string) {
	if x.handler.disabled.Off(policy.FailureReports) || !x.handler.dispatcher.mayReport(server) {
		return
	}
	x.handler.announcer.reportFailure(server)
}

// finishAttempt reports the end of an attempt to placement. If the server's machine is unreachable, its idle
// connections are closed as well.
func (x *exchange) finishAttempt(decision placement.Decision, outcome placement.Outcome) {
	if outcome == placement.Unreachable {
		x.handler.pool.Forget(upstream.Server{ID: decision.ServerID, Address: decision.Address})
	}
	x.handler.dispatcher.finished(decision.Attempt, outcome)
}
