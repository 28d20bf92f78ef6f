package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/placement"
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

// joinedBody is the largest body that is copied behind the head, so that both go out by one plain write.
const joinedBody = 16 << 10

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

// attempt sends the request to one server and passes the answer on.
func (x *exchange) attempt() verdict {
	if x.left() <= 0 {
		return verdictUnplaced
	}
	decision, err := x.pick()
	if err != nil {
		return x.unplaced(err)
	}
	server := upstream.Server{ID: decision.ServerID, Address: decision.Address}
	conn, err := x.handler.pool.Connect(x.request.Context(), server, x.contactPatience(), x.deadline)
	if err != nil {
		return x.attemptFailed(decision, err)
	}
	// The last look: what changed while the connection came up counts as well.
	if x.gone() || x.left() <= 0 || !x.handler.dispatcher.stillAllowed(decision.Attempt) {
		x.handler.pool.Release(conn)
		return x.notSent(decision)
	}
	stop := context.AfterFunc(x.request.Context(), conn.Abort)
	response, err := x.send(conn, decision)
	if err != nil {
		stop()
		x.handler.pool.Discard(conn)
		return x.attemptFailed(decision, err)
	}
	live := &attempt{exchange: x, decision: decision, conn: conn, response: response, stop: stop}
	return live.receive()
}

const (
	// dialShare is the part of the route's aim (one in dialShare) that a connection may take to come up, within
	// bounds: until then nothing is sent, so that another server can be tried at no risk.
	dialShare    = 4
	shortestDial = 150 * time.Millisecond
	longestDial  = 300 * time.Millisecond
	// contactShare is the part of the aim for which a server's machine may be out of reach, within bounds,
	// before a request that may run twice goes to another one.
	contactShare    = 2
	shortestContact = 300 * time.Millisecond
	longestContact  = time.Second
	// contactOnce is the same for a request that may run only once: its answer may still come, but not for
	// longer than clients wait in silence.
	contactOnce = 2 * time.Second
)

// contactPatience tells how long the machine of a server may be out of reach.
func (x *exchange) contactPatience() upstream.Patience {
	aim := x.route.Target
	if aim <= 0 {
		aim = longestContact
	}
	patience := upstream.Patience{
		Dial:    min(max(aim/dialShare, shortestDial), longestDial),
		Contact: contactOnce,
	}
	if x.ledger.repeatable {
		patience.Contact = min(max(aim/contactShare, shortestContact), longestContact)
	}
	return patience
}

// gone tells whether the client left or the process ends.
func (x *exchange) gone() bool { return x.request.Context().Err() != nil }

// send writes the request to a connection and reads the head of the answer.
func (x *exchange) send(conn *upstream.Conn, decision placement.Decision) (*http.Response, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	head := attemptHead{
		method:     x.request.Method,
		target:     x.target,
		host:       x.request.Host,
		header:     x.request.Header,
		attemptID:  x.attemptID,
		left:       x.left(),
		server:     decision.ServerID,
		priority:   urgency(x.route.Priority, x.place.Prompt, decision.ToRead),
		tellLength: x.request.ContentLength == 0 && len(x.request.Header["Content-Length"]) > 0,
	}
	var body []byte
	if x.body != nil {
		body = x.body.bytes
		head.tellLength = true
	}
	head.bodyLength = len(body)
	if x.stream != nil {
		head.lastEventID = x.stream.lastID()
	}
	*buffer = head.appendTo((*buffer)[:0])
	if len(body) <= joinedBody {
		*buffer = append(*buffer, body...)
		body = nil
	}
	x.countSending()
	if err := conn.Send(*buffer, body); err != nil {
		return nil, err
	}
	return conn.Receive(x.request.Method, x.attemptID)
}

func (x *exchange) countSending() {
	x.handler.counters.attempts.Add(1)
	if x.ledger.sent > 0 {
		x.handler.counters.repeats.Add(1)
	}
	if x.stream != nil {
		x.handler.counters.resumed.Add(1)
	}
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

// attemptFailed closes an attempt that brought no answer.
func (x *exchange) attemptFailed(decision placement.Decision, err error) verdict {
	f := fateOfError(err)
	x.record(f)
	x.place.Excluded = append(x.place.Excluded, decision.ServerID)
	if x.gone() {
		x.finish(decision, placement.ClientGone)
		return verdictGone
	}
	x.finish(decision, outcomeOfError(err))
	return verdictFailed
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
	if errors.As(err, &dialError) && dialError.Silent {
		return placement.Unreachable
	}
	var answerError *upstream.AnswerError
	if !errors.As(err, &answerError) {
		return placement.Reset
	}
	switch answerError.Fault {
	case upstream.FaultSilent:
		return placement.Unreachable
	case upstream.FaultTimeout:
		return placement.TimedOut
	case upstream.FaultBroken:
		return placement.Reset
	default:
		return placement.Failed
	}
}
