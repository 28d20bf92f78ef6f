package upstream

import (
	"errors"
	"syscall"
)

// idleState is the result of checking an idle connection.
type idleState uint8

const (
	idleUsable      idleState = iota // the connection is open and has no bytes to read
	idleUnusable                     // the server closed the connection, or unexpected bytes are to be read
	idleUnreachable                  // the server's machine has not acknowledged the kernel's keep-alive probes
)

// checkIdle checks an idle connection with one non-blocking read.
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
