// Package http carries claims to execute nodes over HTTP. Each node has
// an actor that owns its connections and its claims and reports each claim
// exactly once. It never sends anything a second time: what follows an outcome
// is the module's to decide.
package http

import (
	"context"
	"net"
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
