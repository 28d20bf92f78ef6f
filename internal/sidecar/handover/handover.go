// Package handover replaces a process by a new one that takes over its
// listening sockets: the new process inherits their descriptors and signals on
// a pipe that it is ready, and only then does the old process stop accepting.
// Connections in the accept queue belong to the socket, so none is lost.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings is the section replace of the operator's file.
type Settings struct {
	Enabled  bool    `toml:"enabled"`    // SIGUSR2 starts a new process that takes over
	TimeoutS float64 `toml:"patience_s"` // seconds within which the new process must be ready
}

// Defaults returns the settings that apply where the operator's file sets none.
func Defaults() Settings { return Settings{TimeoutS: 10} }

const maxTimeoutSeconds = 600

// Check calls fault for each key whose value cannot be used.
func (s *Settings) Check(fault func(key string, read any, allowed string)) {
	if !(s.TimeoutS > 0 && s.TimeoutS <= maxTimeoutSeconds) {
		fault("patience_s", s.TimeoutS, fmt.Sprintf("over 0, up to %d", maxTimeoutSeconds))
	}
}

// Timeout returns the time within which a new process must be ready.
func (s *Settings) Timeout() time.Duration { return time.Duration(s.TimeoutS * float64(time.Second)) }

// inheritedEnv is the environment variable that lists the addresses of the inherited listeners, as a JSON array.
const inheritedEnv = "FIELDRELAY_HANDOVER"

// firstInheritedFD is the first inherited descriptor beyond standard input, output and error: the ready pipe. The sockets
// follow it.
const firstInheritedFD = 3

// Errors of Start when the new process does not take over.
var (
	ErrExited   = errors.New("handover: the new process exited before it was ready")
	ErrTimeout  = errors.New("handover: the new process was not ready within the timeout")
	ErrCanceled = errors.New("handover: canceled before the new process was ready")
)

// Start starts binary with args and passes it the listeners, keyed by address. It waits until the new process is ready, for
// at most timeout and until ctx ends. After an error the new process has ended, and the caller continues to serve; otherwise
// the caller closes its listeners and drains.
func Start(ctx context.Context, binary string, args []string, listeners map[string]net.Listener, timeout time.Duration) (pid int, err error) {
	ready, readyWriter, err := os.Pipe()
	if err != nil {
		return 0, err
	}
	defer func() { _ = ready.Close() }()
	defer func() { _ = readyWriter.Close() }() // usually closed already
	inherited, err := duplicateAll(listeners)
	defer inherited.close()
	if err != nil {
		return 0, err
	}
	proc, err := startProcess(binary, args, readyWriter, inherited)
	if err != nil {
		return 0, err
	}
	_ = readyWriter.Close() // so that the read of the pipe ends when the new process exits
	if err := awaitReady(ctx, ready, timeout); err != nil {
		_ = proc.Kill() // fails if the process has exited
		_, _ = proc.Wait()
		return 0, err
	}
	go func() { _, _ = proc.Wait() }() // the new process usually outlives this one
	return proc.Pid, nil
}

// inheritance holds the sockets that a new process inherits, and their addresses in the same order.
type inheritance struct {
	descriptors []uintptr
	addresses   []string
}

// duplicateAll duplicates the sockets of listeners. The caller must close the result, even after an error.
func duplicateAll(listeners map[string]net.Listener) (inheritance, error) {
	var all inheritance
	for address, listener := range listeners {
		descriptor, err := duplicate(listener)
		if err != nil {
			return all, fmt.Errorf("handover: %s: %w", address, err)
		}
		all.descriptors, all.addresses = append(all.descriptors, descriptor), append(all.addresses, address)
	}
	return all, nil
}

func (i inheritance) close() {
	for _, descriptor := range i.descriptors {
		_ = syscall.Close(int(descriptor))
	}
}

