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
	DialTimeout time.Duration
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error) // nil: the system's
	ConnIdle    time.Duration                                                     // the node's machine closes a connection idle for this long
	DrainGrace  time.Duration                                                     // sends to a node told to drain or gone must have stopped after this
	GoneAdvice  bool                                                              // one called gone may still be sent to
	Settle      time.Duration                                                     // a connection rests so long after an answer
	MaxConns    int                                                               // to all nodes together
	Gate        *budget.Gate                                                      // nil: nothing is counted
	Figures     *metrics.Registry                                                 // nil: no figures are kept; else BackendCalls counts claims written whole
}

// Before the limits of the rules, time for what lies between the last check and the wire.
const (
	idleMargin  = 0.1 // of ConnIdle: a connection is retired so much earlier
	drainMargin = 0.2 // of DrainGrace
)

// Settle is how long a connection rests after an answer before it is used again. What a node sends behind an answer (its
// end, or a second copy of the answer) comes some milliseconds later and carries no sign of whose it is: on a connection
// that was asked again by then it would be taken for the next answer. A connection that has not rested is used where there
// is no other, since one more costs the node a handshake, but only if a copy would be known: answers all differ.
const Settle = 50 * time.Millisecond

// trimmed is how long a connection must have been idle to be closed because bytes are short: one that the next claim is
// likely to need would only have to be opened again, at the node's cost.
const trimmed = time.Second

// Nodes opens execute nodes and counts their connections.
type Nodes struct {
	opts    Options
	log     zerolog.Logger
	conns   atomic.Int64
	answers answers
}

// NewNodes makes a set that has no node yet.
func NewNodes(opts Options, log zerolog.Logger) *Nodes {
	if opts.Dial == nil {
		opts.Dial = new(net.Dialer).DialContext
	}
	return &Nodes{opts: opts, log: log}
}

// Open starts the actor of a node.
func (s *Nodes) Open(m relay.Member, report func(relay.AttemptID, relay.Result)) relay.Server {
	n := &node{nodes: s, log: s.log.With().Str("node", m.Addr).Logger(), report: report,
		box: mailbox.New(), claims: map[relay.AttemptID]*claim{}, conns: map[*conn]bool{}}
	n.Update(m) // as any later word of the list: it may be draining already
	go n.box.Run()
	return n
}

// node is the actor of one execute node. All but the first four fields belong to it.
type node struct {
	nodes  *Nodes
	log    zerolog.Logger
	report func(relay.AttemptID, relay.Result)
	box    *mailbox.Mailbox

	member  relay.Member
	barred  time.Time // when the list said that nothing more may be sent; zero: it may
	claims  map[relay.AttemptID]*claim
	waiting []*claim // of those, the ones without a connection, the oldest first
	conns   map[*conn]bool
	idle    []*conn // in the order of their last use
	settled *time.Timer
	dials   int // under way
	closed  bool
}

// claim is one that has not been reported.
type claim struct {
	relay.Attempt
	conn    *conn              // nil while it waits for one
	abandon context.CancelFunc // ends the dial that was begun for it
	timer   *time.Timer        // its deadline
}

// Claim, Cancel, Release, Trim, Update and Close are the messages of relay.Node.

func (n *node) Start(c relay.Attempt) { n.box.Put(func() { n.start(c) }) }

func (n *node) Cancel(id relay.AttemptID) { n.box.Put(func() { n.giveUp(id, logic.Canceled) }) }

func (n *node) CloseIdle() { n.box.Put(n.closeIdle) }

func (n *node) TrimIdle() {
	n.box.Put(func() {
		for len(n.idle) > 0 && time.Since(n.idle[0].rested) > trimmed {
			n.drop(n.idle[0])
		}
	})
}

func (n *node) Update(m relay.Member) { n.box.Put(func() { n.update(m) }) }

func (n *node) Close() {
	n.box.Put(func() {
		n.closed = true
		n.closeIdle()
		n.finish()
	})
}

// finish ends the actor once no connection is left and none is being dialled: one that came up afterwards
// would stay open for good.
func (n *node) finish() {
	if n.closed && n.dials == 0 && len(n.conns) == 0 {
		n.box.Close()
	}
}

func (n *node) update(m relay.Member) {
	moved := m.Addr != n.member.Addr && m.Addr != ""
	switch {
	case m.State == logic.Ready:
		n.barred = time.Time{}
	case m.State == logic.Gone && n.nodes.opts.GoneAdvice: // the module decides
	case n.barred.IsZero():
		n.barred = m.ListedAt
	}
	if !moved {
		m.Addr = n.member.Addr
	}
	n.member = m
	if moved || !n.barred.IsZero() {
		n.closeIdle()
	}
}

