package agent

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before a connection counts as broken: a machine
// without power or behind a partition closes none (TCP_USER_TIMEOUT, RFC 5482).
const unacknowledgedTimeout = 2 * time.Second

// controlSocket makes a socket notice that the other side is unreachable. Connections inherit the option from their
// listener. It is for net.Dialer.Control and net.ListenConfig.Control.
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
