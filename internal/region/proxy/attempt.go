package proxy

import (
	"context"
	"time"

	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/proxy/upstream"
)

// maxJoinedBody is the largest body, in bytes, that is copied behind the head so that both are sent by one write.
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
	// The last check before anything is sent: what changed while the connection came up counts as well.
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
	// dialFraction is the fraction of the route's latency target (one in dialFraction) that a dial may take, within
	// bounds. Nothing has been sent by then, so that another server can be tried without risk.
	dialFraction   = 4
	minDialTimeout = 150 * time.Millisecond
	maxDialTimeout = 300 * time.Millisecond
	// unacknowledgedFraction is the fraction of the latency target for which a server's machine may be unreachable,
	// within bounds, before an idempotent request is sent to another one.
	unacknowledgedFraction = 2
	minUnacknowledged      = 300 * time.Millisecond
	maxUnacknowledged      = time.Second
	// unacknowledgedNonIdempotent is the same for a request that may run only once: its response may still come, but clients
	// don't wait longer without any byte.
	unacknowledgedNonIdempotent = 2 * time.Second
)

// connectTimeouts returns how long the server's machine may be unreachable at the level of TCP. With the
// reachability watch disabled, only the deadline counts.
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

// isCanceled reports whether the client closed its connection or the process aborts its requests.
func (x *exchange) isCanceled() bool { return x.request.Context().Err() != nil }

// serverPriority returns the value of the Priority header for a server.
func (x *exchange) serverPriority(decision placement.Decision) int {
	if x.handler.disabled.Off(policy.Priorities) {
		return defaultPriority
	}
	return serverPriority(x.route.Priority, x.placement.PromptTokens, decision.PrefillTokens)
}

// send writes the request to a connection and receives the head of the response. The connection uses the request's
// body until it is released or discarded.
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
		priority:   x.serverPriority(decision),
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
