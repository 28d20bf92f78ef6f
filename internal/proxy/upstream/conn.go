package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is the size of the buffer of a connection in use; idle connections have none.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer, interim answers included.
	maxHeadBytes = 64 << 10
	// maxInterim bounds the interim (1xx) answers before the final one.
	maxInterim = 4
)

// AttemptIDHeader carries the id of a request; every answer of a server repeats it.
const AttemptIDHeader = "X-Fieldrelay-Attempt-Id"

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

var errHeadTooLarge = errors.New("head of answer is too large")

// Conn is a connection to one server. It serves one request at a time and is not safe for concurrent use,
// except for Abort.
type Conn struct {
	server       Server
	socket       *net.TCPConn
	raw          syscall.RawConn
	reader       *bufio.Reader // nil while idle
	pending      *pendingWrite // of the request being sent; nil: the system has taken all of it
	separateBody bool          // the request has a body that went out apart from its head
	reused       bool
	broken       bool
	// headBudget is how much may still be read for the head; negative outside of heads.
	headBudget int
	// idleTimeout is how long the server keeps the connection open between requests, as it told last.
	idleTimeout time.Duration
	idleSince   time.Time
	userTimeout time.Duration // see Patience; 0: not set
	request     http.Request  // reused; ReadResponse wants to know the method
	peekBuffer  [1]byte
}

func newConn(server Server, socket *net.TCPConn) (*Conn, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{server: server, socket: socket, raw: raw, headBudget: -1, idleTimeout: defaultIdleTimeout}, nil
}

// Server returns the server that the connection leads to.
func (c *Conn) Server() Server { return c.server }

// Reused tells whether an earlier request was served on this connection.
func (c *Conn) Reused() bool { return c.reused }

// SetDeadline ends reads and writes at the given time.
func (c *Conn) SetDeadline(deadline time.Time) { _ = c.socket.SetDeadline(deadline) }

// setUserTimeout sets how long the other machine may give no sign of itself while one is asked for.
func (c *Conn) setUserTimeout(timeout time.Duration) {
	if timeout == c.userTimeout {
		return
	}
	err := c.raw.Control(func(descriptor uintptr) {
		// A system without the option only finds out later that a machine is gone.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
	if err == nil {
		c.userTimeout = timeout
	}
}

// Abort resets the connection, so that the server stops working on the request and what the system still holds of
// it does not reach the server any more. It may be called while another goroutine uses the connection.
func (c *Conn) Abort() {
	_ = c.socket.SetLinger(0)
	_ = c.socket.Close()
}

// close ends a connection on which nothing is due.
func (c *Conn) close() { _ = c.socket.Close() }

// Receive reads the head of the answer to the request that was sent and checks that it belongs to it. The
// body is read from the response's Body; Finish tells whether it ended whole.
func (c *Conn) Receive(method, attemptID string) (*http.Response, error) {
	c.attachReader()
	c.headBudget = maxHeadBytes
	response, err := c.receiveFinal(method)
	c.headBudget = -1
	if err != nil {
		return nil, c.receiveFailure(err)
	}
	if !matchesRequest(response, attemptID) {
		c.broken = true
		return nil, &AnswerError{Server: c.server, Fault: FaultMismatched}
	}
	if response.Close {
		c.broken = true
	}
	c.recordKeepAlive(response.Header)
	return response, nil
}

func (c *Conn) receiveFinal(method string) (*http.Response, error) {
	c.request.Method = method
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, &c.request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unasked change of protocol")
		}
	}
	return nil, errors.New("too many interim answers")
}

// IsCloseDelimited tells whether the body of an answer lasts until the server closes the connection. It is
// whole then, and not if the connection was reset. Such an answer to HEAD has no body.
func IsCloseDelimited(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// receiveFailure tells what became of a request to which no answer came.
func (c *Conn) receiveFailure(err error) error {
	c.broken = true
	c.stopSending()
	if c.nothingSent() {
		return &SendError{Server: c.server, Err: err}
	}
	return c.answerError(err)
}

func (c *Conn) answerError(err error) error {
	return &AnswerError{Server: c.server, Fault: faultOf(err), Err: err}
}

// BodyError classifies an error that came while the body of an answer was read.
func (c *Conn) BodyError(err error) error {
	c.broken = true
	return c.answerError(err)
}

func faultOf(err error) Fault {
	var netError net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return FaultDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return FaultUnreachable
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return FaultBroken
	case errors.As(err, &netError):
		return FaultBroken
	default:
		return FaultMalformed
	}
}

// Read reads from the socket; it bounds the head of an answer. The end of the connection is no proper end while the
// request is being sent: the sending side may have taken note of a reset already, which then looks like an end here.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, errHeadTooLarge
	}
	if c.headBudget > 0 && len(buffer) > c.headBudget {
		buffer = buffer[:c.headBudget]
	}
	n, err := c.socket.Read(buffer)
	if c.headBudget > 0 {
		c.headBudget -= n
	}
	if err == io.EOF && !c.fullySent() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// HasBuffered tells whether bytes of the answer have already been read from the socket.
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

// condition is what one look at an idle connection shows.
type idleState uint8

const (
	idleUsable      idleState = iota // nothing is there to read, and it is open
	idleUnusable                     // it was closed, or bytes came that nobody asked for
	idleUnreachable                  // the other machine has not answered the system's probes
)

// look takes one look at the socket without waiting.
func (c *Conn) checkIdle() idleState {
	var readError error
	var n int
	err := c.raw.Read(func(descriptor uintptr) bool {
		n, readError = syscall.Read(int(descriptor), c.peekBuffer[:])
		return true
	})
	switch {
	case err != nil || n > 0:
		return idleUnusable
	case errors.Is(readError, syscall.EAGAIN):
		return idleUsable
	case errors.Is(readError, syscall.ETIMEDOUT):
		return idleUnreachable
	default:
		return idleUnusable
	}
}
