package http

import (
	"slices"
	"time"
)

// Settle is how long a connection rests after an answer before it is used again. What a node sends behind an answer (its
// end, or a second copy of the answer) comes some milliseconds later and carries no sign of whose it is: on a connection
// that was asked again by then it would be taken for the next answer. A connection that has not rested is used where there
// is no other, since one more costs the node a handshake, but only if a copy would be known, since answers all differ, or if
// no node has ever sent one though there was time enough to see it.
const Settle = 50 * time.Millisecond

// trimmed is how long a connection must have been idle to be closed because bytes are short: one that the next claim is
// likely to need would only have to be opened again, at the node's cost.
const trimmed = time.Second

// keptIdle is how many idle connections a node keeps for their whole time. More than that are left over from a burst, or from
// when connections had to rest, and go once they have been idle for longer than trimmed.
const keptIdle = 8

// settledAt is when an idle connection will have rested, or has. One that has brought no answer has nothing to rest from.
func (c *conn) settledAt(settle time.Duration) time.Time {
	if !c.answered {
		return c.rested
	}
	return c.rested.Add(settle)
}

// rouse takes an idle connection for a claim; nil: there is none for it.
func (n *node) rouse() *conn {
	now := time.Now()
	i, hurry := n.choose(now)
	if i < 0 {
		return nil
	}
	conn := n.idle[i]
	n.idle = slices.Delete(n.idle, i, i+1)
	conn.hurry.Store(hurry)
	conn.quiet = conn.answered && !n.resting(conn, now)
	if conn.quiet {
		conn.unrested = 0
	}
	return conn
}

// choose picks the idle connection for a claim; -1: none. Of those that have rested that is the one used last, so that the
// others are retired. Where none has: if no node has ever sent a stray byte likewise the one used last, unless it is time for
// it to rest; elsewhere the one that has rested for longest, or none if a copy would not be known.
func (n *node) choose(now time.Time) (i int, hurry int32) {
	if i = n.latestRested(now); i >= 0 {
		return i, atRest
	}
	hurry = trusting
	differ := n.nodes.answers.differ()
	if differ {
		hurry = knowing
	}
	if n.nodes.strays.never() {
		if i = n.latestUnrested(); i >= 0 {
			return i, hurry
		}
	}
	if differ && len(n.idle) > 0 {
		return 0, hurry
	}
	return -1, atRest
}

// latestRested is the connection used last of those that have rested; -1: none.
func (n *node) latestRested(now time.Time) int {
	rested, _ := slices.BinarySearchFunc(n.idle, now, func(c *conn, now time.Time) int {
		if n.resting(c, now) {
			return 1
		}
		return -1
	})
	return rested - 1
}

// latestUnrested is the connection used last of those whose turn to rest has not come; -1: none.
func (n *node) latestUnrested() int {
	i := len(n.idle) - 1
	for i >= 0 && n.idle[i].unrested >= mostUnrested {
		i--
	}
	return i
}

func (n *node) resting(c *conn, now time.Time) bool {
	return c.settledAt(n.nodes.opts.Settle).After(now)
}

// rest keeps a connection for the next claim, for a time that ends safely before the node closes it: it counts from the last
// answer on it, also where a claim was put on it meanwhile and not sent.
func (n *node) rest(conn *conn, since time.Time) {
	if !n.conns[conn] {
		return
	}
	now := time.Now()
	if since.IsZero() {
		since = now
	}
	conn.rested = since
	if n.closed || !n.barred.IsZero() || conn.addr != n.member.Addr || conn.broken.Load() || !n.idleEnd(conn).After(now) {
		n.drop(conn)
		return
	}
	n.insert(conn)
	if conn.retire == nil {
		n.retireLater(conn)
	}
	if len(n.idle) > keptIdle && now.Sub(n.idle[0].rested) > trimmed {
		n.drop(n.idle[0])
	}
	n.serve()
}

// insert puts a connection among the idle ones. Mostly it is the last to have rested.
func (n *node) insert(conn *conn) {
	settle := n.nodes.opts.Settle
	at, i := conn.settledAt(settle), len(n.idle)
	for i > 0 && n.idle[i-1].settledAt(settle).After(at) {
		i--
	}
	n.idle = slices.Insert(n.idle, i, conn)
}

// idleEnd is when a connection that has been idle since its last use is closed.
func (n *node) idleEnd(conn *conn) time.Time {
	return conn.rested.Add(time.Duration((1 - idleMargin) * float64(n.nodes.opts.ConnIdle)))
}

// retireLater closes a connection at the end of its idle time. That moves on with each use, the timer does not: it looks anew
// when it ends.
func (n *node) retireLater(conn *conn) {
	conn.retire = time.AfterFunc(time.Until(n.idleEnd(conn)), func() {
		n.box.Put(func() {
			conn.retire = nil
			switch {
			case !slices.Contains(n.idle, conn): // in use: set again when it comes to rest
			case n.idleEnd(conn).After(time.Now()):
				n.retireLater(conn)
			default:
				n.drop(conn)
			}
		})
	})
}

// trim closes what has not been used for a while.
func (n *node) trim() {
	for len(n.idle) > 0 && time.Since(n.idle[0].rested) > trimmed {
		n.drop(n.idle[0])
	}
}

func (n *node) closeIdle() {
	for len(n.idle) > 0 {
		n.drop(n.idle[len(n.idle)-1])
	}
}

// drop closes a connection. Its reader ends by that.
func (n *node) drop(conn *conn) {
	if !n.conns[conn] {
		return
	}
	delete(n.conns, conn)
	n.nodes.conns.Add(-1)
	conn.nc.Close()
	close(conn.gone)
	if conn.retire != nil {
		conn.retire.Stop()
	}
	if i := slices.Index(n.idle, conn); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	n.finish()
}
