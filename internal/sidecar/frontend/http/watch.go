package http

import (
	"errors"
	"os"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

// departedPollInterval is how often a client whose next request has begun to arrive is checked: its end stands behind
// bytes that nobody reads yet. Where an attempt must not follow the client's end, relay.Payload.ClientGone is asked.
const departedPollInterval = 50 * time.Millisecond

// watch is a read of a connection that goes on while a request is served.
type watch struct {
	conn    *watchedConn
	gone    chan struct{} // closed when the client has ended the connection
	stopped chan struct{} // closed by stop
	done    chan struct{} // closed when run has returned
}

// watch starts a watch, which ends with stop.
func (c *watchedConn) watch() *watch {
	w := &watch{conn: c, gone: make(chan struct{}), done: make(chan struct{}), stopped: make(chan struct{})}
	setReadDeadline(c.Conn, time.Time{})
	go w.run()
	return w
}

// run reads one byte ahead, unless there is one. From then on the client's end stands behind bytes of its next request,
// which stay in the operating system, and so the system is polled for it.
func (w *watch) run() {
	defer close(w.done)
	if len(w.conn.readAhead) == 0 {
		buf := make([]byte, 1)
		n, err := w.conn.Conn.Read(buf)
		w.conn.readAhead = buf[:n]
		if errors.Is(err, os.ErrDeadlineExceeded) { // stopped
			return
		}
		if err != nil {
			close(w.gone)
			return
		}
	}
	tick := time.NewTicker(departedPollInterval)
	defer tick.Stop()
	for !socket.PeerClosed(w.conn.Conn) {
		select {
		case <-tick.C:
		case <-w.stopped:
			return
		}
	}
	close(w.gone)
}

// stop ends the watch. It does not touch the connection afterwards.
func (w *watch) stop() {
	close(w.stopped)
	setReadDeadline(w.conn.Conn, ended)
	<-w.done
	setReadDeadline(w.conn.Conn, time.Time{})
}
