package http

import (
	"errors"
	"os"
	"time"

	"fieldrelay/internal/socket"
)

// departedPollInterval is how often a client whose next request has begun to come is looked at: its end stands behind bytes that
// nobody reads yet. What must not follow its leaving looks for itself.
const departedPollInterval = 50 * time.Millisecond

// watch is a read that goes on during a job.
type watch struct {
	conn    *watchedConn
	gone    chan struct{} // closed when the submitter has ended the connection
	stopped chan struct{} // closed to end the watch
	done    chan struct{}
}

func (c *watchedConn) watch() *watch {
	w := &watch{conn: c, gone: make(chan struct{}), done: make(chan struct{}), stopped: make(chan struct{})}
	c.Conn.SetReadDeadline(time.Time{})
	go w.run()
	return w
}

// run reads one byte ahead. From then on, and where one is there already, the client's end stands behind bytes of its next
// request, which stay in the system.
func (w *watch) run() {
	defer close(w.done)
	if len(w.conn.readAhead) == 0 {
		buf := make([]byte, 1)
		n, err := w.conn.Conn.Read(buf)
		w.conn.readAhead = buf[:n]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			close(w.gone)
			return
		}
	}
	tick := time.NewTicker(departedPollInterval)
	defer tick.Stop()
	for !socket.Departed(w.conn.Conn) {
		select {
		case <-tick.C:
		case <-w.stopped:
			return
		}
	}
	close(w.gone)
}

// stop ends the read. Nothing of it touches the connection afterwards.
func (w *watch) stop() {
	close(w.stopped)
	w.conn.Conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	w.conn.Conn.SetReadDeadline(time.Time{})
}
