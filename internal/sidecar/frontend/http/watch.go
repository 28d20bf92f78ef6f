package http

import (
	"errors"
	"os"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

// departedPollInterval is how often a connection is checked for the client's disconnect once the next request has begun
// to arrive: reads do not show the disconnect, since it follows bytes that are not read yet. Transports, which must not
// begin an attempt after the disconnect, call relay.Payload.ClientGone instead.
const departedPollInterval = 50 * time.Millisecond

// watch detects that the client disconnects while a request is served.
type watch struct {
	conn    *watchedConn
	gone    chan struct{} // closed when the client has closed the connection
	stopped chan struct{} // closed by stop
	done    chan struct{} // closed when run has returned
}

// watch starts a watch, which must be ended by stop.
func (c *watchedConn) watch() *watch {
	w := &watch{conn: c, gone: make(chan struct{}), done: make(chan struct{}), stopped: make(chan struct{})}
	setReadDeadline(c.Conn, time.Time{})
	go w.run()
	return w
}

// run reads one byte ahead, unless bytes were read ahead already. From then on a disconnect follows the unread bytes of
// the next request, which stay in the socket's receive buffer, so run polls the operating system for it.
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

// stop ends the watch. The watch does not use the connection after stop has returned.
func (w *watch) stop() {
	close(w.stopped)
	setReadDeadline(w.conn.Conn, ended)
	<-w.done
	setReadDeadline(w.conn.Conn, time.Time{})
}
