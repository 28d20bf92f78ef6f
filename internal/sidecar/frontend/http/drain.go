package http

import (
	"context"
	"net"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

// A listener that shuts down accepts connections from the operating system's backlog for backlogTimeout. After a failed
// accept, for example for lack of descriptors, it retries every backlogRetryInterval.
const (
	backlogTimeout       = 200 * time.Millisecond
	backlogRetryInterval = 5 * time.Millisecond
)

// deadliner is implemented by listeners whose pending accept can be ended by a deadline.
type deadliner interface{ SetDeadline(time.Time) error }

// drain shuts down the listener and waits until every connection has ended, or returns the error of ctx.
func (l *listener) drain(ctx context.Context) error {
	l.shutDown()
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// shutDown makes the accepting goroutine accept the backlog and then close the listener, and closes the idle
// connections. Since the accepting goroutine closes the listener, each connection is either accepted by it or refused
// by the operating system.
func (l *listener) shutDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		l.draining, l.backlogUntil = true, time.Now().Add(backlogTimeout)
		close(l.closed)
		if d, ok := l.Listener.(deadliner); ok {
			_ = d.SetDeadline(ended) // fails only on a closed listener, which needs no deadline
		} else {
			_ = l.Close() // end closes it again
		}
	}
	for c := range l.conns {
		if !c.busy {
			setReadDeadline(c.Conn, ended)
		}
	}
	l.checkEmpty()
}

func (l *listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// acceptBacklog accepts the connections that the operating system had accepted before the shutdown, and then closes the
// listener. Closing it first would reset those connections and lose their requests.
func (l *listener) acceptBacklog() (net.Conn, error) {
	for time.Now().Before(l.backlogUntil) && socket.Pending(l.Listener) {
		if d, ok := l.Listener.(deadliner); ok {
			_ = d.SetDeadline(l.backlogUntil) // on a closed listener accept fails
		}
		if nc, err := l.accept(); err == nil {
			return nc, nil
		}
		<-time.After(backlogRetryInterval)
	}
	l.end()
	return nil, net.ErrClosed
}

// end closes the listener, on the accepting goroutine.
func (l *listener) end() {
	_ = l.Close() // the listener may be closed already
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptEnded = true
	l.checkEmpty()
}

// checkEmpty closes empty once the listener drains and no connection is left. l.mu must be held.
func (l *listener) checkEmpty() {
	if l.draining && l.acceptEnded && len(l.conns) == 0 {
		l.once.Do(func() { close(l.empty) })
	}
}
