// Package http carries claims to execute nodes over HTTP. Each node has
// an actor that owns its connections and its claims and reports each claim
// exactly once. It never sends anything a second time: what follows an outcome
// is the module's to decide.
package http

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/mailbox"
	"fieldrelay/internal/metrics"
	"fieldrelay/internal/relay"
	"fieldrelay/logic"
)

// Options are what all execute nodes share.
type Options struct {
	DialTimeout    time.Duration
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the system's
	ConnIdle       time.Duration                                                     // the node's machine closes a connection idle for this long
	DrainGrace     time.Duration                                                     // sends to a node told to drain or gone must have stopped after this
	GoneIsAdvisory bool                                                              // one called gone may still be sent to
	SettleTime     time.Duration                                                     // a connection rests so long after an answer
	MaxConns       int                                                               // to all nodes together
	Gate           *budget.Gate                                                      // nil: nothing is counted
	Metrics        *metrics.Registry                                                 // nil: no figures are kept; else BackendCalls counts claims written whole
}

// Before the limits of the rules, time for what lies between the last check and the wire.
const (
	idleMargin  = 0.1 // of ConnIdle: a connection is retired so much earlier
	drainMargin = 0.2 // of DrainGrace
)

// SettleTime is how long a connection rests after an answer before it is used again. What a node sends behind an answer (its
// end, or a second copy of the answer) comes some milliseconds later and carries no sign of whose it is: on a connection
// that was asked again by then it would be taken for the next answer. A connection that has not rested is used where there
// is no other, since one more costs the node a handshake, but only if a copy would be known: answers all differ.
const SettleTime = 50 * time.Millisecond

// trimmed is how long a connection must have been idle to be closed because bytes are short: one that the next claim is
// likely to need would only have to be opened again, at the node's cost.
const minIdleTime = time.Second

// Transport opens execute nodes and counts their connections.
type Transport struct {
	options Options
	log     zerolog.Logger
	conns   atomic.Int64
	answers answers
}

// NewTransport makes a set that has no node yet.
func NewTransport(opts Options, log zerolog.Logger) *Transport {
	if opts.Dial == nil {
		opts.Dial = new(net.Dialer).DialContext
	}
	return &Transport{options: opts, log: log}
}

// Open starts the actor of a node.
func (s *Transport) Open(m relay.Member, report func(relay.AttemptID, relay.Result)) relay.Server {
	n := &server{transport: s, log: s.log.With().Str("node", m.Addr).Logger(), report: report,
		mailbox: mailbox.New(), attempts: map[relay.AttemptID]*attempt{}, conns: map[*conn]bool{}}
	n.Update(m) // as any later word of the list: it may be draining already
	go n.mailbox.Run()
	return n
}

// node is the actor of one execute node. All but the first four fields belong to it.
type server struct {
	transport *Transport
	log       zerolog.Logger
	report    func(relay.AttemptID, relay.Result)
	mailbox   *mailbox.Mailbox

	member        relay.Member
	excludedSince time.Time // when the list said that nothing more may be sent; zero: it may
	attempts      map[relay.AttemptID]*attempt
	queue         []*attempt // of those, the ones without a connection, the oldest first
	conns         map[*conn]bool
	idle          []*conn // in the order of their last use
	settleTimer   *time.Timer
	dials         int // under way
	closed        bool
}

// claim is one that has not been reported.
type attempt struct {
	relay.Attempt
	conn       *conn              // nil while it waits for one
	cancelDial context.CancelFunc // ends the dial that was begun for it
	timer      *time.Timer        // its deadline
}

// Claim, Cancel, Release, Trim, Update and Close are the messages of relay.Node.

func (n *server) Start(c relay.Attempt) { n.mailbox.Put(func() { n.accept(c) }) }

func (n *server) Cancel(id relay.AttemptID) { n.mailbox.Put(func() { n.abandon(id, logic.Canceled) }) }

func (n *server) CloseIdle() { n.mailbox.Put(n.closeIdle) }

func (n *server) TrimIdle() {
	n.mailbox.Put(func() {
		for len(n.idle) > 0 && time.Since(n.idle[0].idleSince) > minIdleTime {
			n.closeConn(n.idle[0])
		}
	})
}

func (n *server) Update(m relay.Member) { n.mailbox.Put(func() { n.applyUpdate(m) }) }

func (n *server) Close() {
	n.mailbox.Put(func() {
		n.closed = true
		n.closeIdle()
		n.endIfClosed()
	})
}

// finish ends the actor once no connection is left and none is being dialled: one that came up afterwards
// would stay open for good.
func (n *server) endIfClosed() {
	if n.closed && n.dials == 0 && len(n.conns) == 0 {
		n.mailbox.Close()
	}
}

func (n *server) applyUpdate(m relay.Member) {
	moved := m.Addr != n.member.Addr && m.Addr != ""
	switch {
	case m.State == logic.Ready:
		n.excludedSince = time.Time{}
	case m.State == logic.Gone && n.transport.options.GoneIsAdvisory: // the module decides
	case n.excludedSince.IsZero():
		n.excludedSince = m.ListedAt
	}
	if !moved {
		m.Addr = n.member.Addr
	}
	n.member = m
	if moved || !n.excludedSince.IsZero() {
		n.closeIdle()
	}
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

// broke ends the claim of a connection that has ended without an answer.
func (n *server) failAttempt(conn *conn, outcome logic.Outcome) {
	if c := conn.attempt; c != nil {
		n.complete(c, outcome, relay.Result{})
	}
}

// ended learns that nothing more comes from a connection.
func (n *server) onEnded(conn *conn) {
	conn.ended = true
	n.closeConn(conn)
	if !conn.writing { // else the end of the write tells whether the request left whole
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
