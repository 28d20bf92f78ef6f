package http

import (
	"context"
	"net"
	"slices"
	"time"

	"fieldrelay/internal/relay"
	"fieldrelay/logic"
)

// trimmed is how long a connection must have been idle to be closed because bytes are short: one that the next claim is
// likely to need would only have to be opened again, at the node's cost.
const minIdleTime = time.Second

// rouse takes an idle connection: of those that have rested the one used last, so that the others are retired; if none
// has, the one that has rested for longest, or none.
func (n *server) takeIdle() *conn {
	i, now := len(n.idle)-1, time.Now()
	resting := func(i int) bool {
		return n.idle[i].answered && now.Sub(n.idle[i].idleSince) < n.transport.options.SettleTime
	}
	for ; i > 0 && resting(i); i-- {
	}
	if i < 0 || resting(i) && !n.transport.answers.differ() {
		return nil
	}
	conn := n.idle[i]
	conn.unsettled.Store(resting(i))
	n.idle = slices.Delete(n.idle, i, i+1)
	conn.stopIdleTimer()
	return conn
}

func (n *server) dial(c *attempt) {
	if len(n.idle) > 0 && n.transport.conns.Load() >= int64(n.transport.options.MaxConns) { // it has not rested: another takes its place
		n.closeConn(n.idle[0])
	}
	if n.transport.conns.Add(1) > int64(n.transport.options.MaxConns) {
		n.transport.conns.Add(-1)
		n.log.Warn().Int("limit", n.transport.options.MaxConns).Msg("no socket left for a claim")
		n.complete(c, logic.Skipped, relay.Result{})
		return
	}
	n.dials++
	ctx, abandon := context.WithTimeout(context.Background(), n.transport.options.DialTimeout)
	c.cancelDial = abandon
	addr := n.member.Addr
	go func() {
		defer abandon()
		nc, err := n.transport.options.Dial(ctx, "tcp", addr)
		n.mailbox.Put(func() { n.onDialed(c, addr, nc, err) })
	}()
}

func (n *server) onDialed(c *attempt, addr string, nc net.Conn, err error) {
	n.dials--
	if err != nil {
		n.transport.conns.Add(-1)
		defer n.endIfClosed()
		if slices.Contains(n.queue, c) {
			n.log.Debug().Err(err).Msg("not connected")
			n.complete(c, logic.Refused, relay.Result{})
		}
		return
	}
	conn := newConn(n, nc, addr)
	n.conns[conn] = true
	go conn.read()
	if !slices.Contains(n.queue, c) && len(n.queue) > 0 {
		c = n.queue[0]
	}
	switch {
	case !slices.Contains(n.queue, c) || conn.addr != n.member.Addr:
		n.keepIdle(conn, time.Now())
		if slices.Contains(n.queue, c) { // its node has moved meanwhile
			n.dial(c)
		}
	case conn.usable():
		n.write(c, conn)
	default: // a node that speaks before it is asked
		n.closeConn(conn)
		n.complete(c, logic.Refused, relay.Result{})
	}
}

// rest keeps a connection for the next claim, for a time that ends safely before the node closes it: it counts from the last
// answer on it, also where a claim was put on it meanwhile and not sent.
func (n *server) keepIdle(conn *conn, since time.Time) {
	if !n.conns[conn] {
		return
	}
	if n.closed || !n.excludedSince.IsZero() || conn.addr != n.member.Addr || conn.broken.Load() {
		n.closeConn(conn)
		return
	}
	if since.IsZero() {
		since = time.Now()
	}
	i := slices.IndexFunc(n.idle, idleAfter(since))
	if i < 0 {
		i = len(n.idle)
	}
	n.idle = slices.Insert(n.idle, i, conn)
	conn.idleSince = since
	idle := time.Duration((1 - idleMargin) * float64(n.transport.options.ConnIdle))
	var timer *time.Timer
	timer = time.AfterFunc(time.Until(since.Add(idle)), func() {
		n.mailbox.Put(func() {
			if conn.idleTimer == timer { // it has not been used since
				n.closeConn(conn)
			}
		})
	})
	conn.idleTimer = timer
	n.dispatch()
}

// later picks connections that came to rest after a time.
func idleAfter(than time.Time) func(*conn) bool {
	return func(c *conn) bool { return c.idleSince.After(than) }
}

func (n *server) closeIdle() {
	for len(n.idle) > 0 {
		n.closeConn(n.idle[len(n.idle)-1])
	}
}

// drop closes a connection. Its reader ends by that.
func (n *server) closeConn(conn *conn) {
	if !n.conns[conn] {
		return
	}
	delete(n.conns, conn)
	n.transport.conns.Add(-1)
	conn.nc.Close()
	close(conn.closed)
	for i, o := range n.idle {
		if o == conn {
			o.stopIdleTimer()
			n.idle = slices.Delete(n.idle, i, i+1)
			break
		}
	}
	n.endIfClosed()
}
