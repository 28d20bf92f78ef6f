package agent

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is how long bytes may stay unacknowledged before a connection counts as broken: a machine
// without power or behind a cut says nothing.
const unacknowledgedTimeout = 2 * time.Second

// controlSocket makes a socket notice that the other side is cut off. Connections inherit it from their listener.
func controlSocket(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		limit := int(unacknowledgedTimeout / time.Millisecond)
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
	})
	if err != nil {
		return err
	}
	return failure
}
