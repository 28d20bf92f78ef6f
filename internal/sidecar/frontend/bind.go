package frontend

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"
)

// Bind opens a listener. It replaces the file of a Unix socket without a listener, as left by a killed process. If
// another process serves the socket, Bind returns syscall.EADDRINUSE.
func Bind(l Listener) (net.Listener, error) {
	path, unix := l.path()
	if !unix {
		return net.Listen("tcp", l.Address)
	}
	mode, err := l.mode()
	if err != nil {
		return nil, err
	}
	if err := checkReplaceable(path); err != nil {
		return nil, err
	}
	// The socket has a temporary name until its mode is set, so that no client can connect in between.
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary) // may be left from a failed call; if it cannot be removed, Listen fails
	ln, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, err
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	if err = os.Chmod(temporary, mode); err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		_, _ = ln.Close(), os.Remove(temporary) // err is the error to report
		return nil, err
	}
	return ln, nil
}

// checkReplaceable returns an error if the file at path may not be replaced by a socket.
func checkReplaceable(path string) error {
	info, err := os.Lstat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode()&fs.ModeSocket == 0:
		return fmt.Errorf("%s is there and is no socket", path)
	}
	nc, err := net.DialTimeout("unix", path, time.Second)
	if err == nil {
		_ = nc.Close() // the connection only shows that a process listens
		return fmt.Errorf("%s: %w", path, syscall.EADDRINUSE)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return nil
}
