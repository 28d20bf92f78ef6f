package http

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/socket"
)

// What a connection is charged: its goroutine, the server's state for it and its read buffer; and while a request is
// in work the watch on its end, the buffers of both ways and the deeper stacks. As measured, with the odd bytes that
// the allocator rounds up.
const (
	connBytes = 12 << 10
	busyBytes = 6 << 10
)

// crowded is how often a listener that finds no room in the budget looks again.
const memoryPollInterval = 20 * time.Millisecond

// dropped is how many large requests that wait for bytes are refused at each of these looks.
const rejectedPerPoll = 4

// finalReadTimeout is how long an idle connection is read once more before it is closed to make room or at a shutdown.
const finalReadTimeout = time.Millisecond

// minIdleTime is how long a submitter may count on a connection that carries no request.
const minIdleTime = 2 * time.Second

// stalled is how long a request that has begun to come may stay unfinished where others wait for its place. Whoever
// has one to make sends it in one go.
const stallTimeout = 500 * time.Millisecond

// What stands between an answer and the close of its connection. A close over bytes that are not read resets the
// connection, and what of the answer has not reached the client goes with it: so the sending ends first, and what still comes
// is passed over until the client has all or has ended too, for so long and so many bytes at the most.
const (
	lingerTime         = 250 * time.Millisecond
	lingerPollInterval = 2 * time.Millisecond
	lingerBytes        = 1 << 20
)

// departedPollInterval is how often a client whose next request has begun to come is looked at: its end stands behind bytes that
// nobody reads yet. What must not follow its leaving looks for itself.
const departedPollInterval = 50 * time.Millisecond

// What the system refuses for want of descriptors or memory is tried again after so long, or when a connection has ended.
const acceptRetryInterval = 50 * time.Millisecond

// backlogTimeout bounds how long a listener that shuts down goes on taking connections that the system has accepted already.
const (
	backlogTimeout       = 200 * time.Millisecond
	backlogRetryInterval = 5 * time.Millisecond
)

// spareSlotsDivisor is the part of the slots that is kept free while connections idle: one in so many.
const spareSlotsDivisor = 8

// listener keeps hold of its connections, so that they can be watched during a job, let go at a shutdown, and
// closed to make room: submitters that say nothing would else keep all others out.
type listener struct {
	net.Listener
	gate         *budget.Gate
	memoryShort  atomic.Bool   // connections waited at the last look, for want of bytes
	released     chan struct{} // a connection has ended, or one that was to end goes on
	closed       chan struct{} // no connection is taken any more
	mu           sync.Mutex
	maxConns     int // connections that may be open
	conns        map[*watchedConn]bool
	closing      int // of them have been told to end
	draining     bool
	backlogUntil time.Time     // it takes what waits in the system's queue; set before closed is closed
	acceptEnded  bool          // no connection is on its way from the system's queue to conns any more
	empty        chan struct{} // closed when it drains and no connection is left
	once         sync.Once
}

func newListener(ln net.Listener, most int, gate *budget.Gate) *listener {
	return &listener{Listener: ln, gate: gate, maxConns: most, released: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: map[*watchedConn]bool{}, empty: make(chan struct{})}
}

// passing tells whether an error of accept may end by itself: no descriptor or memory is left, or the client has gone.
func isTransient(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Accept leaves a connection beyond the limit in the system's queue, since its request would be lost if it were
// taken and closed, and makes room for it. An error that may pass ends no service: idle connections give way, and it is
// tried again when one has ended or after a while.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if err := l.waitForCapacity(); err != nil {
			return l.acceptBacklog()
		}
		nc, err := l.accept()
		switch {
		case err == nil:
			return nc, nil
		case l.isDraining():
			return l.acceptBacklog()
		case !isTransient(err):
			l.end()
			return nil, err
		}
		l.trimIdle()
		select {
		case <-l.released:
		case <-time.After(acceptRetryInterval):
		case <-l.closed:
		}
	}
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

