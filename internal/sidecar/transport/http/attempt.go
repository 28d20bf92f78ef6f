package http

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/relay"
)

// attempt is an attempt that is not yet reported.
type attempt struct {
	relay.Attempt
	conn       *conn              // nil while it is queued
	cancelDial context.CancelFunc // cancels the dial that was begun for the attempt; nil: no dial
	timer      *time.Timer        // fires at the deadline
}

// accept begins an attempt.
func (s *server) accept(ra relay.Attempt) {
	a := &attempt{Attempt: ra}
	s.attempts[a.ID] = a
	a.timer = time.AfterFunc(time.Until(a.Deadline), func() {
		s.mailbox.Put(func() { s.abandon(a.ID, logic.TimedOut) })
	})
	s.assign(a)
}

// assign gives an attempt an idle connection or, if none can be used, dials one for it. The attempt is written to the
// dialed connection or to another one that becomes available, whichever comes first, so that a slow dial alone does not
// delay it.
func (s *server) assign(a *attempt) {
	s.queue = append(s.queue, a)
	s.dispatch()
	if s.isQueued(a) {
		s.dial(a)
	}
}

func (s *server) isQueued(a *attempt) bool { return slices.Contains(s.queue, a) }

// dequeue removes an attempt from the queue; it does nothing if the attempt is not queued.
func (s *server) dequeue(a *attempt) {
	s.queue = slices.DeleteFunc(s.queue, func(o *attempt) bool { return o == a })
}

// dispatch assigns idle connections to the queued attempts, the oldest attempt first.
func (s *server) dispatch() {
	for len(s.queue) > 0 {
		conn := s.takeIdle()
		if conn == nil {
			s.scheduleDispatch()
			return
		}
		// The message that the connection has ended may still be in the mailbox: a request written now would be lost.
		if !conn.usable() {
			s.closeConn(conn)
			continue
		}
		s.write(s.queue[0], conn)
	}
}

// scheduleDispatch sets a timer that calls dispatch when the next idle connection has settled.
func (s *server) scheduleDispatch() {
	if len(s.idle) == 0 || s.settleTimer != nil {
		return
	}
	settled := s.idle[0].idleSince.Add(s.transport.options.SettleTime)
	s.settleTimer = time.AfterFunc(time.Until(settled), func() {
		s.mailbox.Put(func() {
			s.settleTimer = nil
			s.dispatch()
		})
	})
}

// write writes an attempt to a connection, unless it may no longer be sent.
func (s *server) write(a *attempt, conn *conn) {
	s.dequeue(a)
	a.conn, conn.attempt, conn.writing = conn, a, true
	now := time.Now()
	until := s.sendDeadline(a)
	parts := net.Buffers{encodeHead(a, s.member.Addr, now), a.Payload.Body}
	// The attempt may be abandoned and its request forgotten while this write still uses the payload.
	charge := a.Payload.Charge
	charge.Retain()
	go func() {
		err := conn.send(parts, a, until)
		charge.Release()
		if m := s.transport.options.Metrics; err == nil && m != nil {
			m.BackendCalls.Add(1)
		}
		s.mailbox.Put(func() { s.onWritten(conn, err) })
	}()
}

// sendDeadline returns the time by which the first byte of an attempt must have been written: the earliest of its
// deadline, its SendBefore and the end of the server's drain grace.
func (s *server) sendDeadline(a *attempt) time.Time {
	until := a.Deadline
	if !a.SendBefore.IsZero() && a.SendBefore.Before(until) {
		until = a.SendBefore
	}
	if s.excludedSince.IsZero() {
		return until
	}
	grace := time.Duration((1 - drainMargin) * float64(s.transport.options.DrainGrace))
	if end := s.excludedSince.Add(grace); end.Before(until) {
		return end
	}
	return until
}

