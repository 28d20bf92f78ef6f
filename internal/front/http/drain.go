package http

import (
	"context"
	"net"
	"time"

	"fieldrelay/internal/socket"
)

// drain has the listener closed once what waits in the system's queue is taken, wakes the idle connections, and waits until
// every connection has ended. The goroutine that accepts is the one that closes: a connection is either taken by it or
// refused by the system.
func (l *listener) drain(ctx context.Context) error {
	l.shutDown()
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *listener) shutDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		l.draining, l.backlogUntil = true, time.Now().Add(backlogTimeout)
		close(l.closed)
		if bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			bounded.SetDeadline(time.Unix(1, 0)) // wakes the one that accepts
		} else {
			l.Listener.Close()
		}
	}
	for c := range l.conns {
		if !c.busy {
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	l.checkEmpty()
}

func (l *listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// backlog takes what the system had accepted when the listener was told to drain, and then closes it: closed first, it
// would reset those connections, with the requests that they carry.
func (l *listener) acceptBacklog() (net.Conn, error) {
	for time.Now().Before(l.backlogUntil) && socket.Pending(l.Listener) {
		if bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			bounded.SetDeadline(l.backlogUntil)
		}
		if nc, err := l.accept(); err == nil {
			return nc, nil
		}
		<-time.After(backlogRetryInterval) // no descriptor is left: one may come back
	}
	l.end()
	return nil, net.ErrClosed
}

// end closes the listener, on the goroutine that accepts.
func (l *listener) end() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptEnded = true
	l.checkEmpty()
}

func (l *listener) checkEmpty() {
	if l.draining && l.acceptEnded && len(l.conns) == 0 {
		l.once.Do(func() { close(l.empty) })
	}
}
