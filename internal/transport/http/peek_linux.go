package http

import (
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// socketOf is the socket of a connection, to look at; nil: it has none.
func socketOf(nc net.Conn) syscall.RawConn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil { // it is closed already: a read of it tells
		return nil
	}
	return raw
}

// peek looks at what waits unread on a socket, without taking it or waiting for it: bytes, or else the end or an error (waits
// alone). It is unix.Recvfrom without the address of the sender, which that allocates each time.
func peek(fd uintptr, into *byte) (waits, bytes bool) {
	n, _, err := unix.Syscall6(unix.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(into)), 1, unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
	switch err {
	case unix.EAGAIN, unix.EINTR:
		return false, false
	default:
		return true, err == 0 && n > 0
	}
}