// start takes a claim.
func (n *node) start(rc relay.Attempt) {
	c := &claim{Attempt: rc}
	n.claims[c.ID] = c
	c.timer = time.AfterFunc(time.Until(c.Deadline), func() {
		n.box.Put(func() { n.giveUp(c.ID, logic.TimedOut) })
	})
	n.begin(c)
}

// begin puts a claim on a connection that has rested or, where there is none, dials one for it. It waits for whichever is
// there first: that one, or one that comes to rest meanwhile. So no claim waits for a slow dial alone.
func (n *node) begin(c *claim) {
	n.waiting = append(n.waiting, c)
	n.serve()
	if slices.Contains(n.waiting, c) {
		n.dial(c)
	}
}

// serve gives the connections that have rested to the claims that wait, the oldest first.
func (n *node) serve() {
	for len(n.waiting) > 0 {
		conn := n.rouse()
		if conn == nil {
			n.serveLater()
			return
		}
		// Its end may be on its way in the mailbox: a request written now would be lost for nothing.
		if !conn.usable() {
			n.drop(conn)
			continue
		}
		n.write(n.waiting[0], conn)
	}
}

// serveLater looks again when the next connection has rested.
func (n *node) serveLater() {
	if len(n.idle) == 0 || n.settled != nil {
		return
	}
	n.settled = time.AfterFunc(time.Until(n.idle[0].rested.Add(n.nodes.opts.Settle)), func() {
		n.box.Put(func() {
			n.settled = nil
			n.serve()
		})
	})
}

// rouse takes an idle connection: of those that have rested the one used last, so that the others are retired; if none
// has, the one that has rested for longest, or none.
func (n *node) rouse() *conn {
	i, now := len(n.idle)-1, time.Now()
	resting := func(i int) bool { return n.idle[i].answered && now.Sub(n.idle[i].rested) < n.nodes.opts.Settle }
	for ; i > 0 && resting(i); i-- {
	}
	if i < 0 || resting(i) && !n.nodes.answers.differ() {
		return nil
	}
	conn := n.idle[i]
	conn.hurried.Store(resting(i))
	n.idle = slices.Delete(n.idle, i, i+1)
	conn.wake()
	return conn
}

func (n *node) dial(c *claim) {
	if len(n.idle) > 0 && n.nodes.conns.Load() >= int64(n.nodes.opts.MaxConns) { // it has not rested: another takes its place
		n.drop(n.idle[0])
	}
	if n.nodes.conns.Add(1) > int64(n.nodes.opts.MaxConns) {
		n.nodes.conns.Add(-1)
		n.log.Warn().Int("limit", n.nodes.opts.MaxConns).Msg("no socket left for a claim")
		n.end(c, logic.Skipped, relay.Result{})
		return
	}
	n.dials++
	ctx, abandon := context.WithTimeout(context.Background(), n.nodes.opts.DialTimeout)
	c.abandon = abandon
	addr := n.member.Addr
	go func() {
		defer abandon()
		nc, err := n.nodes.opts.Dial(ctx, "tcp", addr)
		n.box.Put(func() { n.dialled(c, addr, nc, err) })
	}()
}

func (n *node) dialled(c *claim, addr string, nc net.Conn, err error) {
	n.dials--
	if err != nil {
		n.nodes.conns.Add(-1)
		defer n.finish()
		if slices.Contains(n.waiting, c) {
			n.log.Debug().Err(err).Msg("not connected")
			n.end(c, logic.Refused, relay.Result{})
		}
		return
	}
	conn := newConn(n, nc, addr)
	n.conns[conn] = true
	go conn.read()
	if !slices.Contains(n.waiting, c) && len(n.waiting) > 0 {
		c = n.waiting[0]
	}
	switch {
	case !slices.Contains(n.waiting, c) || conn.addr != n.member.Addr:
		n.rest(conn, time.Now())
		if slices.Contains(n.waiting, c) { // its node has moved meanwhile
			n.dial(c)
		}
	case conn.usable():
		n.write(c, conn)
	default: // a node that speaks before it is asked
		n.drop(conn)
		n.end(c, logic.Refused, relay.Result{})
	}
}

// write sends a claim, unless it may no longer be sent.
func (n *node) write(c *claim, conn *conn) {
	n.waiting = slices.DeleteFunc(n.waiting, func(o *claim) bool { return o == c })
	c.conn, conn.claim, conn.writing = conn, c, true
	now, until := time.Now(), c.Deadline
	if !c.SendBefore.IsZero() && c.SendBefore.Before(until) {
		until = c.SendBefore
	}
	if grace := n.barred.Add(time.Duration((1 - drainMargin) * float64(n.nodes.opts.DrainGrace))); !n.barred.IsZero() && grace.Before(until) {
		until = grace
	}
	parts := net.Buffers{encode(c, n.member.Addr, now), c.Payload.Body}
	// A claim given up meanwhile, and with it the job, may be forgotten before this has let go of its bytes.
	held := c.Payload.Charge
	held.Hold()
	go func() {
		err := conn.send(parts, c, until)
		held.Release()
		if fig := n.nodes.opts.Figures; err == nil && fig != nil {
			fig.BackendCalls.Add(1)
		}
		n.box.Put(func() { n.written(conn, err) })
	}()
}

