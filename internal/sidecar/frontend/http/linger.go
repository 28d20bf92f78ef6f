package http

import (
	"errors"
	"io"
	"os"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

// Between an answer and the close of its connection (a lingering close, RFC 9112, section 9.6). A close with unread
// bytes resets the connection, which destroys what of the answer has not reached the client: so the sending side is
// closed first, and what still arrives is discarded until the client has the whole answer or has closed as well, for
// so long and up to so many bytes.
const (
	lingerTime         = 250 * time.Millisecond
	lingerPollInterval = 2 * time.Millisecond
	lingerBytes        = 1 << 20
)

// linger closes the sending side and discards what still arrives. None of it is served: a client that meets the end of a
// connection knows that a request on its way was not read. It does nothing for a connection without a recent answer,
// which has nothing to lose, and for one whose place is needed at once.
func (c *watchedConn) linger() {
	c.listener.mu.Lock()
	evicted := c.evicted
	c.listener.mu.Unlock()
	if evicted || c.lastWrite.IsZero() || time.Since(c.lastWrite) > writeGracePeriod {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	rest := io.LimitReader(c.Conn, lingerBytes)
	for end := time.Now().Add(lingerTime); ; {
		check := time.Now().Add(lingerPollInterval)
		setReadDeadline(c.Conn, check)
		_, err := io.Copy(io.Discard, rest)
		closed := !errors.Is(err, os.ErrDeadlineExceeded) // or lingerBytes have been discarded
		if closed || check.After(end) || socket.Unacknowledged(c.Conn) == 0 && !socket.Unread(c.Conn) {
			return
		}
	}
}
