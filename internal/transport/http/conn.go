package http

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
)

// conn is a connection to an execute node. It carries one claim at a time.
type conn struct {
	server     *server
	nc         net.Conn
	addr       string
	closed     chan struct{}  // closed with the connection
	connCharge *budget.Charge // for the connection and its reader
	broken     atomic.Bool    // nothing more can be read, or what came belongs to no claim

	// A claim is being or has been written on it and is not answered. Whoever writes sets it while nothing is unread, and
	// the reader takes nothing from the system before it has looked: so what came before a claim is never its answer.
	mu       sync.Mutex
	awaiting bool

	unsettled atomic.Bool // its claim was put on it before it had rested

	lastDigest  uint64    // digest of the last answer; the reader's, as the next two
	answerBegan time.Time // when the present answer began to come, while it is read; the reader's
	bounded     bool      // a bound stands on that; the reader's

	// What follows belongs to the node's actor.
	attempt     *attempt // nil: none
	writing     bool
	earlyAnswer *answer // came while the request was being written
	ended       bool    // nothing more comes
	idleTimer   *time.Timer
	idleSince   time.Time // since when it is idle, or was last; zero: it never was
	answered    bool      // it has brought an answer
}

// What is charged for a connection: its reader with stack and buffer, and the node's state for it; and for the body of
// an answer in chunks, at first and by how many times more whenever that is full.
const (
	connBytes        = 12 << 10
	initialBodyBytes = 4 << 10
	bodyGrowth       = 4
)

func newConn(n *server, nc net.Conn, addr string) *conn {
	return &conn{server: n, nc: nc, addr: addr, closed: make(chan struct{}),
		connCharge: n.transport.options.Gate.Must(budget.Conns, connBytes)}
}

// wake ends the idle time of a connection.
func (c *conn) stopIdleTimer() {
	c.idleTimer.Stop()
	c.idleTimer = nil
}

// usable tells whether the connection can carry a claim: its end has not come, nor anything since the last answer, such as
// a second copy of that, which would be taken for the answer to this claim.
func (c *conn) usable() bool { return !c.broken.Load() && !socket.Unread(c.nc) }

// Why a claim was not written. Nothing of it has left.
var (
	errExpired   = errors.New("it may no longer be sent")
	errConnStale = errors.New("its connection has ended or brings what nobody asked for")
)

// send writes a claim out, unless by now it may not be sent. All that can speak against it is looked at here, just before
// its first byte, since anything may have happened while it waited: its deadline, the end of its window or of a drain's
// grace (together until), its client, its final answer, its connection.
func (c *conn) send(parts net.Buffers, of *attempt, until time.Time) error {
	switch {
	case !time.Now().Before(until) || !of.Payload.Wanted():
		return errExpired
	case !c.reserve():
		return errConnStale
	}
	c.nc.SetWriteDeadline(of.Deadline)
	_, err := parts.WriteTo(c.nc)
	return err
}

// ask makes the connection a claim's, if it is usable.
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

// answerComplete ends what ask has begun.
func (c *conn) answerComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
}

var _ relay.Transport = (*Transport)(nil)
