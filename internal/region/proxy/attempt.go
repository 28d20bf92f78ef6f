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
	server := upstream.Server{ID: decision.ServerID, Address: decision.Address}
	conn, err := x.handler.pool.Connect(x.request.Context(), server, x.connectTimeouts(), x.deadline)
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

const (
	// A dial may take 1/dialFraction of the route's latency target, clamped to minDialTimeout and maxDialTimeout.
	// Nothing has been sent by then, so another server can be tried without the risk of a second execution.
	dialFraction   = 4
	minDialTimeout = 150 * time.Millisecond
	maxDialTimeout = 300 * time.Millisecond
	// Sent data may stay unacknowledged by the server's machine for 1/unacknowledgedFraction of the latency target,
	// clamped to minUnacknowledged and maxUnacknowledged, before an idempotent request is sent to another server.
	unacknowledgedFraction = 2
	minUnacknowledged      = 300 * time.Millisecond
	maxUnacknowledged      = time.Second
	// unacknowledgedNonIdempotent is the corresponding time-out for a request that may run only once. The response to
	// such a request may still arrive, but clients don't wait longer than this without receiving a byte.
	unacknowledgedNonIdempotent = 2 * time.Second
)

// connectTimeouts returns the TCP time-outs after which the server's machine counts as unreachable. With the
// reachability watch disabled, only the request's deadline applies.
func (x *exchange) connectTimeouts() upstream.DialTimeouts {
	if x.handler.disabled.Off(policy.ReachabilityWatch) {
		return upstream.DialTimeouts{Dial: x.remaining(), Unacknowledged: x.remaining()}
	}
	target := x.route.Target
	if target <= 0 {
		target = maxUnacknowledged
	}
	timeouts := upstream.DialTimeouts{
		Dial:           min(max(target/dialFraction, minDialTimeout), maxDialTimeout),
		Unacknowledged: unacknowledgedNonIdempotent,
	}
	if x.attempts.idempotent {
		timeouts.Unacknowledged = min(max(target/unacknowledgedFraction, minUnacknowledged), maxUnacknowledged)
	}
	return timeouts
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
