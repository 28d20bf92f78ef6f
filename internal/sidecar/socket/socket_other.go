//go:build !linux

// Package socket asks the system what the standard library does not tell of a
// TCP connection. What it asks is known on Linux only.
package socket

import (
	"net"
	"time"
)

// SinceLastReceive is known on Linux only.
func SinceLastReceive(net.Conn) time.Duration { return 0 }

// Readable waits on Linux only. Where it does not, the read that follows waits.
func Readable(net.Conn) error { return nil }

// Unread is known on Linux only.
func Unread(net.Conn) bool { return false }

// PeerClosed is known on Linux only. Where it is not, a read tells of the end.
func PeerClosed(net.Conn) bool { return false }

// Unacknowledged is known on Linux only.
func Unacknowledged(net.Conn) int { return 0 }

// Pending is known on Linux only. Where it is not, one may always wait.
func Pending(net.Listener) bool { return true }
