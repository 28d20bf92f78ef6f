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
type pendingWrite struct {
	done    chan struct{} // closed when the goroutine is done
	written int64         // valid once ended is closed
	err     error         // likewise
}

// Send writes one whole request: its head, ending with an empty line, and its body. It keeps the body, but not
// the head, until the connection is given back to its pool. A body that is not empty may still be on its way when
// Send returns; what becomes of it shows in Receive.
func (c *Conn) Send(head, body []byte) error {
	c.attachReader()
	c.separateBody = false
	if len(body) == 0 {
		written, err := c.socket.Write(head)
		return c.sendError(int64(written), err)
	}
	c.separateBody = true
	written, err := c.writeAvailable(head, body)
	if err != nil || written == len(head)+len(body) {
		return c.sendError(int64(written), err)
	}
	c.writePending(head, body, written)
	return nil
}

func (c *Conn) sendError(written int64, err error) error {
	if err == nil {
		return nil
	}
	c.broken = true
	return &SendError{Server: c.server, Written: written, Err: err}
}

// writeAvailable hands the system as much of a request as it takes at once.
func (c *Conn) writeAvailable(head, body []byte) (written int, err error) {
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

// writePending begins to write what is left of a request of which the system took some bytes.
func (c *Conn) writePending(head, body []byte, taken int) {
	rest := &pendingWrite{done: make(chan struct{}), written: int64(taken)}
	parts := net.Buffers{body[max(taken-len(head), 0):]}
	if taken < len(head) {
		parts = net.Buffers{bytes.Clone(head[taken:]), body}
	}
	c.pending = rest
	go func() {
		defer close(rest.done)
		written, err := parts.WriteTo(c.socket)
		rest.written += written
		rest.err = err
	}()
}

// fullySent tells whether the system has taken the whole request.
func (c *Conn) fullySent() bool {
	if c.pending == nil {
		return true
	}
	select {
	case <-c.pending.done:
		return c.pending.err == nil
	default:
		return false
	}
}

// stopSending gives up what is left of a request, and returns when its body is no longer used. It closes the
// connection unless the request was sent whole.
func (c *Conn) stopSending() {
	if c.pending == nil {
		return
	}
	if !c.fullySent() {
		c.broken = true
		c.Abort()
	}
	<-c.pending.done
}

// delivered tells whether the other machine's system has taken a request whole, as it has when the server answered
// after reading it. Only long requests are looked at: the others fit into what any system takes.
func (c *Conn) acknowledged() bool {
	if !c.separateBody {
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

// nothingSent tells whether no byte of a request whose sending was stopped has left.
func (c *Conn) nothingSent() bool { return c.pending != nil && c.pending.written == 0 }
