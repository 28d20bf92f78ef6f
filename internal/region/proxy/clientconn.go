package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// readBufferSlack is added to the limit on heads, since net/http reads ahead of the end of a head.
	readBufferSlack = 4 << 10
	// rejectTimeout limits the time for the response to a head that is too large, and for the rest of that request, which
	// is read because a connection that is closed with unread data may lose the response.
	rejectTimeout = 500 * time.Millisecond
)

// headTooLarge is the response to a request whose head exceeds the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// connPhase is what a client's connection is used for.
type connPhase int

const (
	connIdle    connPhase = iota // no byte of the next request has arrived
	connHead                     // the head of a request is being received
	connRequest                  // a request is in progress
)

// clientConn is a client's connection. It enforces the limits in force, which may change while the connection is open:
// net/http knows only the limits with which its server was started. All methods are safe for concurrent use.
type clientConn struct {
	net.Conn
	listener *clientListener

	mu     sync.Mutex
	phase  connPhase
	served bool // a request has been received on this connection
	closed bool // the connection is to be closed as soon as it is idle
	// limits apply to the current phase. They are those in force when it began, or wider if wider ones have come into
	// force since: a client that observes the limits of one version is not cut off by another.
	limits    connLimits
	since     time.Time // start of the phase; before the first request, when the connection was accepted
	headBytes int       // bytes received of the head of the request
}

func newClientConn(conn net.Conn, listener *clientListener) *clientConn {
	created := &clientConn{Conn: conn, listener: listener, limits: listener.currentLimits(), since: time.Now()}
	created.setPhaseDeadline()
	return created
}

// Read implements net.Conn. While the head of a request is received, it counts the bytes and enforces the limit on them.
func (c *clientConn) Read(buffer []byte) (int, error) {
	allowed, ok := c.readable(len(buffer))
	if !ok {
		c.rejectHead()
		return 0, os.ErrDeadlineExceeded // net/http sends no response of its own after a time-out
	}
	read, err := c.Conn.Read(buffer[:allowed])
	if read > 0 {
		c.countRead(read)
	}
	return read, err
}

// readable returns how many of the wanted bytes may be read; false if the head of the request is too large.
func (c *clientConn) readable(wanted int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connRequest {
		return wanted, true
	}
	remaining := c.limits.maxHeader + readBufferSlack - c.headBytes
	return min(wanted, remaining), remaining > 0
}

// countRead counts bytes of the head of a request. The first one begins the head.
func (c *clientConn) countRead(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connRequest {
		return
	}
	c.headBytes += bytes
	if c.phase == connHead {
		return
	}
	c.phase = connHead
	c.limits = c.listener.currentLimits()
	if c.served {
		c.since = time.Now()
	}
	c.setPhaseDeadline()
}

// rejectHead sends the response to a head that is too large, and discards the rest of the request.
func (c *clientConn) rejectHead() {
	deadline := time.Now().Add(rejectTimeout)
	_ = c.SetDeadline(deadline)
	if _, err := io.WriteString(c.Conn, headTooLarge); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c.Conn)
}

// startRequest records that the head of a request has been received. From then on, net/http and the handler set the
// deadlines.
func (c *clientConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connRequest {
		return
	}
	c.phase = connRequest
	c.served = true
	c.headBytes = 0
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// startIdle records that the response to a request has been sent.
func (c *clientConn) startIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = connIdle
	c.limits = c.listener.currentLimits()
	c.since = time.Now()
	c.setPhaseDeadline()
}

// limitsChanged applies wider limits to the current phase.
func (c *clientConn) limitsChanged(limits connLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	widened := c.limits.widest(limits)
	if widened == c.limits || c.phase == connRequest || c.closed {
		return
	}
	c.limits = widened
	c.setPhaseDeadline()
}

// closeIfIdle makes net/http close the connection if no byte of a request has arrived: its read fails. A request whose
// first byte has been received is still served.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle {
		c.closed = true
		c.setPhaseDeadline()
	}
}

// setPhaseDeadline sets the read deadline of the current phase, which must not be connRequest. The caller holds the
// lock.
func (c *clientConn) setPhaseDeadline() {
	deadline := c.since.Add(c.limits.headerRead)
	if c.phase == connIdle && c.served {
		deadline = c.since.Add(c.limits.keepAlive)
	}
	if c.phase == connIdle && c.closed {
		deadline = time.Unix(1, 0)
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn. It has no effect unless a request is in progress: otherwise the limits in force
// determine the deadline.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connRequest {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the writing side, as net/http does before it closes a connection with unread data.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger is net.TCPConn.SetLinger.
func (c *clientConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// connKey is the context key of a request's clientConn.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// requestStarter calls startRequest before a handler: net/http does not report the state of a connection if the request
// was read together with an earlier one.
type requestStarter struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (s requestStarter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if conn, ok := request.Context().Value(connKey{}).(*clientConn); ok {
		conn.startRequest()
	}
	s.Handler.ServeHTTP(writer, request)
}
