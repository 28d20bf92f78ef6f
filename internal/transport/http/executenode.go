// Package http carries claims to execute nodes over HTTP. Each node has
// an actor that owns its connections and its claims and reports each claim
// exactly once. It never sends anything a second time: what follows an outcome
// is the module's to decide.
package http

import (
	"context"
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
	ConnIdle    time.Duration     // the node's machine closes a connection idle for this long
	DrainGrace  time.Duration     // sends to a node told to drain or gone must have stopped after this
	GoneAdvice  bool              // one called gone may still be sent to
	MaxConns    int               // to all nodes together
	Gate        *budget.Gate      // nil: nothing is counted
	Figures     *metrics.Registry // nil: no figures are kept; else BackendCalls counts claims written whole
}

// Before the limits of the rules, time for what lies between the last check and the wire.
const (
	idleMargin  = 0.1 // of ConnIdle: a connection is retired so much earlier
	drainMargin = 0.2 // of DrainGrace
)

// settle is how long a connection rests before it is used again, if there is another: what follows its answer, most
// often its end, mostly comes within that.
const settle = 50 * time.Millisecond

// trimmed is how long a connection must have been idle to be closed because bytes are short: one that the next claim is
// likely to need would only have to be opened again, at the node's cost.
const trimmed = time.Second

// Nodes opens execute nodes and counts their connections.
type Nodes struct {
	opts  Options
	log   zerolog.Logger
	conns atomic.Int64
}

// NewNodes makes a set that has no node yet.
func NewNodes(opts Options, log zerolog.Logger) *Nodes {
	return &Nodes{opts: opts, log: log}
}

// Open starts the actor of a node.
func (s *Nodes) Open(m relay.Member, report func(relay.ClaimID, relay.Result)) relay.Node {
	n := &node{nodes: s, log: s.log.With().Str("node", m.Addr).Logger(), report: report,
		box: mailbox.New(), claims: map[relay.ClaimID]*claim{}, conns: map[*conn]bool{}}
	n.Update(m) // as any later word of the list: it may be draining already
	go n.box.Run()
	return n
}

// node is the actor of one execute node. All but the first four fields belong to it.
type node struct {
	nodes  *Nodes
	log    zerolog.Logger
	report func(relay.ClaimID, relay.Result)
	box    *mailbox.Mailbox

	member relay.Member
	barred time.Time // when the list said that nothing more may be sent; zero: it may
	claims map[relay.ClaimID]*claim
	conns  map[*conn]bool
	idle   []*conn // in the order of their last use
	dials  int     // under way
	closed bool
}

// claim is one that has not been reported.
type claim struct {
	relay.Claim
	conn    *conn              // nil while it is dialled
	abandon context.CancelFunc // ends the dial
	timer   *time.Timer        // its deadline
}

// Claim, Cancel, Release, Trim, Update and Close are the messages of relay.Node.

func (n *node) Claim(c relay.Claim) { n.box.Put(func() { n.start(c) }) }

func (n *node) Cancel(id relay.ClaimID) { n.box.Put(func() { n.giveUp(id, logic.Canceled) }) }

func (n *node) Release() { n.box.Put(n.closeIdle) }

func (n *node) Trim() {
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
		n.barred = m.Told
	}
	if !moved {
		m.Addr = n.member.Addr
	}
	n.member = m
	if moved || !n.barred.IsZero() {
		n.closeIdle()
	}
}

// start puts a claim on an idle connection, or dials one for it.
func (n *node) start(rc relay.Claim) {
	c := &claim{Claim: rc}
	n.claims[c.ID] = c
	c.timer = time.AfterFunc(time.Until(c.Deadline), func() {
		n.box.Put(func() { n.giveUp(c.ID, logic.TimedOut) })
	})
	for len(n.idle) > 0 {
		conn := n.rouse()
		// Its end may be on its way in the mailbox: a request written now would be lost for nothing.
		if conn.take() {
			n.write(c, conn)
			return
		}
		n.drop(conn)
	}
	n.dial(c)
}

// rouse takes an idle connection: of those that have rested for a moment the one used last, so that the others
// are retired. What a node sends behind an answer, and its end, can still be on their way when the answer is there.
func (n *node) rouse() *conn {
	i := len(n.idle) - 1
	for now := time.Now(); i > 0 && now.Sub(n.idle[i].rested) < settle; i-- {
	}
	conn := n.idle[i]
	n.idle = slices.Delete(n.idle, i, i+1)
	conn.wake()
	return conn
}

func (n *node) dial(c *claim) {
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
		var dialer net.Dialer
		nc, err := dialer.DialContext(ctx, "tcp", addr)
		n.box.Put(func() { n.dialled(c, addr, nc, err) })
	}()
}

func (n *node) dialled(c *claim, addr string, nc net.Conn, err error) {
	waiting := n.claims[c.ID] == c
	n.dials--
	if err != nil {
		n.nodes.conns.Add(-1)
		defer n.finish()
		if waiting {
			n.log.Debug().Err(err).Msg("not connected")
			n.end(c, logic.Refused, relay.Result{})
		}
		return
	}
	conn := newConn(n, nc, addr)
	n.conns[conn] = true
	go conn.read()
	switch {
	case !waiting:
		n.rest(conn)
	case conn.take():
		n.write(c, conn)
	default: // a node that speaks before it is asked
		n.drop(conn)
		n.end(c, logic.Refused, relay.Result{})
	}
}

// write sends a claim, unless it may no longer be sent.
func (n *node) write(c *claim, conn *conn) {
	now := time.Now()
	// A claim that waited for its connection must not reach a node that has been told to drain meanwhile, nor
	// be sent when nobody waits for it.
	late := !n.barred.IsZero() && now.Sub(n.barred) > time.Duration((1-drainMargin)*float64(n.nodes.opts.DrainGrace))
	if late || !now.Before(c.Deadline) {
		conn.asked.Store(false)
		n.rest(conn)
		n.end(c, logic.Skipped, relay.Result{})
		return
	}
	c.conn, conn.claim, conn.writing = conn, c, true
	parts := net.Buffers{encode(c, n.member.Addr, now), c.Request.Body}
	// A claim given up meanwhile, and with it the job, may be forgotten before this has let go of its bytes.
	held := c.Request.Held
	held.Hold()
	go func() {
		conn.nc.SetWriteDeadline(c.Deadline)
		_, err := parts.WriteTo(conn.nc)
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
	switch {
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
		n.rest(conn)
	}
	n.end(c, a.outcome, relay.Result{At: a.at, Body: a.body, ContentType: a.contentType, Held: a.held})
}

// giveUp ends a claim that is not waited for. Its connection is closed before it is reported, so that no
// other claim of its job can be out while this one is.
func (n *node) giveUp(id relay.ClaimID, outcome logic.Outcome) {
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
	res.Outcome = outcome
	if res.At.IsZero() {
		res.At = time.Now()
	}
	n.report(c.ID, res)
}

// rest keeps a connection for the next claim, for a time that ends safely before the node closes it.
func (n *node) rest(conn *conn) {
	if !n.conns[conn] {
		return
	}
	if n.closed || !n.barred.IsZero() || conn.addr != n.member.Addr || conn.broken.Load() {
		n.drop(conn)
		return
	}
	n.idle = append(n.idle, conn)
	conn.rested = time.Now()
	idle := time.Duration((1 - idleMargin) * float64(n.nodes.opts.ConnIdle))
	var timer *time.Timer
	timer = time.AfterFunc(idle, func() {
		n.box.Put(func() {
			if conn.retire == timer { // it has not been used since
				n.drop(conn)
			}
		})
	})
	conn.retire = timer
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