func (l *listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// accept takes one connection.
func (l *listener) accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// It may have stood in the queue for a while.
	quiet := socket.Quiet(nc)
	c := &watchedConn{Conn: nc, listener: l, connCharge: l.gate.Must(budget.Conns, connBytes), idleSince: time.Now().Add(-quiet),
		firstDeadline: time.Now().Add(max(readTimeout-quiet, minReadTimeout))}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if l.draining { // it was taken in the last moment: what it carries is answered
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c, nil
}

// room waits for a free slot.
func (l *listener) waitForCapacity() error {
	for {
		lacking := !l.gate.Spare(connBytes + busyBytes)
		short := lacking && socket.Pending(l.Listener) // else nobody is kept out by it
		l.memoryShort.Store(short)
		wait, full := l.evict(short)
		if !full && !lacking {
			return nil
		}
		if lacking {
			// Whoever waits for a large body's bytes holds a connection meanwhile: better it learns at once that it must
			// come again than that others are not heard at all.
			if short && wait > memoryPollInterval {
				l.gate.Drop(rejectedPerPoll)
			}
			wait = memoryPollInterval // bytes come back in other ways as well
		}
		var aged <-chan time.Time
		if wait > 0 {
			aged = time.After(wait)
		}
		select {
		case <-l.released:
		case <-aged:
		case <-l.closed:
			return net.ErrClosed
		}
	}
}

// evict tells the connection that has carried no request for the longest time to end when slots or, as short says,
// bytes run short; where none is idle for long, the one whose request has been coming for the longest. It reports
// whether there is no slot left, and if one frees itself by age only, when.
func (l *listener) evict(short bool) (wait time.Duration, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = len(l.conns) >= l.maxConns
	if !short && len(l.conns)-l.closing < l.maxConns-l.maxConns/spareSlotsDivisor {
		return 0, full
	}
	var idle, slow *watchedConn
	for c := range l.conns {
		switch {
		case c.closing:
		case !c.busy && (idle == nil || c.idleSince.Before(idle.idleSince)):
			idle = c
		case c.busy && !c.received && (slow == nil || c.busySince.Before(slow.busySince)):
			slow = c
		}
	}
	wait = time.Hour
	if idle != nil {
		wait = time.Until(idle.idleSince.Add(minIdleTime))
	}
	if slow != nil && wait > 0 && (full || short) {
		wait, idle = min(wait, time.Until(slow.busySince.Add(stallTimeout))), slow
	}
	switch {
	case idle == nil:
		return 0, full
	case wait > 0:
		return wait, full
	}
	l.evictConn(idle)
	return 0, full
}

// expel tells a connection to end.
func (l *listener) evictConn(c *watchedConn) {
	c.closing, c.evicted = true, c.busy
	l.closing++
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// TrimIdle ends the connections that submitters can no longer count on.
func (l *listener) trimIdle() { l.endIdle(minIdleTime) }

// endIdle ends the connections that have carried no request for least.
func (l *listener) endIdle(least time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.busy && !c.closing && time.Since(c.idleSince) >= least {
			l.evictConn(c)
		}
	}
}

// limit sets how many connections may be open.
func (l *listener) setMaxConns(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = most
	l.signalReleased()
}

func (l *listener) signalReleased() {
	select {
	case l.released <- struct{}{}:
	default:
	}
}

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

func (l *listener) checkEmpty() {
	if l.draining && l.acceptEnded && len(l.conns) == 0 {
		l.once.Do(func() { close(l.empty) })
	}
}

// watchedConn tells while a job runs that its submitter has gone, which fasthttp does not: a read goes on
// during the job, and what it gets of the next request is kept for the server's own read.
type watchedConn struct {
	net.Conn
	listener      *listener
	firstDeadline time.Time      // when its first request must be there
	readAhead     []byte         // read during a job; used by one goroutine at a time
	answered      bool           // its first request is; the server's goroutine's, as the next four
	expires       time.Time      // when the submitter of its request stops waiting
	lastWrite     time.Time      // when something was last written
	answerCharge  *budget.Charge // for the answer that is being written; it goes back with the next read or the end
	connCharge    *budget.Charge // for the connection itself

	// Under the listener's lock.
	busy          bool           // a request has begun to come and is not answered
	idleSince     time.Time      // when it was last not
	closing       bool           // it is to end: there is no room for it
	requestCharge *budget.Charge // while it is busy
	busySince     time.Time      // since when it is
	received      bool           // nothing more of its request is awaited from the submitter
	evicted       bool           // it is to end though a request has begun to come
}

// SetReadDeadline keeps the first request to the time from when its connection was made: however slowly one comes,
// and however long its connection stood in the queue, it does not hold a slot for longer.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	if !c.answered && t.After(c.firstDeadline) {
		t = c.firstDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline keeps an answer to the time in which it can be of use: a submitter that does not take it holds no
// bytes for longer.
func (c *watchedConn) SetWriteDeadline(t time.Time) error {
	if last := later(c.expires, time.Now()).Add(writeGracePeriod); !t.IsZero() && !c.expires.IsZero() && t.After(last) {
		t = last
	}
	return c.Conn.SetWriteDeadline(t)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// releaseAnswer gives back what an answer that has been written held.
func (c *watchedConn) releaseAnswer() {
	c.answerCharge.Release()
	c.answerCharge = nil
}

// Read reads for the server. At a shutdown, or when it is to end, an idle connection is looked at once more: a request
// that has come in but was not yet read counts as taken, and fasthttp's own closing of idle connections would lose it.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.releaseAnswer()
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.setBusy(true)
		return n, nil
	}
	looked := c.boundRead()
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !looked && c.boundRead() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

// look bounds the next read if the connection idles and is to end, and lifts what a shutdown that came a moment
// ago has set if a request has begun.
func (c *watchedConn) boundRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.listener.draining && !c.closing {
		return false
	}
	if c.evicted {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		return true
	}
	wait := finalReadTimeout
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
	c.lastWrite = time.Now()
	return c.Conn.Write(p)
}

