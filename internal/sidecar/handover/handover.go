// Package handover replaces a process by another one that goes on with its
// listening sockets: the new process inherits their descriptors, says on a pipe
// when it is ready, and only then does the old one stop to accept. Connections
// that wait in the queue of a socket belong to the socket, so none is lost.
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

// Settings are the section replace of the operator's file.
type Settings struct {
	Enabled        bool    `toml:"enabled"`    // SIGUSR2 starts a new process that takes over
	TimeoutSeconds float64 `toml:"patience_s"` // seconds in which it must be ready
}

// Defaults are the settings where the operator says nothing.
func Defaults() Settings { return Settings{TimeoutSeconds: 10} }

const maxTimeoutSeconds = 600

// Check calls fault for each key whose value cannot be used.
func (s *Settings) Check(fault func(key string, read any, allowed string)) {
	if !(s.TimeoutSeconds > 0 && s.TimeoutSeconds <= maxTimeoutSeconds) {
		fault("patience_s", s.TimeoutSeconds, fmt.Sprintf("over 0, up to %d", maxTimeoutSeconds))
	}
}

// ReadyTimeout is the time in which a new process must be ready.
func (s *Settings) ReadyTimeout() time.Duration {
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}

// inheritedEnv names in the environment what the new process inherits.
const inheritedEnv = "FIELDRELAY_HANDOVER"

// firstInheritedFD is the descriptor of the first inherited file; the ones before it are the standard ones.
const firstInheritedFD = 3

// What keeps a replacement from taking over.
var (
	ErrExited   = errors.New("handover: the new process ended before it was ready")
	ErrTimeout  = errors.New("handover: the new process was not ready in time")
	ErrCanceled = errors.New("handover: given up before the new process was ready")
)

// Start starts binary with args and gives it the listeners, by address. It waits until the new process is ready, for
// patience at the most and no longer than ctx is. With an error the new process has ended and the caller goes on as before; without one the
// caller closes its listeners and drains.
func Start(ctx context.Context, binary string, args []string, listeners map[string]net.Listener, timeout time.Duration) (pid int, err error) {
	ready, readyWriter, err := os.Pipe()
	if err != nil {
		return 0, err
	}
	defer func() { _ = ready.Close() }()
	defer func() { _ = readyWriter.Close() }() // a second time, as a rule
	inherited, err := duplicateAll(listeners)
	defer inherited.close()
	if err != nil {
		return 0, err
	}
	proc, err := startProcess(binary, args, readyWriter, inherited)
	if err != nil {
		return 0, err
	}
	_ = readyWriter.Close() // so that the pipe ends with the new process
	if err := awaitReady(ctx, ready, timeout); err != nil {
		_ = proc.Kill() // it may have ended
		_, _ = proc.Wait()
		return 0, err
	}
	go func() { _, _ = proc.Wait() }() // it outlives this process, as a rule
	return proc.Pid, nil
}

// inheritance is the sockets that a new process gets, and their addresses in the same order.
type inheritance struct {
	descriptors []uintptr
	addresses   []string
}

// duplicateAll duplicates the sockets of listeners. What was duplicated must be closed, with an error too.
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

// startProcess starts the new process with the pipe on which it says that it is ready, and with the sockets.
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

// awaitReady waits until the new process has said that it is ready. The error is one of those above.
func awaitReady(ctx context.Context, ready *os.File, timeout time.Duration) error {
	// A pipe takes deadlines until it is closed.
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

// signaledReady tells whether the new process has said that it is ready. A read whose deadline is over does not look, and a process
// that has said so may serve already.
func signaledReady(ready *os.File) bool {
	signaled := false
	if raw, err := ready.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { // fails once the pipe is closed: nothing was said then
			n, err := unix.Read(int(fd), make([]byte, 1)) // the pipe does not block
			signaled = err == nil && n == 1
		})
	}
	return signaled
}

// duplicate gives a listener's descriptor a second time. os.File would make the socket a blocking one, for both
// processes: the old one could then be caught in an accept that closing does not end.
func duplicate(ln net.Listener) (uintptr, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0, errors.New("no descriptor")
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

// Inherited is what this process has been given by the one before it.
type Inherited struct {
	Listeners map[string]net.Listener // by address; empty if there was none before
	ready     *os.File
}

// Inherit takes over what the environment tells of. It is called once, at the start.
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

// Replaces tells whether there was a process before this one that waits for Ready.
func (in *Inherited) Replaces() bool { return in.ready != nil }

// Ready tells the process before this one to stop accepting.
func (in *Inherited) Ready() error {
	if in.ready == nil {
		return nil
	}
	_, err := in.ready.Write([]byte{1})
	return errors.Join(err, in.ready.Close())
}
