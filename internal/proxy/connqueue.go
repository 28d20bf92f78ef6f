package proxy

import (
	"net"
	"sync"
)

// connQueue is a net.Listener that accepts the connections that are offered to it. It is safe for concurrent use.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// offer passes a connection to Accept; it returns false if the listener is closed.
func (h *connQueue) offer(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

func (h *connQueue) close() { h.once.Do(func() { close(h.done) }) }

// Close implements net.Listener.
func (h *connQueue) Close() error {
	h.close()
	return nil
}

// Addr implements net.Listener.
func (h *connQueue) Addr() net.Addr { return h.address }
