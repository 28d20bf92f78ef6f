package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of the read buffer of a connection in use. Idle connections have no buffer.
const readBufferBytes = 4 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// Conn is a connection to one server. It carries one request at a time. Send, Receive and reads of the response's
// body must be called sequentially; only Abort is safe for concurrent use with them. Every Conn must be returned to
// its pool by Pool.Release or Pool.Discard.
type Conn struct {
	server Server
	socket *net.TCPConn
	raw    syscall.RawConn
	reader *bufio.Reader // nil while the connection is idle
	// pending is the part of the request that is still being written; nil if the kernel accepted all of it at once.
	pending *pendingWrite
	// separateBody is true if the request's body was passed separately from its head, and may be long.
	separateBody bool
	reused       bool // an earlier request was served on this connection
	broken       bool // the connection must not serve another request
	// headBudget is the number of bytes of a response's head that may still be read; negative while no head is read.
	headBudget int
	// idleTimeout is how long the connection may stay idle, according to the server's last Keep-Alive header.
	idleTimeout time.Duration
	idleSince   time.Time
	userTimeout time.Duration // current TCP_USER_TIMEOUT; 0 if not set
	request     http.Request  // reused for http.ReadResponse, which needs the method
	peekBuffer  [1]byte       // buffer of checkIdle, to avoid an allocation
}

func newConn(server Server, socket *net.TCPConn) (*Conn, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{server: server, socket: socket, raw: raw, headBudget: -1, idleTimeout: defaultIdleTimeout}, nil
}

// Reused reports whether an earlier request was served on this connection.
func (c *Conn) Reused() bool { return c.reused }

// SetDeadline sets the time at which reads and writes fail. An error in setting it is ignored: the next read or write
// then fails.
func (c *Conn) SetDeadline(deadline time.Time) { _ = c.socket.SetDeadline(deadline) }

// setUserTimeout sets how long sent data and keep-alive probes may stay unacknowledged (TCP_USER_TIMEOUT, RFC 5482).
// The system call is skipped if the connection already has this timeout.
func (c *Conn) setUserTimeout(timeout time.Duration) {
	if timeout == c.userTimeout {
		return
	}
	err := c.raw.Control(func(descriptor uintptr) {
		// If the option cannot be set, the kernel only takes longer to detect that the machine is unreachable.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
	if err == nil {
		c.userTimeout = timeout
	}
}

// Abort resets the connection. The server sees the reset and stops its work on the request, and the kernel drops
// request bytes that it still buffers. Abort may be called while another goroutine uses the connection; that
// goroutine's read or write then fails.
func (c *Conn) Abort() {
	_ = c.socket.SetLinger(0)
	_ = c.socket.Close()
}

// close closes a connection without a request in flight. An error of closing is ignored, because no data is left to
// deliver.
func (c *Conn) close() { _ = c.socket.Close() }

// HasBuffered reports whether bytes that were read from the socket are still unconsumed in the buffer.
func (c *Conn) HasBuffered() bool { return c.reader != nil && c.reader.Buffered() > 0 }

func (c *Conn) attachReader() {
	if c.reader != nil {
		return
	}
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
}

func (c *Conn) detachReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
}
