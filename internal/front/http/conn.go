package http

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"fieldrelay/internal/budget"
)

// What a connection is charged: its goroutine, the server's state for it and its read buffer; and while a request is
// in work the watch on its end, the buffers of both ways and the deeper stacks. As measured, with the odd bytes that
// the allocator rounds up.
const (
	connBytes = 12 << 10
	busyBytes = 6 << 10
)

// finalReadTimeout is how long an idle connection is read once more before it is closed to make room or at a shutdown.
const finalReadTimeout = time.Millisecond

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
