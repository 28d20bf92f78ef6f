package agent

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent data may stay unacknowledged before the kernel closes a connection (TCP_USER_TIMEOUT,
// RFC 5482). A machine without power or behind a network partition closes no connection.
const userTimeout = 2 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT on a socket, so that its connection fails when the peer becomes unreachable.
// Connections inherit the option from their listener. The function is for net.Dialer.Control and
// net.ListenConfig.Control.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		limit := int(userTimeout / time.Millisecond)
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
	})
	if err != nil {
		return err
	}
	return failure
}