// written learns whether the last byte has left: what breaks before that never ran.
func (n *node) written(conn *conn, err error) {
	conn.writing = false
	if conn.early != nil {
		a := *conn.early
		conn.early = nil
		a.last = a.last || err != nil
		n.answered(conn, a)
		return
	}
	c := conn.claim
	switch {
	case errors.Is(err, errOver):
		if c != nil {
			n.end(c, logic.Skipped, relay.Result{})
		}
		n.rest(conn, conn.rested)
	case errors.Is(err, errStale) && c != nil && !conn.rested.IsZero():
		n.drop(conn)
		conn.claim, c.conn = nil, nil
		n.begin(c)
	case err != nil:
		n.drop(conn)
		n.broke(conn, logic.Refused)
	case conn.over:
		n.broke(conn, logic.Reset)
	}
}

// broke ends the claim of a connection that has ended without an answer.
func (n *node) broke(conn *conn, outcome logic.Outcome) {
	if c := conn.claim; c != nil {
		n.end(c, outcome, relay.Result{})
	}
}

// ended learns that nothing more comes from a connection.
func (n *node) ended(conn *conn) {
	conn.over = true
	n.drop(conn)
	if !conn.writing { // else the end of the write tells whether the request left whole
		n.broke(conn, logic.Reset)
	}
}

// answered takes in an answer.
func (n *node) answered(conn *conn, a answer) {
	c := conn.claim
	switch {
	case c == nil: // an answer that nobody asked for
		a.held.Release()
		n.drop(conn)
		return
	case conn.writing:
		// A quick answer can overtake the word that its request has left. Taken at once, it left the connection
		// unfit for the next claim, which had to open another.
		conn.early = &a
		return
	case a.last:
		n.drop(conn)
	default:
		conn.answered, conn.claim, c.conn = true, nil, nil // at rest it may carry another claim at once
		n.rest(conn, time.Now())
	}
	n.end(c, a.outcome, relay.Result{At: a.at, Body: a.body, ContentType: a.contentType, Charge: a.held})
}

// giveUp ends a claim that is not waited for. Its connection is closed before it is reported, so that no
// other claim of its job can be out while this one is.
func (n *node) giveUp(id relay.AttemptID, outcome logic.Outcome) {
	c := n.claims[id]
	if c == nil {
		return
	}
	if c.conn != nil {
		if c.conn.early != nil { // an answer that came too soon to be taken
			c.conn.early.held.Release()
			c.conn.early = nil
		}
		n.drop(c.conn)
	} else if c.abandon != nil {
		c.abandon()
		if outcome == logic.TimedOut {
			outcome = logic.Skipped // nothing of it was sent
		}
	}
	n.end(c, outcome, relay.Result{})
}

// end reports a claim.
func (n *node) end(c *claim, outcome logic.Outcome, res relay.Result) {
	c.timer.Stop()
	if c.conn != nil {
		c.conn.claim = nil
	}
	delete(n.claims, c.ID)
	n.waiting = slices.DeleteFunc(n.waiting, func(o *claim) bool { return o == c })
	res.Outcome = outcome
	if res.At.IsZero() {
		res.At = time.Now()
	}
	n.report(c.ID, res)
}

// rest keeps a connection for the next claim, for a time that ends safely before the node closes it: it counts from the last
// answer on it, also where a claim was put on it meanwhile and not sent.
func (n *node) rest(conn *conn, since time.Time) {
	if !n.conns[conn] {
		return
	}
	if n.closed || !n.barred.IsZero() || conn.addr != n.member.Addr || conn.broken.Load() {
		n.drop(conn)
		return
	}
	if since.IsZero() {
		since = time.Now()
	}
	i := slices.IndexFunc(n.idle, later(since))
	if i < 0 {
		i = len(n.idle)
	}
	n.idle = slices.Insert(n.idle, i, conn)
	conn.rested = since
	idle := time.Duration((1 - idleMargin) * float64(n.nodes.opts.ConnIdle))
	var timer *time.Timer
	timer = time.AfterFunc(time.Until(since.Add(idle)), func() {
		n.box.Put(func() {
			if conn.retire == timer { // it has not been used since
				n.drop(conn)
			}
		})
	})
	conn.retire = timer
	n.serve()
}

// later picks connections that came to rest after a time.
func later(than time.Time) func(*conn) bool {
	return func(c *conn) bool { return c.rested.After(than) }
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
	for i, o := range n.idle {
		if o == conn {
			o.wake()
			n.idle = slices.Delete(n.idle, i, i+1)
			break
		}
	}
	n.finish()
}
