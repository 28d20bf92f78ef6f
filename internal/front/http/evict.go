package http

import (
	"net"
	"time"

	"fieldrelay/internal/socket"
)

// crowded is how often a listener that finds no room in the budget looks again.
const memoryPollInterval = 20 * time.Millisecond

// dropped is how many large requests that wait for bytes are refused at each of these looks.
const rejectedPerPoll = 4

// minIdleTime is how long a submitter may count on a connection that carries no request.
const minIdleTime = 2 * time.Second

// stalled is how long a request that has begun to come may stay unfinished where others wait for its place. Whoever
// has one to make sends it in one go.
const stallTimeout = 500 * time.Millisecond

// spareSlotsDivisor is the part of the slots that is kept free while connections idle: one in so many.
const spareSlotsDivisor = 8

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
