package submit

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"fieldrelay/internal/socket"
)

// lastLook is how long an idle connection is read once more before it is closed to make room or at a shutdown.
const lastLook = time.Millisecond

// leastIdle is how long a submitter may count on a connection that carries no request.
const leastIdle = 2 * time.Second

// spareSlots is the part of the slots that is kept free while connections idle: one in so many.
const spareSlots = 8

// listener keeps hold of its connections, so that they can be watched during a job, let go at a shutdown, and
// closed to make room: submitters that say nothing would else keep all others out.
type listener struct {
	net.Listener
	most     int           // connections that may be open
	freed    chan struct{} // a connection has ended, or one that was to end goes on
	closed   chan struct{} // no connection is taken any more
	mu       sync.Mutex
	conns    map[*watchedConn]bool
	leaving  int // of them have been told to end
	draining bool
	empty    chan struct{} // closed when it drains and no connection is left
	once     sync.Once
}

func newListener(ln net.Listener, most int) *listener {
	return &listener{Listener: ln, most: most, freed: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: map[*watchedConn]bool{}, empty: make(chan struct{})}
}

// Accept leaves a connection beyond the limit in the system's queue, since its request would be lost if it were
// taken and closed, and makes room for it.
func (l *listener) Accept() (net.Conn, error) {
	if err := l.room(); err != nil {
		return nil, err
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// It may have stood in the queue for a while.
	quiet := socket.Quiet(nc)
	c := &watchedConn{Conn: nc, listener: l, idleSince: time.Now().Add(-quiet),
		first: time.Now().Add(max(readTimeout-quiet, queuedTimeout))}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// room waits for a free slot.
func (l *listener) room() error {
	for {
		wait, full := l.evict()
		if !full {
			return nil
		}
		var aged <-chan time.Time
		if wait > 0 {
			aged = time.After(wait)
		}
		select {
		case <-l.freed:
		case <-aged:
		case <-l.closed:
			return net.ErrClosed
		}
	}
}

// evict tells the connection that has carried no request for the longest time to end when slots run short. It
// reports whether there is none left, and if one frees itself by age only, when.
func (l *listener) evict() (wait time.Duration, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = len(l.conns) >= l.most
	if len(l.conns)-l.leaving < l.most-l.most/spareSlots {
		return 0, full
	}
	var oldest *watchedConn
	for c := range l.conns {
		if !c.busy && !c.leaving && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
			oldest = c
		}
	}
	if oldest == nil {
		return 0, full
	}
	if wait = time.Until(oldest.idleSince.Add(leastIdle)); wait > 0 {
		return wait, full
	}
	oldest.leaving = true
	l.leaving++
	oldest.Conn.SetReadDeadline(time.Unix(1, 0))
	return 0, full
}

func (l *listener) free() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// drain closes the listener and wakes the idle connections, and waits until every connection has ended.
func (l *listener) drain(ctx context.Context) error {
	l.Listener.Close()
	close(l.closed)
	l.mu.Lock()
	l.draining = true
	for c := range l.conns {
		if !c.busy {
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	l.checkEmpty()
	l.mu.Unlock()
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *listener) checkEmpty() {
	if l.draining && len(l.conns) == 0 {
		l.once.Do(func() { close(l.empty) })
	}
}

// watchedConn tells while a job runs that its submitter has gone, which fasthttp does not: a read goes on
// during the job, and what it gets of the next request is kept for the server's own read.
type watchedConn struct {
	net.Conn
	listener *listener
	first    time.Time // when its first request must be there
	early    []byte    // read during a job; used by one goroutine at a time
	answered bool      // its first request is; the server's goroutine's

	// Under the listener's lock.
	busy      bool      // a request has begun to come and is not answered
	idleSince time.Time // when it was last not
	leaving   bool      // it is to end: there is no room for it
}

// SetReadDeadline keeps the first request to the time from when its connection was made: however slowly one comes,
// and however long its connection stood in the queue, it does not hold a slot for longer.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	if !c.answered && t.After(c.first) {
		t = c.first
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads for the server. At a shutdown, or when it is to end, an idle connection is looked at once more: a request that has come
// in but was not yet read counts as taken, and fasthttp's own closing of idle connections would lose it.
func (c *watchedConn) Read(p []byte) (int, error) {
	if len(c.early) > 0 {
		n := copy(p, c.early)
		c.early = c.early[n:]
		c.setBusy(true)
		return n, nil
	}
	looked := c.look()
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !looked && c.look() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

// look bounds the next read if the connection idles and is to end, and lifts what a shutdown that came a moment
// ago has set if a request has begun.
func (c *watchedConn) look() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.listener.draining && !c.leaving {
		return false
	}
	wait := lastLook
	if c.busy {
		wait = readTimeout
	}
	c.Conn.SetReadDeadline(time.Now().Add(wait))
	return true
}

// Write writes for the server. An interim answer ends no request.
func (c *watchedConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, interim) {
		c.answered = true
		c.setBusy(false)
	}
	return c.Conn.Write(p)
}

var interim = []byte("HTTP/1.1 100 ")

func (c *watchedConn) setBusy(busy bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.busy = busy; !busy {
		c.idleSince = time.Now()
	} else if c.leaving { // a request came in the last moment
		c.stay()
		c.SetReadDeadline(time.Now().Add(readTimeout))
	}
}

// stay takes back that the connection is to end.
func (c *watchedConn) stay() {
	if c.leaving {
		c.leaving = false
		c.listener.leaving--
	}
	c.listener.free()
}

func (c *watchedConn) Close() error {
	err := c.Conn.Close() // before its slot is free: the next one needs the descriptor
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.conns[c] {
		delete(c.listener.conns, c)
		c.stay()
		c.listener.checkEmpty()
	}
	return err
}

// watch is a read that goes on during a job.
type watch struct {
	conn *watchedConn
	gone chan struct{} // closed when the submitter has ended the connection
	done chan struct{}
}

func (c *watchedConn) watch() *watch {
	w := &watch{conn: c, gone: make(chan struct{}), done: make(chan struct{})}
	if len(c.early) > 0 { // the next request has begun: nothing can be told of its end
		close(w.done)
		return w
	}
	c.Conn.SetReadDeadline(time.Time{})
	go w.run()
	return w
}

func (w *watch) run() {
	defer close(w.done)
	buf := make([]byte, 1)
	n, err := w.conn.Conn.Read(buf)
	w.conn.early = buf[:n]
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		close(w.gone)
	}
}

// stop ends the read. Nothing of it touches the connection afterwards.
func (w *watch) stop() {
	w.conn.Conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	w.conn.Conn.SetReadDeadline(time.Time{})
}
