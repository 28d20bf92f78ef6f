package http

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/socket"
)

// Charges of a connection to the byte budget, including the allocator's rounding. connBytes covers its goroutine,
// fasthttp's state for it and its read buffer; busyBytes covers the watch, the read and write buffers and the deeper
// stacks during a request.
const (
	connBytes = 12 << 10
	busyBytes = 6 << 10
)

// acceptRetryInterval is the wait after an accept that failed because descriptors or memory were short, unless a
// connection ends earlier.
const acceptRetryInterval = 50 * time.Millisecond

// listener tracks its connections, so that they can be watched during a request, closed at a shutdown, and evicted.
// Without eviction, idle clients could occupy all connections and lock out other clients.
type listener struct {
	net.Listener
	gate        *budget.Gate
	memoryShort atomic.Bool   // at the last check, connections waited because the byte budget was exhausted
	released    chan struct{} // signaled when a connection has ended, its eviction is revoked or the limit changes
	closed      chan struct{} // closed when the listener begins to drain

	mu           sync.Mutex
	maxConns     int
	conns        map[*watchedConn]bool
	closing      int // number of connections marked for closing by an eviction
	draining     bool
	backlogUntil time.Time     // end of accepting the backlog; set before closed is closed
	acceptEnded  bool          // no further connection will be added to conns
	empty        chan struct{} // closed once the listener drains and no connection is left
	once         sync.Once     // closes empty
}

func newListener(ln net.Listener, maxConns int, gate *budget.Gate) *listener {
	return &listener{Listener: ln, gate: gate, maxConns: maxConns, released: make(chan struct{}, 1),
		closed: make(chan struct{}), conns: map[*watchedConn]bool{}, empty: make(chan struct{})}
}

// Accept leaves connections beyond the limit in the operating system's backlog until there is capacity: accepting and
// closing a connection would lose its request. After a transient error it closes idle connections and retries.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if err := l.waitForCapacity(); err != nil {
			return l.acceptBacklog()
		}
		nc, err := l.accept()
		switch {
		case err == nil:
			return nc, nil
		case l.isDraining():
			return l.acceptBacklog()
		case !isTransient(err):
			l.end()
			return nil, err
		}
		l.trimIdle()
		select {
		case <-l.released:
		case <-time.After(acceptRetryInterval):
		case <-l.closed:
		}
	}
}

// accept accepts one connection and tracks it.
func (l *listener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	quiet := socket.SinceLastReceive(nc) // the connection may have waited in the backlog
	c := &watchedConn{Conn: nc, listener: l, connCharge: l.gate.ForceReserve(budget.Conns, connBytes),
		idleSince: time.Now().Add(-quiet), firstDeadline: time.Now().Add(max(readTimeout-quiet, minReadTimeout))}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if l.draining { // accepted during the shutdown: a request that has arrived is still answered
		setReadDeadline(c.Conn, ended)
	}
	return c, nil
}

// isTransient reports whether an error of accept is temporary: descriptors or memory are short, or the client has
// disconnected.
func isTransient(err error) bool {
	transient := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR}
	return slices.ContainsFunc(transient, func(e error) bool { return errors.Is(err, e) })
}

// setMaxConns bounds the number of open connections.
func (l *listener) setMaxConns(conns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = conns
	l.signalReleased()
}

func (l *listener) signalReleased() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}
