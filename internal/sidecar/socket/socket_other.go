//go:build !linux

// Package socket queries the operating system for the state of TCP connections
// that the standard library does not expose. The queries work on Linux only.
package socket

import (
	"net"
	"time"
)

// SinceLastReceive works on Linux only.
func SinceLastReceive(net.Conn) time.Duration { return 0 }

// Readable waits on Linux only. On other systems the read that follows waits.
func Readable(net.Conn) error { return nil }

// Unread works on Linux only.
func Unread(net.Conn) bool { return false }

// PeerClosed works on Linux only. On other systems a read reports the end.
func PeerClosed(net.Conn) bool { return false }

// Unacknowledged works on Linux only.
func Unacknowledged(net.Conn) int { return 0 }

// Pending works on Linux only. On other systems it reports that a connection may always be waiting.
func Pending(net.Listener) bool { return true }
