package upstream

import (
	"bytes"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// pendingWrite is the part of a long request that the kernel did not accept at once. A separate goroutine writes it,
// so that a response can be received before the server has read the whole request. The goroutine ends with the
// request or with the connection; stopSending waits for it.
type pendingWrite struct {
	done    chan struct{} // closed when the goroutine has ended
	written int64         // bytes of the request written so far; valid once done is closed
	err     error         // error of the write; valid once done is closed
}

// Send writes one request: its head, including the empty line that ends it, and its body. An error is a *SendError.
//
// The head may be reused once Send returns. The body is in use until the connection is released or discarded, because
// part of it may still be unsent when Send returns. Receive reports an error of sending that part.
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

// writeAvailable writes as much of a request as the kernel accepts without blocking, possibly nothing.
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

// writePending starts the goroutine that writes the rest of a request of which written bytes are already sent.
func (c *Conn) writePending(head, body []byte, written int) {
	pending := &pendingWrite{done: make(chan struct{}), written: int64(written)}
	buffers := net.Buffers{body[max(written-len(head), 0):]}
	if written < len(head) {
		buffers = net.Buffers{bytes.Clone(head[written:]), body}
	}
	c.pending = pending
	go func() {
		defer close(pending.done)
		more, err := buffers.WriteTo(c.socket)
		pending.written += more
		pending.err = err
	}()
}

// fullySent reports whether the kernel has accepted the whole request.
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

// stopSending abandons the unsent part of a request, and returns when the request's body is no longer in use. It
// resets the connection unless the request was fully sent, because the server still expects the rest of the body.
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

// acknowledged reports whether the server's kernel has received all of a request, as is the case when the server
// responds after reading it. Only requests with a separate body are checked, because all other requests are smaller
// than any send buffer. If the local kernel does not support the query, the request counts as received.
func (c *Conn) acknowledged() bool {
	if !c.separateBody {
		return true
	}
	count, known, err := c.unacknowledged()
	return err == nil && (!known || count == 0)
}

// unacknowledged returns the number of sent bytes that the server's kernel has not acknowledged. known is false if
// the local kernel does not support the query. err is set if the connection is closed.
func (c *Conn) unacknowledged() (count int, known bool, err error) {
	err = c.raw.Control(func(descriptor uintptr) {
		var failure error
		count, failure = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		known = failure == nil
	})
	return count, known, err
}

// nothingSent reports whether no byte of a request was sent. The caller must have called stopSending.
func (c *Conn) nothingSent() bool { return c.pending != nil && c.pending.written == 0 }
