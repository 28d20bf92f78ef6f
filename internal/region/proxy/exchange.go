package proxy

import (
	"net/http"
	"time"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
	"fieldrelay/internal/region/route"
)

// exchange handles one client request, from the time when the request has been read completely to the end of its
// response. Only the goroutine that serves the request uses it.
type exchange struct {
	handler   *handler
	client    http.ResponseWriter
	request   *http.Request
	target    string // path and query, byte for byte as the client sent them
	attemptID string
	route     *route.Route
	placement placement.Request
	body      *chargedBuffer // nil if the request has no body
	arrivedAt time.Time      // arrival of the request
	readyAt   time.Time      // arrival of the request, or the end of its startup wait
	deadline  time.Time

	attempts      attemptLog
	retryReserved bool          // a retry is reserved in the retry budget and not sent yet
	retryAfter    time.Duration // last Retry-After of a server or of placement; 0 if there was none
	tooLate       bool          // no server can answer the request in the time that the client has left
	cannotReturn  bool          // the client has no time left to come back
	stream        *clientStream // nil until the headers of a stream are sent to the client
	headersSent   bool          // the headers of a server's response were sent to the client
	success       bool          // a 2xx response was sent completely
	firstByte     time.Time     // when the first event of a stream, or the head of another response, was received
}

// attemptOutcome says what an attempt means for the client's response.
type attemptOutcome uint8

const (
	outcomeDelivered attemptOutcome = iota // the client has received a complete response
	outcomeFailed                          // no response was forwarded, or a stream ended early
	outcomeNoServer                        // no server was available for the attempt
	outcomeCanceled                        // the client has disconnected, or the process aborts its requests
	outcomeBroken                          // a response ended early while it was forwarded, and can't be resumed
)

// run makes attempts until the request has a response. It returns false if the client's response is incomplete or the
// client has disconnected; the caller must then abort the client's connection, so that the response doesn't look
// complete.
func (x *exchange) run() (complete bool) {
	x.handler.dispatcher.countRequest(x.placement.Service)
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

// release returns a reserved but unsent retry to the retry budget, and reports the request's result and latency to
// placement, unless the request was refused because its client left it too little time. It is called once for each
// request.
func (x *exchange) release() {
	if x.retryReserved {
		x.handler.dispatcher.refundRetry(x.placement.Service)
		x.retryReserved = false
	}
	if x.tooLate {
		return
	}
	x.handler.durations.observe(x.route.Name, time.Since(x.arrivedAt))
	latency := time.Since(x.readyAt)
	if !x.firstByte.IsZero() {
		latency = x.firstByte.Sub(x.readyAt)
	}
	x.handler.dispatcher.requestDone(&x.placement, x.success, latency)
}

func (x *exchange) freeBody() { x.body.free() }

// remaining returns the time until the deadline, which is negative after it.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// mayRetry reports whether the request may be sent to another server. If the next attempt counts as a retry, mayRetry
// reserves it in the retry budget.
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

// canResume reports whether another server can continue the client's stream. It returns true if no stream has begun.
func (x *exchange) canResume() bool { return x.stream == nil || x.stream.canResume() }

// endCanceled ends a canceled request. If the shutdown of the process canceled it rather than the client, the client
// still gets a response unless one has begun. endCanceled returns the result of run.
func (x *exchange) endCanceled() bool {
	if x.handler.lifecycle.phase() == phaseAborting {
		return x.respondWithoutServer()
	}
	x.handler.counters.clientCancellations.Add(1)
	return false
}

// respondWithoutServer sends a response of the proxy itself, since no server's response can be forwarded. If the
// headers of a server's response were sent already, it sends nothing and returns false. respondWithoutServer returns
// the result of run.
func (x *exchange) respondWithoutServer() bool {
	if x.headersSent {
		x.handler.counters.brokenResponses.Add(1)
		return false
	}
	response := &rejection{status: x.attempts.finalStatus(x.remaining())}
	if response.status == http.StatusServiceUnavailable {
		response.retryAfter = x.returnDelay()
	}
	x.handler.reject(x.client, response)
	return true
}

// returnDelay returns the Retry-After of a request that was certainly not run, or 0 if the client has no time left to come
// back then.
func (x *exchange) returnDelay() time.Duration {
	wait := max(x.retryAfter, retryAtOnce)
	if x.cannotReturn || wait >= x.remaining() {
		return 0
	}
	return wait
}

// record adds an attempt's execution state to the attempt log and the counters. A reserved retry is used up if
// anything was sent.
func (x *exchange) record(state executionState) {
	x.attempts.record(state)
	x.handler.counters.countExecution(state)
	if state != unsent {
		x.retryReserved = false
	}
}

// withdraw ends an attempt that is abandoned after its connection was established and before anything was sent.
func (x *exchange) withdraw(decision placement.Decision) attemptOutcome {
	x.finishAttempt(decision, placement.NotSent)
	x.record(unsent)
	if x.isCanceled() {
		return outcomeCanceled
	}
	x.handler.counters.withdrawn.Add(1)
	return outcomeFailed
}

// recordFailure ends an attempt that failed without a response. Other proxies are notified only of failures on fresh
// connections, since the server may simply have closed a connection that had been idle.
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

// reportFailure announces a server's failure to the other proxies of the region, at most once in a reportInterval for
// each server.
func (x *exchange) reportFailure(server string) {
	if x.handler.disabled.Off(policy.FailureReports) || !x.handler.dispatcher.mayReport(server) {
		return
	}
	x.handler.announcer.reportFailure(server)
}

// finishAttempt reports the end of an attempt to placement. If the server's machine is unreachable, finishAttempt also
// removes the server's idle connections from the pool.
func (x *exchange) finishAttempt(decision placement.Decision, outcome placement.Outcome) {
	if outcome == placement.Unreachable {
		x.handler.pool.Forget(upstream.Server{ID: decision.ServerID, Address: decision.Address})
	}
	x.handler.dispatcher.finished(decision.Attempt, outcome)
}
