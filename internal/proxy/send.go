package proxy

import (
	"context"
	"time"

	"fieldrelay/internal/placement"
	"fieldrelay/internal/policy"
	"fieldrelay/internal/proxy/upstream"
)

// joinedBody is the largest body that is copied behind the head, so that both go out by one plain write.
const joinedBody = 16 << 10

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
	patience := x.contactPatience()
	if x.handler.off.Off(policy.ReachabilityWatch) {
		patience = upstream.DialTimeouts{Dial: x.left(), Unacknowledged: x.left()}
	}
	conn, err := x.handler.pool.Connect(x.request.Context(), server, patience, x.deadline)
	if err != nil {
		return x.attemptFailed(decision, err, true)
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
		return x.attemptFailed(decision, err, !conn.Reused())
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
func (x *exchange) contactPatience() upstream.DialTimeouts {
	aim := x.route.Target
	if aim <= 0 {
		aim = longestContact
	}
	patience := upstream.DialTimeouts{
		Dial:           min(max(aim/dialShare, shortestDial), longestDial),
		Unacknowledged: contactOnce,
	}
	if x.ledger.repeatable {
		patience.Unacknowledged = min(max(aim/contactShare, shortestContact), longestContact)
	}
	return patience
}

// gone tells whether the client left or the process ends.
func (x *exchange) gone() bool { return x.request.Context().Err() != nil }

// urgency is the Priority that a server is told.
func (x *exchange) urgency(decision placement.Decision) int {
	if x.handler.off.Off(policy.Priorities) {
		return untoldPriority
	}
	return urgency(x.route.Priority, x.place.Prompt, decision.PrefillTokens)
}

// send writes the request to a connection and reads the head of the answer.
func (x *exchange) send(conn *upstream.Conn, decision placement.Decision) (upstream.Response, error) {
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
		priority:   x.urgency(decision),
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
		return upstream.Response{}, err
	}
	x.handler.announcer.tell(decision.Announce)
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
