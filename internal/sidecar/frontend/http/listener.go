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

// Charge of a connection to the byte budget: its goroutine, fasthttp's state for it and its read buffer; and during
// a request the watch, the buffers of both directions and the deeper stacks. Measured, with what the allocator rounds
// up.
const (
	connBytes = 12 << 10
	busyBytes = 6 << 10
)

// acceptRetryInterval is the wait after an accept that failed for want of descriptors or memory, unless a connection
// ends before.
const acceptRetryInterval = 50 * time.Millisecond

// listener tracks its connections, so that they can be watched during a request, ended at a shutdown, and evicted:
// silent clients would otherwise keep all others out.
type listener struct {
	net.Listener
	gate        *budget.Gate
	memoryShort atomic.Bool   // connections waited at the last check for want of bytes
	released    chan struct{} // signaled when a connection has ended, or one that was to end stays
	closed      chan struct{} // closed when the listener begins to drain

	mu           sync.Mutex
	maxConns     int
	conns        map[*watchedConn]bool
	closing      int // of them, evicted
	draining     bool
	backlogUntil time.Time     // until when the backlog is accepted; set before closed is closed
	acceptEnded  bool          // no connection is on its way from the backlog to conns
	empty        chan struct{} // closed once it drains and no connection is left
	once         sync.Once     // of the closing of empty
}

func newListener(ln net.Listener, maxConns int, gate *budget.Gate) *listener {
	return &listener{Listener: ln, gate: gate, maxConns: maxConns, released: make(chan struct{}, 1),
		closed: make(chan struct{}), conns: map[*watchedConn]bool{}, empty: make(chan struct{})}
}

// Accept leaves a connection beyond the bound in the operating system's backlog until there is a place for it: taken
// and closed, its request would be lost. A transient error does not end the service: idle connections are closed, and
// accept is tried again.
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
	quiet := socket.SinceLastReceive(nc) // it may have stood in the backlog for a while
	c := &watchedConn{Conn: nc, listener: l, connCharge: l.gate.ForceReserve(budget.Conns, connBytes),
		idleSince: time.Now().Add(-quiet), firstDeadline: time.Now().Add(max(readTimeout-quiet, minReadTimeout))}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if l.draining { // accepted at the last moment: a request that it carries is answered
		setReadDeadline(c.Conn, ended)
	}
	return c, nil
}

// isTransient reports whether an error of accept may pass: descriptors or memory are short, or the client has gone.
func isTransient(err error) bool {
	transient := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR}
	return slices.ContainsFunc(transient, func(e error) bool { return errors.Is(err, e) })
}

// setMaxConns bounds the connections that are open at a time.
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
