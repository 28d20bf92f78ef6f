package upstream

import (
	"bytes"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// remainder is the part of a long request that the system did not take at once. It is written by a goroutine of
// its own, so that an answer is seen that comes before the server has read the whole request.
type remainder struct {
	ended   chan struct{} // closed when the goroutine is done
	written int64         // valid once ended is closed
	err     error         // likewise
}

// Send writes one whole request: its head, ending with an empty line, and its body. It keeps the body, but not
// the head, until the connection is given back to its pool. A body that is not empty may still be on its way when
// Send returns; what becomes of it shows in Receive.
func (c *Conn) Send(head, body []byte) error {
	c.attachReader()
	c.long = false
	if len(body) == 0 {
		written, err := c.socket.Write(head)
		return c.sendError(int64(written), err)
	}
	c.long = true
	written, err := c.writeNow(head, body)
	if err != nil || written == len(head)+len(body) {
		return c.sendError(int64(written), err)
	}
	c.writeRest(head, body, written)
	return nil
}

func (c *Conn) sendError(written int64, err error) error {
	if err == nil {
		return nil
	}
	c.broken = true
	return &SendError{Server: c.server, Written: written, Err: err}
}

// writeNow hands the system as much of a request as it takes at once.
func (c *Conn) writeNow(head, body []byte) (written int, err error) {
	var writeError error
	err = c.raw.Write(func(descriptor uintptr) bool {
		written, writeError = unix.Writev(int(descriptor), [][]byte{head, body})
		return true
	})
	written = max(written, 0)
	if err == nil && !errors.Is(writeError, syscall.EAGAIN) && !errors.Is(writeError, syscall.EINTR) {
		err = writeError
	}
	return written, err
}

// writeRest begins to write what is left of a request of which the system took some bytes.
func (c *Conn) writeRest(head, body []byte, taken int) {
	rest := &remainder{ended: make(chan struct{}), written: int64(taken)}
	parts := net.Buffers{body[max(taken-len(head), 0):]}
	if taken < len(head) {
		parts = net.Buffers{bytes.Clone(head[taken:]), body}
	}
	c.rest = rest
	go func() {
		defer close(rest.ended)
		written, err := parts.WriteTo(c.socket)
		rest.written += written
		rest.err = err
	}()
}

// sentWhole tells whether the system has taken the whole request.
func (c *Conn) sentWhole() bool {
	if c.rest == nil {
		return true
	}
	select {
	case <-c.rest.ended:
		return c.rest.err == nil
	default:
		return false
	}
}

// stopSending gives up what is left of a request, and returns when its body is no longer used. It closes the
// connection unless the request was sent whole.
func (c *Conn) stopSending() {
	if c.rest == nil {
		return
	}
	if !c.sentWhole() {
		c.broken = true
		c.Abort()
	}
	<-c.rest.ended
}

// delivered tells whether the other machine's system has taken a request whole, as it has when the server answered
// after reading it. Only long requests are looked at: the others fit into what any system takes.
func (c *Conn) delivered() bool {
	if !c.long {
		return true
	}
	waiting, known := 0, false
	err := c.raw.Control(func(descriptor uintptr) {
		var failure error
		waiting, failure = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		known = failure == nil
	})
	return err == nil && (!known || waiting == 0)
}

// sentNothing tells whether no byte of a request whose sending was stopped has left.
func (c *Conn) sentNothing() bool { return c.rest != nil && c.rest.written == 0 }
