package http

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/relay"
	"fieldrelay/logic"
)

// claim is one that has not been reported.
type attempt struct {
	relay.Attempt
	conn       *conn              // nil while it waits for one
	cancelDial context.CancelFunc // ends the dial that was begun for it
	timer      *time.Timer        // its deadline
}

// start takes a claim.
func (n *server) accept(rc relay.Attempt) {
	c := &attempt{Attempt: rc}
	n.attempts[c.ID] = c
	c.timer = time.AfterFunc(time.Until(c.Deadline), func() {
		n.mailbox.Put(func() { n.abandon(c.ID, logic.TimedOut) })
	})
	n.assign(c)
}

// begin puts a claim on a connection that has rested or, where there is none, dials one for it. It waits for whichever is
// there first: that one, or one that comes to rest meanwhile. So no claim waits for a slow dial alone.
func (n *server) assign(c *attempt) {
	n.queue = append(n.queue, c)
	n.dispatch()
	if slices.Contains(n.queue, c) {
		n.dial(c)
	}
}

// serve gives the connections that have rested to the claims that wait, the oldest first.
func (n *server) dispatch() {
	for len(n.queue) > 0 {
		conn := n.takeIdle()
		if conn == nil {
			n.scheduleDispatch()
			return
		}
		// Its end may be on its way in the mailbox: a request written now would be lost for nothing.
		if !conn.usable() {
			n.closeConn(conn)
			continue
		}
		n.write(n.queue[0], conn)
	}
}

// scheduleDispatch looks again when the next connection has rested.
func (n *server) scheduleDispatch() {
	if len(n.idle) == 0 || n.settleTimer != nil {
		return
	}
	n.settleTimer = time.AfterFunc(time.Until(n.idle[0].idleSince.Add(n.transport.options.SettleTime)), func() {
		n.mailbox.Put(func() {
			n.settleTimer = nil
			n.dispatch()
		})
	})
}

// write sends a claim, unless it may no longer be sent.
func (n *server) write(c *attempt, conn *conn) {
	n.queue = slices.DeleteFunc(n.queue, func(o *attempt) bool { return o == c })
	c.conn, conn.attempt, conn.writing = conn, c, true
	now, until := time.Now(), c.Deadline
	if !c.SendBefore.IsZero() && c.SendBefore.Before(until) {
		until = c.SendBefore
	}
	if grace := n.excludedSince.Add(time.Duration((1 - drainMargin) * float64(n.transport.options.DrainGrace))); !n.excludedSince.IsZero() && grace.Before(until) {
		until = grace
	}
	parts := net.Buffers{encodeHead(c, n.member.Addr, now), c.Payload.Body}
	// A claim given up meanwhile, and with it the job, may be forgotten before this has let go of its bytes.
	held := c.Payload.Charge
	held.Hold()
	go func() {
		err := conn.send(parts, c, until)
		held.Release()
		if fig := n.transport.options.Metrics; err == nil && fig != nil {
			fig.BackendCalls.Add(1)
		}
		n.mailbox.Put(func() { n.onWritten(conn, err) })
	}()
}

// written learns whether the last byte has left: what breaks before that never ran.
func (n *server) onWritten(conn *conn, err error) {
	conn.writing = false
	if conn.earlyAnswer != nil {
		a := *conn.earlyAnswer
		conn.earlyAnswer = nil
		a.last = a.last || err != nil
		n.onAnswer(conn, a)
		return
	}
	c := conn.attempt
	switch {
	case errors.Is(err, errExpired):
		if c != nil {
			n.complete(c, logic.Skipped, relay.Result{})
		}
		n.keepIdle(conn, conn.idleSince)
	case errors.Is(err, errConnStale) && c != nil && !conn.idleSince.IsZero():
		n.closeConn(conn)
		conn.attempt, c.conn = nil, nil
		n.assign(c)
	case err != nil:
		n.closeConn(conn)
		n.failAttempt(conn, logic.Refused)
	case conn.ended:
		n.failAttempt(conn, logic.Reset)
	}
}

// answered takes in an answer.
func (n *server) onAnswer(conn *conn, a answer) {
	c := conn.attempt
	switch {
	case c == nil: // an answer that nobody asked for
		a.charge.Release()
		n.closeConn(conn)
		return
	case conn.writing:
		// A quick answer can overtake the word that its request has left. Taken at once, it left the connection
		// unfit for the next claim, which had to open another.
		conn.earlyAnswer = &a
		return
	case a.last:
		n.closeConn(conn)
	default:
		conn.answered, conn.attempt, c.conn = true, nil, nil // at rest it may carry another claim at once
		n.keepIdle(conn, time.Now())
	}
	n.complete(c, a.outcome, relay.Result{At: a.at, Body: a.body, ContentType: a.contentType, Charge: a.charge})
}

// ended learns that nothing more comes from a connection.
func (n *server) onEnded(conn *conn) {
	conn.ended = true
	n.closeConn(conn)
	if !conn.writing { // else the end of the write tells whether the request left whole
		n.failAttempt(conn, logic.Reset)
	}
}

// abandon ends a claim that is not waited for. Its connection is closed before it is reported, so that no
// other claim of its job can be out while this one is.
func (n *server) abandon(id relay.AttemptID, outcome logic.Outcome) {
	c := n.attempts[id]
	if c == nil {
		return
	}
	if c.conn != nil {
		if c.conn.earlyAnswer != nil { // an answer that came too soon to be taken
			c.conn.earlyAnswer.charge.Release()
			c.conn.earlyAnswer = nil
		}
		n.closeConn(c.conn)
	} else if c.cancelDial != nil {
		c.cancelDial()
		if outcome == logic.TimedOut {
			outcome = logic.Skipped // nothing of it was sent
		}
	}
	n.complete(c, outcome, relay.Result{})
}

// broke ends the claim of a connection that has ended without an answer.
func (n *server) failAttempt(conn *conn, outcome logic.Outcome) {
	if c := conn.attempt; c != nil {
		n.complete(c, outcome, relay.Result{})
	}
}

// end reports a claim.
func (n *server) complete(c *attempt, outcome logic.Outcome, res relay.Result) {
	c.timer.Stop()
	if c.conn != nil {
		c.conn.attempt = nil
	}
	delete(n.attempts, c.ID)
	n.queue = slices.DeleteFunc(n.queue, func(o *attempt) bool { return o == c })
	res.Outcome = outcome
	if res.At.IsZero() {
		res.At = time.Now()
	}
	n.report(c.ID, res)
}

// encode writes out the head of a claim's request. Its body goes out from where it is held.
func encodeHead(c *attempt, host string, now time.Time) []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(c.Payload.Method)
	h.SetRequestURI(c.Payload.Target)
	h.SetHost(host)
	h.Set("X-Call-Id", c.Payload.CallID)
	if c.Payload.IdempotencyKey != "" {
		h.Set("Idempotency-Key", c.Payload.IdempotencyKey)
	}
	if c.Payload.ContentType != "" {
		h.SetContentType(c.Payload.ContentType)
	}
	h.Set("X-Budget", strconv.FormatFloat(c.Deadline.Sub(now).Seconds(), 'f', 3, 64))
	if c.Payload.Method != fasthttp.MethodGet {
		h.SetContentLength(len(c.Payload.Body))
	}
	return h.Header()
}
