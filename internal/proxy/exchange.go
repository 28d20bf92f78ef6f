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
	place     placement.Request
	body      *chargedBuffer // nil: none
	arrived   time.Time
	deadline  time.Time

	ledger      ledger
	holdsRetry  bool          // a repeat was drawn from the common budget and has not been sent
	retryAfter  time.Duration // what the last refusal told; 0: nothing
	stream      *clientStream // nil until the head of a stream was passed on
	begun       bool          // the head of an answer was passed on
	success     bool          // a 2xx was passed on whole
	firstAnswer time.Time     // when the first event, or the answer, was there
}

// verdict is what an attempt at one server came to.
type verdict uint8

const (
	verdictDelivered verdict = iota // the client has its whole answer
	verdictFailed                   // no answer was passed on, or a stream was cut
	verdictUnplaced                 // there was no server to send it to
	verdictGone                     // the client left, or the process is ending
	verdictBroken                   // an answer that was being passed on broke off and can't be taken up
)

// run answers the request and tells whether the answer is whole; if not, the client's connection must end.
func (x *exchange) run() (whole bool) {
	if err := x.handler.dispatcher.admit(&x.place); err != nil {
		x.handler.counters.overloaded.Add(1)
		x.refuseOverload(err)
		return true
	}
	defer x.settle()
	for {
		switch x.attempt() {
		case verdictDelivered:
			x.handler.counters.delivered.Add(1)
			return true
		case verdictGone:
			return x.breakOff()
		case verdictUnplaced:
			x.handler.counters.unplaced.Add(1)
			return x.conclude()
		case verdictBroken:
			return x.conclude()
		case verdictFailed:
			if !x.mayRepeat() {
				return x.conclude()
			}
		}
	}
}

// settle closes the books of the request.
func (x *exchange) settle() {
	if x.holdsRetry {
		x.handler.dispatcher.giveRetryBack(x.place.Service)
		x.holdsRetry = false
	}
	latency := time.Since(x.arrived)
	if !x.firstAnswer.IsZero() {
		latency = x.firstAnswer.Sub(x.arrived)
	}
	x.handler.dispatcher.requestDone(&x.place, x.success, latency)
}

// free gives back what the request holds.
func (x *exchange) free() { x.body.free() }

func (x *exchange) left() time.Duration { return time.Until(x.deadline) }

// mayRepeat tells whether the request may go to another server, and draws on the common budget if that
// would be a repeat.
func (x *exchange) mayRepeat() bool {
	if !x.ledger.mayRepeat(x.left()) || !x.canContinue() {
		return false
	}
	if !x.ledger.needsBudget() || x.holdsRetry {
		return true
	}
	if !x.handler.dispatcher.takeRetry(x.place.Service) {
		x.handler.counters.noBudget.Add(1)
		return false
	}
	x.holdsRetry = true
	return true
}

// canContinue tells whether a stream that has begun can be taken up by another server.
func (x *exchange) canContinue() bool { return x.stream == nil || x.stream.resumable() }

// breakOff ends a request because the client left, or because the process ends: then it gets a true answer
// if none has begun.
func (x *exchange) breakOff() bool {
	if x.handler.lifecycle.phase() == phaseAbandoned {
		return x.conclude()
	}
	x.handler.counters.clientsGone.Add(1)
	return false
}

// conclude ends a request for which no server's answer is passed on. It returns false when the answer has
// begun, so that it must end visibly early.
func (x *exchange) conclude() bool {
	if x.begun {
		x.handler.counters.broken.Add(1)
		return false
	}
	status := x.ledger.ending(x.left())
	own := &refusal{status: status}
	if status == http.StatusServiceUnavailable {
		own.retryAfter = max(x.retryAfter, retryAfterShort)
	}
	x.handler.refuse(x.client, own)
	return true
}

func (x *exchange) refuseOverload(err error) {
	wait := retryAfterShort
	var overload *placement.OverloadError
	if errors.As(err, &overload) {
		wait = max(overload.RetryAfter, wait)
	}
	own := &refusal{status: http.StatusServiceUnavailable, retryAfter: wait}
	x.handler.refuse(x.client, own)
}

// record writes down what became of an attempt.
func (x *exchange) record(f fate) {
	x.ledger.record(f)
	x.handler.counters.countFate(f)
	if f != fateNotSent {
		x.holdsRetry = false // it was used
	}
}

// notSent closes an attempt of which nothing was sent, although its connection was there.
func (x *exchange) notSent(decision placement.Decision) verdict {
	x.finish(decision, placement.NotSent)
	x.record(fateNotSent)
	if x.gone() {
		return verdictGone
	}
	x.handler.counters.lateChanges.Add(1)
	return verdictFailed
}

// attemptFailed closes an attempt that brought no answer. On a fresh connection that tells of the server; one that had
// rested may have been closed meanwhile.
func (x *exchange) attemptFailed(decision placement.Decision, err error, fresh bool) verdict {
	f := fateOfError(err)
	x.record(f)
	x.place.Excluded = append(x.place.Excluded, decision.ServerID)
	if x.gone() {
		x.finish(decision, placement.ClientGone)
		return verdictGone
	}
	outcome := outcomeOfError(err)
	if fresh && (outcome == placement.Reset || outcome == placement.Unreachable) {
		x.report(decision.ServerID)
	}
	x.finish(decision, outcome)
	return verdictFailed
}

// report tells the other proxies of the region that a server failed.
func (x *exchange) report(server string) {
	if x.handler.off.Off(policy.FailureReports) || !x.handler.dispatcher.mayReport(server) {
		return
	}
	x.handler.announcer.report(server)
}

// finish tells placement how an attempt ended. Other connections to a machine out of reach are given up too.
func (x *exchange) finish(decision placement.Decision, outcome placement.Outcome) {
	if outcome == placement.Unreachable {
		x.handler.pool.Forget(upstream.Server{ID: decision.ServerID, Address: decision.Address})
	}
	x.handler.dispatcher.finished(decision.Attempt, outcome)
}

// outcomeOfError tells placement what an error says about the server.
func outcomeOfError(err error) placement.Outcome {
	var dialError *upstream.DialError
	if errors.As(err, &dialError) && dialError.TimedOut {
		return placement.Unreachable
	}
	var answerError *upstream.ResponseError
	if !errors.As(err, &answerError) {
		return placement.Reset
	}
	switch answerError.Fault {
	case upstream.FaultUnreachable:
		return placement.Unreachable
	case upstream.FaultDeadline:
		return placement.TimedOut
	case upstream.FaultBroken:
		return placement.Reset
	default:
		return placement.Failed
	}
}
