//go:build !linux

package agent

import "syscall"

// controlSocket does nothing on systems without TCP_USER_TIMEOUT.
func controlSocket(_, _ string, _ syscall.RawConn) error { return nil }
