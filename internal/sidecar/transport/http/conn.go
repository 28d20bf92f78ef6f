package http

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/socket"
)

// connBytes is the charge of a connection to the byte budget: the stack and buffer of its reader, and its state.
const connBytes = 12 << 10

// conn is a connection to a server. It carries one attempt at a time.
type conn struct {
	server     *server
	nc         net.Conn
	addr       string
	closed     chan struct{}  // closed together with the connection
	connCharge *budget.Charge // charge of connBytes, released by the reader
	broken     atomic.Bool    // nothing more can be read, or bytes arrived that belong to no attempt
	unsettled  atomic.Bool    // the current attempt was assigned before the connection had settled

	// awaiting is set while an attempt is being written or has been written and is not answered. The writer sets it
	// only if no byte is unread, and the reader checks it before it reads from the socket. Bytes that arrived before an
	// attempt are therefore never taken for its answer.
	mu       sync.Mutex
	awaiting bool

	// Owned by the reader.
	lastDigest  uint64    // digest of the last answer
	answerBegan time.Time // time at which the current answer began to arrive; zero: no answer is arriving
	bounded     bool      // a read deadline is set for the current answer

	// Owned by the server's actor.
	attempt     *attempt // current attempt; nil: none
	writing     bool
	earlyAnswer *answer // answer that arrived while its request was being written
	ended       bool    // the reader has ended
	idleTimer   *time.Timer
	idleSince   time.Time // start of the current or last idle period; zero: never idle
	answered    bool      // the connection has carried an answer
}

func newConn(s *server, nc net.Conn, addr string) *conn {
	return &conn{server: s, nc: nc, addr: addr, closed: make(chan struct{}),
		connCharge: s.transport.options.Gate.ForceReserve(budget.Conns, connBytes)}
}

// stopIdleTimer stops the timer that closes the idle connection.
func (c *conn) stopIdleTimer() {
	c.idleTimer.Stop()
	c.idleTimer = nil
}

// usable reports whether the connection can carry an attempt: it is not broken, and no byte has arrived since the last
// answer. Such bytes, for example a second copy of that answer, would be taken for the answer to the attempt.
func (c *conn) usable() bool { return !c.broken.Load() && !socket.Unread(c.nc) }

// Errors of send if no byte of the attempt was written.
var (
	errExpired   = errors.New("attempt may no longer be sent")
	errConnStale = errors.New("connection has ended or carries unrequested bytes")
)

// send writes an attempt, or returns errExpired or errConnStale without having written a byte. It checks all conditions
// just before the first byte, since any of them may have changed while the attempt was queued: until (the earliest of
// the deadline, the send window and the drain grace), whether the request is still wanted, and whether the connection
// is usable.
func (c *conn) send(parts net.Buffers, a *attempt, until time.Time) error {
	switch {
	case !time.Now().Before(until) || !a.Payload.Wanted():
		return errExpired
	case !c.reserve():
		return errConnStale
	}
	_ = c.nc.SetWriteDeadline(a.Deadline) // on a closed connection the write fails
	_, err := parts.WriteTo(c.nc)
	return err
}

// reserve marks the next answer as that of an attempt, if the connection is usable, and reports whether it is.
func (c *conn) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = c.usable()
	return c.awaiting
}

func (c *conn) isAwaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaiting
}

// answerComplete clears the mark set by reserve.
func (c *conn) answerComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
}
