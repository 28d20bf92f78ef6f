// Package socket queries the operating system for the state of TCP connections
// that the standard library does not expose.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceive returns the time since the last byte of a connection reached this machine, read or not, or since the
// connection was established. It returns 0 if the system does not report it.
func SinceLastReceive(nc net.Conn) time.Duration {
	var quiet time.Duration
	control(nc, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			quiet = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return quiet
}

// Readable waits until a read on a connection would not block (a byte, end of file or an error), without reading. It fails
// at the connection's read deadline and when the connection is closed on this side.
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

// Unread reports whether a connection has something to read: a byte, end of file or an error.
func Unread(nc net.Conn) bool {
	unread := false
	control(nc, func(fd int) {
		_, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = !errors.Is(err, unix.EAGAIN)
	})
	return unread
}

// PeerClosed reports whether the peer has closed its sending side or reset the connection, or this side has closed the
// connection. It reads nothing, and sees the end also behind unread bytes.
func PeerClosed(nc net.Conn) bool {
	departed := true // the result for a connection closed on this side, for which no descriptor is queried
	known := control(nc, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		departed = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		if !departed { // an end of file or an error is visible to a read as well
			n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			departed = err == nil && n == 0 || err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
		}
	})
	return known && departed
}

// Unacknowledged returns the number of bytes written to a connection that the other machine has not acknowledged, or 0 if
// the system does not report it.
func Unacknowledged(nc net.Conn) int {
	unsent := 0
	control(nc, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return unsent
}

// Pending reports whether a connection waits to be accepted.
func Pending(ln net.Listener) bool {
	pending := false
	control(ln, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// control calls ask with the descriptor of a connection or listener, unless that is closed. It reports whether its type has
// descriptors.
func control(of any, ask func(fd int)) bool {
	sc, ok := of.(syscall.Conn)
	if ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { ask(int(fd)) }) // fails on a closed connection, without calling ask
		}
	}
	return ok
}
