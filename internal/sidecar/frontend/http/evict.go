package http

import (
	"net"
	"time"

	"fieldrelay/internal/sidecar/socket"
)

const (
	// memoryPollInterval is how often a listener checks an exhausted byte budget again.
	memoryPollInterval = 20 * time.Millisecond
	// rejectedPerPoll is the number of large requests waiting for the byte budget that are rejected at each check.
	rejectedPerPoll = 4
	// minIdleTime is how long an idle connection is safe from eviction.
	minIdleTime = 2 * time.Second
	// stallTimeout is how long a request may take to arrive while other clients wait for its connection. Clients send
	// a request in one piece.
	stallTimeout = 500 * time.Millisecond
	// One connection slot in spareSlotsDivisor is kept free by evicting idle connections.
	spareSlotsDivisor = 8
)

// waitForCapacity waits until a connection may be accepted. Once the listener is closed it returns net.ErrClosed.
func (l *listener) waitForCapacity() error {
	for {
		lacking := !l.gate.FitsConn(connBytes + busyBytes)
		short := lacking && socket.Pending(l.Listener) // without a pending connection the shortage affects no client
		l.memoryShort.Store(short)
		wait, full := l.evict(short)
		if !full && !lacking {
			return nil
		}
		if lacking {
			// A client that waits for the bytes of a large body occupies a connection: rejecting it is better than not
			// serving other clients at all.
			if short && wait > memoryPollInterval {
				l.gate.DropLarge(rejectedPerPoll)
			}
			wait = memoryPollInterval // bytes are also released without a signal on l.released
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

// evict evicts a connection if few connection slots are free or short is set (the byte budget is exhausted). It chooses
// the connection that has been idle for longest or, if none has been idle for minIdleTime and capacity is exhausted,
// the one whose request has been arriving for longest. It reports whether all slots are taken, and after what time the
// next connection becomes old enough to be evicted; 0: none does.
func (l *listener) evict(short bool) (wait time.Duration, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = len(l.conns) >= l.maxConns
	if !short && len(l.conns)-l.closing < l.maxConns-l.maxConns/spareSlotsDivisor {
		return 0, full
	}
	victim, slowest := l.longestIdleAndSlowest()
	wait = time.Hour
	if victim != nil {
		wait = time.Until(victim.idleSince.Add(minIdleTime))
	}
	if slowest != nil && wait > 0 && (full || short) {
		wait, victim = min(wait, time.Until(slowest.busySince.Add(stallTimeout))), slowest
	}
	switch {
	case victim == nil:
		return 0, full
	case wait > 0:
		return wait, full
	}
	l.evictConn(victim)
	return 0, full
}

// longestIdleAndSlowest returns the connection that has been idle for longest and the one whose request has been
// arriving for longest. Either is nil if there is none. l.mu must be held.
func (l *listener) longestIdleAndSlowest() (idle, slowest *watchedConn) {
	for c := range l.conns {
		switch {
		case c.closing:
		case !c.busy && (idle == nil || c.idleSince.Before(idle.idleSince)):
			idle = c
		case c.busy && !c.received && (slowest == nil || c.busySince.Before(slowest.busySince)):
			slowest = c
		}
	}
	return idle, slowest
}

// evictConn starts the eviction of a connection. l.mu must be held.
func (l *listener) evictConn(c *watchedConn) {
	c.closing, c.evicted = true, c.busy
	l.closing++
	setReadDeadline(c.Conn, ended)
}

// trimIdle closes the connections that have been idle for minIdleTime.
func (l *listener) trimIdle() { l.endIdle(minIdleTime) }

// endIdle closes the connections that have been idle for at least minIdle.
func (l *listener) endIdle(minIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.busy && !c.closing && time.Since(c.idleSince) >= minIdle {
			l.evictConn(c)
		}
	}
}
