//go:build !linux

package agent

import "syscall"

// controlSocket does nothing where the option that it sets doesn't exist.
func controlSocket(_, _ string, _ syscall.RawConn) error { return nil }
