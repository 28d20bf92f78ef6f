package control

import (
	"context"
	"net"
	"sync"
)

// memoryListener accepts connections that dial opens within the process, so that a test in a bubble of synctest depends
// on no time that the processor takes. It is safe for concurrent use.
type memoryListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	closing  sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// dial opens a connection to the listener, whatever the address.
func (l *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }
