package http

import (
	"context"
	"net"
	"slices"
	"time"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
)

// minIdleTime is how long a connection must have been idle before it is closed to free memory. A connection that the
// next attempt is likely to need would only have to be opened again, which costs the server a handshake.
const minIdleTime = time.Second

// takeIdle removes an idle connection from the pool and returns it. It prefers the most recently used settled
// connection, so that the others can expire. If none has settled, it takes the one that has been idle for longest,
// provided that a second copy of its last answer would be recognized. It returns nil if no connection qualifies.
func (s *server) takeIdle() *conn {
	i, now := len(s.idle)-1, time.Now()
	settling := func(i int) bool {
		return s.idle[i].answered && now.Sub(s.idle[i].idleSince) < s.transport.options.SettleTime
	}
	for i > 0 && settling(i) {
		i--
	}
	if i < 0 || settling(i) && !s.transport.answers.differ() {
		return nil
	}
	conn := s.idle[i]
	conn.unsettled.Store(settling(i))
	s.idle = slices.Delete(s.idle, i, i+1)
	conn.stopIdleTimer()
	return conn
}

// dial opens a connection for a queued attempt. The attempt is skipped if MaxConns connections are open.
func (s *server) dial(a *attempt) {
	options := &s.transport.options
	// Any idle connection left has not settled: it is closed to make room for the new connection.
	if len(s.idle) > 0 && s.transport.conns.Load() >= int64(options.MaxConns) {
		s.closeConn(s.idle[0])
	}
	if s.transport.conns.Add(1) > int64(options.MaxConns) {
		s.transport.conns.Add(-1)
		s.log.Warn().Int("max_conns", options.MaxConns).Msg("attempt skipped: the maximum number of connections is open")
		s.complete(a, logic.Skipped, relay.Result{})
		return
	}
	s.dials++
	ctx, cancel := context.WithTimeout(context.Background(), options.DialTimeout)
	a.cancelDial = cancel
	addr := s.member.Addr
	go func() {
		defer cancel()
		nc, err := options.Dial(ctx, "tcp", addr)
		s.mailbox.Put(func() { s.onDialed(a, addr, nc, err) })
	}()
}

// onDialed handles the result of a dial that was begun for an attempt.
func (s *server) onDialed(a *attempt, addr string, nc net.Conn, err error) {
	s.dials--
	if err != nil {
		s.transport.conns.Add(-1)
		defer s.endIfClosed()
		if s.isQueued(a) {
			s.log.Debug().Err(err).Msg("dialing the server failed")
			s.complete(a, logic.Refused, relay.Result{})
		}
		return
	}
	conn := newConn(s, nc, addr)
	s.conns[conn] = true
	go conn.read()
	if !s.isQueued(a) && len(s.queue) > 0 {
		a = s.queue[0]
	}
	switch {
	case !s.isQueued(a) || conn.addr != s.member.Addr:
		s.keepIdle(conn, time.Now())
		if s.isQueued(a) { // the server has moved meanwhile
			s.dial(a)
		}
	case conn.usable():
		s.write(a, conn)
	default: // the server has sent bytes before any request, or has closed the connection
		s.closeConn(conn)
		s.complete(a, logic.Refused, relay.Result{})
	}
}

// keepIdle returns a connection to the pool until shortly before the server would close it. Its idle time counts from
// since, the time of its last answer, even if an attempt was assigned to it afterwards and not sent.
func (s *server) keepIdle(conn *conn, since time.Time) {
	if !s.conns[conn] {
		return
	}
	if s.closed || !s.excludedSince.IsZero() || conn.addr != s.member.Addr || conn.broken.Load() {
		s.closeConn(conn)
		return
	}
	if since.IsZero() {
		since = time.Now()
	}
	i := slices.IndexFunc(s.idle, idleAfter(since))
	if i < 0 {
		i = len(s.idle)
	}
	s.idle = slices.Insert(s.idle, i, conn)
	conn.idleSince = since
	expires := since.Add(time.Duration((1 - idleMargin) * float64(s.transport.options.ConnIdle)))
	var timer *time.Timer
	timer = time.AfterFunc(time.Until(expires), func() {
		s.mailbox.Put(func() {
			if conn.idleTimer == timer { // the connection has not been used since
				s.closeConn(conn)
			}
		})
	})
	conn.idleTimer = timer
	s.dispatch()
}

// idleAfter returns a predicate that selects connections which became idle after t.
func idleAfter(t time.Time) func(*conn) bool {
	return func(c *conn) bool { return c.idleSince.After(t) }
}

// trimIdle closes the connections that have been idle for minIdleTime.
func (s *server) trimIdle() {
	for len(s.idle) > 0 && time.Since(s.idle[0].idleSince) > minIdleTime {
		s.closeConn(s.idle[0])
	}
}

func (s *server) closeIdle() {
	for len(s.idle) > 0 {
		s.closeConn(s.idle[len(s.idle)-1])
	}
}

// closeConn closes a connection, which ends its reader. It does nothing if the connection is closed already.
func (s *server) closeConn(conn *conn) {
	if !s.conns[conn] {
		return
	}
	delete(s.conns, conn)
	s.transport.conns.Add(-1)
	_ = conn.nc.Close() // nothing more is read from it or written to it
	close(conn.closed)
	if i := slices.Index(s.idle, conn); i >= 0 {
		conn.stopIdleTimer()
		s.idle = slices.Delete(s.idle, i, i+1)
	}
	s.endIfClosed()
}
