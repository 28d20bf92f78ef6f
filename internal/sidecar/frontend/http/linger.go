package http

import (
	"errors"
	"io"
	"os"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

// Parameters of the lingering close after an answer (RFC 9112, section 9.6). Closing a connection with unread bytes
// resets it, which destroys the part of the answer that has not reached the client. So the sending side is closed
// first, and arriving bytes are discarded until the client has the whole answer or has closed as well: for at most
// lingerTime, checked every lingerPollInterval, and up to lingerBytes.
const (
	lingerTime         = 250 * time.Millisecond
	lingerPollInterval = 2 * time.Millisecond
	lingerBytes        = 1 << 20
)

// linger closes the sending side and discards the bytes that still arrive. No request among them is served: a client
// that reads the end of the connection knows that a later request was not read. linger does nothing for a connection
// without a recent answer, which has nothing to lose, and for an evicted one, whose slot is needed at once.
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