// onWritten handles the end of a write. A request whose write failed before its last byte was never executed.
func (s *server) onWritten(conn *conn, err error) {
	conn.writing = false
	if conn.earlyAnswer != nil {
		early := *conn.earlyAnswer
		conn.earlyAnswer = nil
		early.last = early.last || err != nil
		s.onAnswer(conn, early)
		return
	}
	a := conn.attempt
	switch {
	case errors.Is(err, errExpired):
		if a != nil {
			s.complete(a, logic.Skipped, relay.Result{})
		}
		s.keepIdle(conn, conn.idleSince)
	case errors.Is(err, errConnStale) && a != nil && !conn.idleSince.IsZero():
		s.closeConn(conn)
		conn.attempt, a.conn = nil, nil
		s.assign(a)
	case err != nil:
		s.closeConn(conn)
		s.failAttempt(conn, logic.Refused)
	case conn.ended:
		s.failAttempt(conn, logic.Reset)
	}
}

// onAnswer handles an answer.
func (s *server) onAnswer(conn *conn, got answer) {
	a := conn.attempt
	switch {
	case a == nil: // no attempt is waiting for an answer
		got.charge.Release()
		s.closeConn(conn)
		return
	case conn.writing:
		// A quick answer can arrive before the message that its request is written. If it were handled at once, the
		// connection could not carry the next attempt, which would have to open another one.
		conn.earlyAnswer = &got
		return
	case got.last:
		s.closeConn(conn)
	default:
		conn.answered, conn.attempt, a.conn = true, nil, nil // keepIdle may assign another attempt at once
		s.keepIdle(conn, time.Now())
	}
	s.complete(a, got.outcome, relay.Result{At: got.at, Body: got.body, ContentType: got.contentType, Charge: got.charge})
}

// onEnded handles the end of a connection's reader.
func (s *server) onEnded(conn *conn) {
	conn.ended = true
	s.closeConn(conn)
	if !conn.writing { // otherwise onWritten decides by whether the request was written completely
		s.failAttempt(conn, logic.Reset)
	}
}

// failAttempt completes the attempt, if any, of a connection that ended without an answer.
func (s *server) failAttempt(conn *conn, outcome logic.Outcome) {
	if a := conn.attempt; a != nil {
		s.complete(a, outcome, relay.Result{})
	}
}

// abandon ends an attempt that is canceled or timed out. It closes the attempt's connection before it reports the
// attempt, so that no other attempt of the same request can be in flight together with this one.
func (s *server) abandon(id relay.AttemptID, outcome logic.Outcome) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	if a.conn != nil {
		if early := a.conn.earlyAnswer; early != nil {
			early.charge.Release()
			a.conn.earlyAnswer = nil
		}
		s.closeConn(a.conn)
	} else if a.cancelDial != nil {
		a.cancelDial()
		if outcome == logic.TimedOut {
			outcome = logic.Skipped // no byte of the attempt was sent
		}
	}
	s.complete(a, outcome, relay.Result{})
}

// complete forgets an attempt and reports its result.
func (s *server) complete(a *attempt, outcome logic.Outcome, res relay.Result) {
	a.timer.Stop()
	if a.conn != nil {
		a.conn.attempt = nil
	}
	delete(s.attempts, a.ID)
	s.dequeue(a)
	res.Outcome = outcome
	if res.At.IsZero() {
		res.At = time.Now()
	}
	s.report(a.ID, res)
}

// encodeHead encodes the head of an attempt's request. The body is written separately, without a copy.
func encodeHead(a *attempt, host string, now time.Time) []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(a.Payload.Method)
	h.SetRequestURI(a.Payload.Target)
	h.SetHost(host)
	h.Set("X-Call-Id", a.Payload.CallID)
	if a.Payload.IdempotencyKey != "" {
		h.Set("Idempotency-Key", a.Payload.IdempotencyKey)
	}
	if a.Payload.ContentType != "" {
		h.SetContentType(a.Payload.ContentType)
	}
	h.Set("X-Budget", strconv.FormatFloat(a.Deadline.Sub(now).Seconds(), 'f', 3, 64))
	if a.Payload.Method != fasthttp.MethodGet {
		h.SetContentLength(len(a.Payload.Body))
	}
	return h.Header()
}