// startProcess starts the new process with the pipe on which it signals that it is ready, and with the sockets.
func startProcess(binary string, args []string, readyWriter *os.File, inherited inheritance) (*os.Process, error) {
	addresses, err := json.Marshal(inherited.addresses)
	if err != nil {
		return nil, err
	}
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, inheritedEnv+"=") })
	pid, err := syscall.ForkExec(binary, append([]string{binary}, args...), &syscall.ProcAttr{
		Env:   append(env, inheritedEnv+"="+string(addresses)),
		Files: append([]uintptr{0, 1, 2, readyWriter.Fd()}, inherited.descriptors...),
	})
	if err != nil {
		return nil, err
	}
	return os.FindProcess(pid)
}

// awaitReady waits until the new process has signaled that it is ready. It returns ErrCanceled, ErrTimeout or ErrExited if
// that does not happen.
func awaitReady(ctx context.Context, ready *os.File, timeout time.Duration) error {
	// Setting a deadline on a pipe fails only if the pipe is closed.
	_ = ready.SetReadDeadline(time.Now().Add(timeout))
	defer context.AfterFunc(ctx, func() { _ = ready.SetReadDeadline(time.Unix(1, 0)) })()
	_, err := ready.Read(make([]byte, 1))
	switch {
	case err == nil || signaledReady(ready):
		return nil
	case ctx.Err() != nil:
		return ErrCanceled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	default:
		return ErrExited
	}
}

// signaledReady reports whether the new process has signaled that it is ready. It reads the descriptor directly, since
// os.File.Read returns without reading once its deadline has passed, and a process that has signaled may serve already.
func signaledReady(ready *os.File) bool {
	signaled := false
	if raw, err := ready.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // fails once the pipe is closed: the process counts as not ready
			n, err := unix.Read(int(fd), make([]byte, 1)) // the pipe does not block
			signaled = err == nil && n == 1
		})
	}
	return signaled
}

// duplicate returns a duplicate of a listener's descriptor. Going through os.File would make the socket blocking for both
// processes: the old process could then be stuck in an accept that closing the listener does not end.
func duplicate(ln net.Listener) (uintptr, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0, errors.New("the listener has no file descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var fd int
	var dupErr error
	if err := raw.Control(func(from uintptr) { fd, dupErr = unix.FcntlInt(from, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return 0, err
	}
	return uintptr(fd), dupErr
}

// Inherited is what this process has inherited from the process that it replaces.
type Inherited struct {
	Listeners map[string]net.Listener // listeners by address; empty if no process is replaced
	ready     *os.File
}

// Inherit opens the inherited descriptors that the environment lists. It must be called once, at the start.
func Inherit() (*Inherited, error) {
	in := &Inherited{Listeners: map[string]net.Listener{}}
	encoded := os.Getenv(inheritedEnv)
	if encoded == "" {
		return in, nil
	}
	if err := os.Unsetenv(inheritedEnv); err != nil {
		return nil, err
	}
	var addresses []string
	if err := json.Unmarshal([]byte(encoded), &addresses); err != nil {
		return nil, fmt.Errorf("%s: %w", inheritedEnv, err)
	}
	in.ready = os.NewFile(firstInheritedFD, "ready")
	for i, address := range addresses {
		f := os.NewFile(uintptr(firstInheritedFD+1+i), address)
		ln, err := net.FileListener(f)
		_ = f.Close() // the listener has a descriptor of its own
		if err != nil {
			return nil, fmt.Errorf("handover: %s: %w", address, err)
		}
		if u, ok := ln.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(false)
		}
		in.Listeners[address] = ln
	}
	return in, nil
}

// Replaces reports whether this process replaces another one, which waits for Ready.
func (in *Inherited) Replaces() bool { return in.ready != nil }

// Ready signals the replaced process to stop accepting. Without one it does nothing.
func (in *Inherited) Ready() error {
	if in.ready == nil {
		return nil
	}
	_, err := in.ready.Write([]byte{1})
	return errors.Join(err, in.ready.Close())
}
