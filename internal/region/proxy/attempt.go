package proxy

import (
	"context"
	"time"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
)

// maxJoinedBody is the size in bytes of the largest body that is copied into the buffer of the head, so that one
// write sends both.
const maxJoinedBody = 16 << 10

// attemptServer picks a server, sends the request to it, and forwards the response.
func (x *exchange) attemptServer() attemptOutcome {
	if x.remaining() <= 0 {
		return outcomeNoServer
	}
	decision, err := x.pickServer()
	if err != nil {
		return x.noServer(err)
	}
	conn, err := x.connect(decision)
	if err != nil {
		return x.recordFailure(decision, err, true)
	}
	// This is the last check before anything is sent. It catches cancellations, time-outs and changes of the servers
	// that happened while the connection was being established.
	if x.isCanceled() || x.remaining() <= 0 || !x.handler.dispatcher.stillAllowed(decision.Attempt) {
		x.handler.pool.Release(conn)
		return x.withdraw(decision)
	}
	stopAbort := context.AfterFunc(x.request.Context(), conn.Abort)
	response, err := x.send(conn, decision)
	if err != nil {
		stopAbort()
		x.handler.pool.Discard(conn)
		return x.recordFailure(decision, err, !conn.Reused())
	}
	open := &attempt{exchange: x, decision: decision, conn: conn, response: response, stopAbort: stopAbort}
	return open.receive()
}

// connectTimeouts returns the TCP time-outs after which a server's machine counts as unreachable. They follow from the
// round trips to the region: while nothing has been sent, and also if the request may be sent twice, another server is
// tried once an acknowledgement is overdue. A request that may run only once can't be sent anywhere else, so its server has
// the time that the client has. With the reachability watch disabled, only the request's deadline applies.
func (x *exchange) connectTimeouts(region string) upstream.DialTimeouts {
	if x.handler.disabled.Off(policy.ReachabilityWatch) {
		return upstream.DialTimeouts{Dial: x.remaining(), Unacknowledged: x.remaining()}
	}
	timeout := x.handler.roundTrips.retransmitTimeout(region)
	timeouts := upstream.DialTimeouts{Dial: timeout, Unacknowledged: lossTimeouts * timeout}
	if !x.attempts.idempotent {
		timeouts.Unacknowledged = x.clientWaits()
	}
	return timeouts
}

// clientWaits returns how much longer the client waits if it receives nothing.
func (x *exchange) clientWaits() time.Duration {
	if end, limited := x.silenceEnd(); limited {
		return time.Until(earlier(end, x.deadline))
	}
	return x.remaining()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// connect returns a connection to the server of a decision.
func (x *exchange) connect(decision placement.Decision) (*upstream.Conn, error) {
	server := upstream.Server{ID: decision.ServerID, Address: decision.Address}
	began := time.Now()
	conn, err := x.handler.pool.Connect(x.request.Context(), server, x.connectTimeouts(decision.Region), x.deadline)
	if err == nil && !conn.Reused() {
		roundTrip := time.Since(began)
		x.handler.roundTrips.observe(decision.Region, roundTrip)
		x.handler.dispatcher.roundTripMeasured(decision.ServerID, roundTrip)
	}
	return conn, err
}

// isCanceled reports whether the client has closed its connection or the process is aborting its requests.
func (x *exchange) isCanceled() bool { return x.request.Context().Err() != nil }

// serverPriority returns the value of the Priority header of the request to a server.
func (x *exchange) serverPriority() int {
	if x.handler.disabled.Off(policy.Priorities) {
		return defaultPriority
	}
	return serverPriority(x.route.Priority)
}

// send writes the request to a connection and receives the head of the response. The connection refers to the
// buffer of the request's body until the connection is released or discarded.
func (x *exchange) send(conn *upstream.Conn, decision placement.Decision) (upstream.Response, error) {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	head := attemptHead{
		method:     x.request.Method,
		target:     x.target,
		host:       x.request.Host,
		header:     x.request.Header,
		attemptID:  x.attemptID,
		remaining:  x.remaining(),
		serverID:   decision.ServerID,
		priority:   x.serverPriority(),
		sendLength: x.request.ContentLength == 0 && len(x.request.Header["Content-Length"]) > 0,
	}
	var body []byte
	if x.body != nil {
		body = x.body.bytes
		head.sendLength = true
	}
	head.bodyLength = len(body)
	if x.stream != nil {
		head.lastEventID = x.stream.lastID()
	}
	*buffer = head.appendTo((*buffer)[:0])
	if len(body) <= maxJoinedBody {
		*buffer = append(*buffer, body...)
		body = nil
	}
	x.countAttempt()
	if err := conn.Send(*buffer, body); err != nil {
		return upstream.Response{}, err
	}
	x.handler.announcer.announce(decision.Announce)
	return conn.Receive(x.request.Method, x.attemptID)
}

// countAttempt counts an attempt that is about to be sent.
func (x *exchange) countAttempt() {
	x.handler.counters.attempts.Add(1)
	if x.attempts.sent > 0 {
		x.handler.counters.retries.Add(1)
	}
	if x.stream != nil {
		x.handler.counters.streamsResumed.Add(1)
	}
}