var interim = []byte("HTTP/1.1 100 ")

func (c *watchedConn) setBusy(busy bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if busy != c.busy {
		c.received = false
		if busy {
			c.busySince = time.Now()
			c.requestCharge = c.listener.gate.Must(budget.Conns, busyBytes)
		} else {
			c.requestCharge.Release()
			c.requestCharge = nil
		}
	}
	if c.busy = busy; !busy {
		c.idleSince = time.Now()
	} else if c.closing && !c.evicted { // a request came in the last moment
		c.keepOpen()
		c.SetReadDeadline(time.Now().Add(readTimeout))
	}
}

// reading tells whether more of a request is awaited from the submitter.
func (c *watchedConn) setReceiving(more bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.received = !more
}

// stay takes back that the connection is to end.
func (c *watchedConn) keepOpen() {
	if c.closing {
		c.closing = false
		c.listener.closing--
	}
	c.listener.signalReleased()
}

// Close ends the connection, after an answer in a way that leaves the client time to read it.
func (c *watchedConn) Close() error {
	c.linger()
	err := c.Conn.Close() // before its slot is free: the next one needs the descriptor
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.conns[c] {
		delete(c.listener.conns, c)
		c.releaseAnswer()
		c.requestCharge.Release()
		c.requestCharge = nil
		c.connCharge.Release()
		c.keepOpen()
		c.listener.checkEmpty()
	}
	return err
}

// linger ends the sending and passes over what still comes, until the client has it all or has ended too. Nothing of it is served: a
// client that meets the end of a connection knows that a request on its way was not read. A connection on which nothing
// was written lately has nothing to lose, and one that is closed to make room is needed at once.
func (c *watchedConn) linger() {
	c.listener.mu.Lock()
	expelled := c.evicted
	c.listener.mu.Unlock()
	if expelled || c.lastWrite.IsZero() || time.Since(c.lastWrite) > writeGracePeriod {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	rest := io.LimitReader(c.Conn, lingerBytes)
	for end := time.Now().Add(lingerTime); ; {
		look := time.Now().Add(lingerPollInterval)
		c.Conn.SetReadDeadline(look)
		_, err := io.Copy(io.Discard, rest)
		ended := !errors.Is(err, os.ErrDeadlineExceeded) // or as many bytes have come as are passed over
		if ended || look.After(end) || socket.Unsent(c.Conn) == 0 && !socket.Unread(c.Conn) {
			return
		}
	}
}

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
