package http

import (
	"errors"
	"io"
	"os"
	"time"

	"fieldrelay/internal/socket"
)

// What stands between an answer and the close of its connection. A close over bytes that are not read resets the
// connection, and what of the answer has not reached the client goes with it: so the sending ends first, and what still comes
// is passed over until the client has all or has ended too, for so long and so many bytes at the most.
const (
	lingerTime         = 250 * time.Millisecond
	lingerPollInterval = 2 * time.Millisecond
	lingerBytes        = 1 << 20
)

// linger ends the sending and passes over what still comes, until the client has it all or has ended too. Nothing of it is served: a
// client that meets the end of a connection knows that a request on its way was not read. A connection on which nothing
// was written lately has nothing to lose, and one that is closed to make room is needed at once.
func (c *watchedConn) linger() {
	c.listener.mu.Lock()
	expelled := c.evicted
	c.listener.mu.Unlock()
	if expelled || c.lastWrite.IsZero() || time.Since(c.lastWrite) > writeGracePeriod {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	rest := io.LimitReader(c.Conn, lingerBytes)
	for end := time.Now().Add(lingerTime); ; {
		look := time.Now().Add(lingerPollInterval)
		c.Conn.SetReadDeadline(look)
		_, err := io.Copy(io.Discard, rest)
		ended := !errors.Is(err, os.ErrDeadlineExceeded) // or as many bytes have come as are passed over
		if ended || look.After(end) || socket.Unsent(c.Conn) == 0 && !socket.Unread(c.Conn) {
			return
		}
	}
}
