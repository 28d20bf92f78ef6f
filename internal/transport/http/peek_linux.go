package http

import "golang.org/x/sys/unix"

// peek looks at what waits unread on a socket, without taking it or waiting for it: bytes, or else the end or an error (waits
// alone). It is asked by the two that may find something: who writes a claim, and the reader.
func peek(fd uintptr, into []byte) (waits, bytes bool) {
	n, _, err := unix.Recvfrom(int(fd), into, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch err {
	case unix.EAGAIN, unix.EINTR:
		return false, false
	default:
		return true, err == nil && n > 0
	}
}
