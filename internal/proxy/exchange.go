package proxy

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/policy"
	"fieldrelay/internal/proxy/upstream"
	"fieldrelay/internal/route"
)

// exchange is one request of a client, from the moment at which it was read whole until it is answered.
type exchange struct {
	handler   *handler
	client    http.ResponseWriter
	request   *http.Request
	target    string // path and query as sent
	attemptID string
	route     *route.Route
	placement placement.Request
	body      *chargedBuffer // nil: none
	arrived   time.Time
	deadline  time.Time

	attempts      attemptLog
	retryReserved bool          // a repeat was drawn from the common budget and has not been sent
	retryAfter    time.Duration // what the last refusal told; 0: nothing
	stream        *clientStream // nil until the head of a stream was passed on
	headersSent   bool          // the head of an answer was passed on
	success       bool          // a 2xx was passed on whole
	firstByte     time.Time     // when the first event, or the answer, was there
}

// verdict is what an attempt at one server came to.
type attemptOutcome uint8

const (
	outcomeDelivered attemptOutcome = iota // the client has its whole answer
	outcomeFailed                          // no answer was passed on, or a stream was cut
	outcomeNoServer                        // there was no server to send it to
	outcomeCanceled                        // the client left, or the process is ending
	outcomeBroken                          // an answer that was being passed on broke off and can't be taken up
)

// run answers the request and tells whether the answer is whole; if not, the client's connection must end.
func (x *exchange) run() (complete bool) {
	if err := x.handler.dispatcher.admit(&x.placement); err != nil {
		x.handler.counters.overloaded.Add(1)
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
			return x.clientGone()
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

// settle closes the books of the request.
func (x *exchange) release() {
	if x.retryReserved {
		x.handler.dispatcher.refundRetry(x.placement.Service)
		x.retryReserved = false
	}
	latency := time.Since(x.arrived)
	if !x.firstByte.IsZero() {
		latency = x.firstByte.Sub(x.arrived)
	}
	x.handler.dispatcher.requestDone(&x.placement, x.success, latency)
}

// free gives back what the request holds.
func (x *exchange) freeBody() { x.body.free() }

func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// mayRetry tells whether the request may go to another server, and draws on the common budget if that
// would be a repeat.
func (x *exchange) mayRetry() bool {
	if !x.attempts.mayRetry(x.remaining()) || !x.canResume() {
		return false
	}
	if !x.attempts.needsBudget() || x.retryReserved {
		return true
	}
	if !x.handler.dispatcher.takeRetry(x.placement.Service) {
		x.handler.counters.retryBudgetExhausted.Add(1)
		return false
	}
	x.retryReserved = true
	return true
}

// canResume tells whether a stream that has begun can be taken up by another server.
func (x *exchange) canResume() bool { return x.stream == nil || x.stream.canResume() }

// clientGone ends a request because the client left, or because the process ends: then it gets a true answer
// if none has begun.
func (x *exchange) clientGone() bool {
	if x.handler.lifecycle.phase() == phaseAborting {
		return x.respondWithoutServer()
	}
	x.handler.counters.clientsGone.Add(1)
	return false
}

// conclude ends a request for which no server's answer is passed on. It returns false when the answer has
// begun, so that it must end visibly early.
func (x *exchange) respondWithoutServer() bool {
	if x.headersSent {
		x.handler.counters.broken.Add(1)
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

func (x *exchange) rejectOverload(err error) {
	wait := retryAfterShort
	var overload *placement.OverloadError
	if errors.As(err, &overload) {
		wait = max(overload.RetryAfter, wait)
	}
	response := &rejection{status: http.StatusServiceUnavailable, retryAfter: wait}
	x.handler.reject(x.client, response)
}

// record writes down what became of an attempt.
func (x *exchange) record(state executionState) {
	x.attempts.record(state)
	x.handler.counters.countExecution(state)
	if state != unsent {
		x.retryReserved = false // it was used
	}
}

// withdraw closes an attempt of which nothing was sent, although its connection was there.
func (x *exchange) withdraw(decision placement.Decision) attemptOutcome {
	x.finishAttempt(decision, placement.NotSent)
	x.record(unsent)
	if x.isCanceled() {
		return outcomeCanceled
	}
	x.handler.counters.withdrawn.Add(1)
	return outcomeFailed
}

// recordFailure closes an attempt that brought no answer. On a fresh connection that tells of the server; one that had
// rested may have been closed meanwhile.
func (x *exchange) recordFailure(decision placement.Decision, err error, fresh bool) attemptOutcome {
	state := executionOfError(err)
	x.record(state)
	x.placement.Excluded = append(x.placement.Excluded, decision.ServerID)
	if x.isCanceled() {
		x.finishAttempt(decision, placement.ClientGone)
		return outcomeCanceled
	}
	outcome := placementOutcomeOfError(err)
	if fresh && (outcome == placement.Reset || outcome == placement.Unreachable) {
		x.reportFailure(decision.ServerID)
	}
	x.finishAttempt(decision, outcome)
	return outcomeFailed
}

// report tells the other proxies of the region that a server failed.
func (x *exchange) reportFailure(server string) {
	if x.handler.disabled.Off(policy.FailureReports) || !x.handler.dispatcher.mayReport(server) {
		return
	}
	x.handler.announcer.reportFailure(server)
}

// finish tells placement how an attempt ended. Other connections to a machine out of reach are given up too.
func (x *exchange) finishAttempt(decision placement.Decision, outcome placement.Outcome) {
	if outcome == placement.Unreachable {
		x.handler.pool.Forget(upstream.Server{ID: decision.ServerID, Address: decision.Address})
	}
	x.handler.dispatcher.finished(decision.Attempt, outcome)
}
