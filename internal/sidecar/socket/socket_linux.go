// Package socket asks the system what the standard library does not tell of a
// TCP connection.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceive tells for how long nothing has come on a connection: since its last byte reached this machine, read or
// not, or since it was made. 0 if the system does not know.
func SinceLastReceive(nc net.Conn) time.Duration {
	var quiet time.Duration
	control(nc, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			quiet = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return quiet
}

// Readable waits until something can be read on a connection (a byte, its end or an error), and reads nothing. It fails at
// the connection's read deadline and when it is closed on this side.
func Readable(nc net.Conn) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// Unread tells whether something has come on a connection that is not read: a byte, its end or an error.
func Unread(nc net.Conn) bool {
	unread := false
	control(nc, func(fd int) {
		_, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = !errors.Is(err, unix.EAGAIN)
	})
	return unread
}

// PeerClosed tells whether the other side has ended a connection, also where bytes that are not read stand before its end: it
// has ended its sending, reset the connection, or this side has closed it. Nothing is read.
func PeerClosed(nc net.Conn) bool {
	departed := true // of a closed connection no descriptor is asked
	known := control(nc, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		departed = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		if !departed { // the end alone is told in this way too
			n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			departed = err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		}
	})
	return known && departed
}

// Unacknowledged is how many bytes written to a connection the other machine has not acknowledged; 0 where the system does not know.
func Unacknowledged(nc net.Conn) int {
	unsent := 0
	control(nc, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return unsent
}

// Pending tells whether a connection waits to be accepted.
func Pending(ln net.Listener) bool {
	pending := false
	control(ln, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// control calls ask with the descriptor of a connection or listener, unless it is closed. It tells whether it is of a kind
// that has one.
func control(of any, ask func(fd int)) bool {
	sc, ok := of.(syscall.Conn)
	if ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { ask(int(fd)) }) // it fails on a closed connection: nothing is told then
		}
	}
	return ok
}
