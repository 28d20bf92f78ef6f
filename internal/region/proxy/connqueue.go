package proxy

import (
	"net"
	"sync"
)

// connQueue is a net.Listener whose Accept returns the connections passed to offer. It is safe for concurrent use.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// offer blocks until Accept has taken the connection. It returns false if the listener is closed.
func (q *connQueue) offer(conn net.Conn) bool {
	select {
	case q.conns <- conn:
		return true
	case <-q.done:
		return false
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) close() { q.once.Do(func() { close(q.done) }) }

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.close()
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
