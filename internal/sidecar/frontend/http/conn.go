package http

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"fieldrelay/internal/sidecar/budget"
)

// finalReadTimeout bounds the last read of an idle connection before it is closed at an eviction or a shutdown.
const finalReadTimeout = time.Millisecond

// ended is a deadline in the past, which ends a pending read or accept at once.
var ended = time.Unix(1, 0)

// setReadDeadline sets a read deadline. It ignores the error: on a closed connection the next read fails.
func setReadDeadline(nc net.Conn, t time.Time) { _ = nc.SetReadDeadline(t) }

// watchedConn is a connection that detects that its client has disconnected while a request is served, which fasthttp
// does not. It keeps a read pending during the request, and stores the bytes read from the next request for fasthttp.
type watchedConn struct {
	net.Conn
	listener      *listener
	connCharge    *budget.Charge
	firstDeadline time.Time // deadline for reading the first request
	readAhead     []byte    // bytes read during a request; owned by a running watch, otherwise by the serving goroutine

	// Owned by the serving goroutine.
	answered     bool           // the first request is answered
	expires      time.Time      // time at which the client of the current request stops waiting
	lastWrite    time.Time      // time of the last write; zero: nothing was written
	answerCharge *budget.Charge // charge of the answer being written; released by the next read or the close

	// Guarded by the listener's mutex.
	busy          bool           // a request has begun to arrive and is not answered
	busySince     time.Time      // start of the current or last busy period
	idleSince     time.Time      // start of the current or last idle period
	requestCharge *budget.Charge // charge of busyBytes while the connection is busy
	received      bool           // no more bytes of the current request are expected from the client
	closing       bool           // the connection is being evicted
	evicted       bool           // the connection is being evicted although a request has begun to arrive
}

// SetReadDeadline limits the deadline to firstDeadline until the first request is answered. A connection is therefore
// not occupied for longer by a request that arrives slowly, or by one that waited in the backlog.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	if !c.answered && t.After(c.firstDeadline) {
		t = c.firstDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline limits the deadline to writeGracePeriod after the request's expiry, or after now if that is later, so
// that a client which does not read its answer does not keep memory for longer.
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

// releaseAnswer releases the charge of the answer that has been written, if any.
func (c *watchedConn) releaseAnswer() {
	c.answerCharge.Release()
	c.answerCharge = nil
}

// Read implements net.Conn for fasthttp. An idle connection that is to be closed is read once more: a request that has
// arrived but was not read counts as accepted, and would be lost if fasthttp closed the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.releaseAnswer()
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.setBusy(true)
		return n, nil
	}
	bounded := c.boundRead()
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !bounded && c.boundRead() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.setBusy(true)
	}
	return n, err
}

// boundRead sets a deadline for the next read if the connection is to be closed, and reports whether it is. For a
// request that has begun to arrive it replaces the deadline in the past that a shutdown may just have set.
func (c *watchedConn) boundRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case !c.listener.draining && !c.closing:
		return false
	case c.evicted:
		setReadDeadline(c.Conn, ended)
	case c.busy:
		setReadDeadline(c.Conn, time.Now().Add(readTimeout))
	default:
		setReadDeadline(c.Conn, time.Now().Add(finalReadTimeout))
	}
	return true
}

// interim is the start of a 100 Continue response, which is not the answer to a request.
var interim = []byte("HTTP/1.1 100 ")

// Write implements net.Conn for fasthttp. Any write except an interim response answers the current request.
func (c *watchedConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, interim) {
		c.answered = true
		c.setBusy(false)
	}
	c.lastWrite = time.Now()
	return c.Conn.Write(p)
}

// setBusy records that a request has begun to arrive (busy is true) or is answered.
func (c *watchedConn) setBusy(busy bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if busy != c.busy {
		c.received = false
		if busy {
			c.busySince = time.Now()
			c.requestCharge = c.listener.gate.ForceReserve(budget.Conns, busyBytes)
		} else {
			c.requestCharge.Release()
			c.requestCharge = nil
		}
	}
	if c.busy = busy; !busy {
		c.idleSince = time.Now()
	} else if c.closing && !c.evicted { // a request arrived in the last read before the close
		c.keepOpen()
		setReadDeadline(c, time.Now().Add(readTimeout))
	}
}

// setReceiving records whether more bytes of the current request are expected from the client.
func (c *watchedConn) setReceiving(more bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.received = !more
}

// keepOpen revokes the eviction of the connection, if any. The listener's mutex must be held.
func (c *watchedConn) keepOpen() {
	if c.closing {
		c.closing = false
		c.listener.closing--
	}
	c.listener.signalReleased()
}

// Close closes the connection. After an answer it lingers, so that the client can read the answer.
func (c *watchedConn) Close() error {
	c.linger()
	err := c.Conn.Close() // before the connection is removed from conns, since the next one needs the descriptor
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
