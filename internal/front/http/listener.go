package http

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/socket"
)

// What the system refuses for want of descriptors or memory is tried again after so long, or when a connection has ended.
const acceptRetryInterval = 50 * time.Millisecond

// backlogTimeout bounds how long a listener that shuts down goes on taking connections that the system has accepted already.
const (
	backlogTimeout       = 200 * time.Millisecond
	backlogRetryInterval = 5 * time.Millisecond
)

// listener keeps hold of its connections, so that they can be watched during a job, let go at a shutdown, and
// closed to make room: submitters that say nothing would else keep all others out.
type listener struct {
	net.Listener
	gate         *budget.Gate
	memoryShort  atomic.Bool   // connections waited at the last look, for want of bytes
	released     chan struct{} // a connection has ended, or one that was to end goes on
	closed       chan struct{} // no connection is taken any more
	mu           sync.Mutex
	maxConns     int // connections that may be open
	conns        map[*watchedConn]bool
	closing      int // of them have been told to end
	draining     bool
	backlogUntil time.Time     // it takes what waits in the system's queue; set before closed is closed
	acceptEnded  bool          // no connection is on its way from the system's queue to conns any more
	empty        chan struct{} // closed when it drains and no connection is left
	once         sync.Once
}

func newListener(ln net.Listener, most int, gate *budget.Gate) *listener {
	return &listener{Listener: ln, gate: gate, maxConns: most, released: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: map[*watchedConn]bool{}, empty: make(chan struct{})}
}

// Accept leaves a connection beyond the limit in the system's queue, since its request would be lost if it were
// taken and closed, and makes room for it. An error that may pass ends no service: idle connections give way, and it is
// tried again when one has ended or after a while.
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

// accept takes one connection.
func (l *listener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// It may have stood in the queue for a while.
	quiet := socket.Quiet(nc)
	c := &watchedConn{Conn: nc, listener: l, connCharge: l.gate.Must(budget.Conns, connBytes), idleSince: time.Now().Add(-quiet),
		firstDeadline: time.Now().Add(max(readTimeout-quiet, minReadTimeout))}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if l.draining { // it was taken in the last moment: what it carries is answered
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c, nil
}

// passing tells whether an error of accept may end by itself: no descriptor or memory is left, or the client has gone.
func isTransient(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// limit sets how many connections may be open.
func (l *listener) setMaxConns(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = most
	l.signalReleased()
}

func (l *listener) signalReleased() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}
