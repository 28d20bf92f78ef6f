// Package http sends attempts to servers over HTTP/1.1. Each server has an actor that owns its connections and attempts
// and reports each attempt exactly once. The transport never retries: the decision module decides what follows an
// outcome. The package implements relay.Transport, whose contract is tested by package contract.
package http

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/mailbox"
	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/relay"
)

// Options are the settings of a transport.
type Options struct {
	DialTimeout time.Duration
	// Dial opens a connection. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// ConnIdle is the time after which a server closes an idle connection.
	ConnIdle time.Duration
	// DrainGrace is how long attempts may still be sent to a server after it is listed as draining or gone.
	DrainGrace time.Duration
	// GoneIsAdvisory allows attempts at a server listed as gone.
	GoneIsAdvisory bool
	// SettleTime is how long a connection settles after an answer. Production uses the constant SettleTime.
	SettleTime time.Duration
	// MaxConns bounds the total number of connections to all servers.
	MaxConns int
	// Gate is the byte budget. If it is nil, bytes are not counted.
	Gate *budget.Gate
	// Metrics counts attempts whose request was written completely as BackendCalls. It may be nil.
	Metrics *metrics.Registry
}

// Safety margins before time limits, for the delay between the last check and the first byte on the wire.
const (
	idleMargin  = 0.1 // fraction of ConnIdle
	drainMargin = 0.2 // fraction of DrainGrace
)

// SettleTime is how long a connection settles after an answer before it is used again. A close or a second copy of the
// answer that the server sends afterwards arrives some milliseconds later and does not say which attempt it belongs to:
// on a connection that already carries the next attempt, a copy would be taken for the answer to that attempt. A
// connection that has not settled is used if there is no other, since a new connection costs the server a handshake,
// but only while all answers have differed, so that a copy would be recognized.
const SettleTime = 50 * time.Millisecond

// Transport connects to servers and counts the connections to all of them.
type Transport struct {
	options Options
	log     zerolog.Logger
	conns   atomic.Int64
	answers answerDigests
}

var _ relay.Transport = (*Transport)(nil)

// NewTransport returns a transport without servers.
func NewTransport(options Options, log zerolog.Logger) *Transport {
	if options.Dial == nil {
		options.Dial = new(net.Dialer).DialContext
	}
	return &Transport{options: options, log: log}
}

// Open starts the actor of a server.
func (t *Transport) Open(m relay.Member, report func(relay.AttemptID, relay.Result)) relay.Server {
	s := &server{transport: t, log: t.log.With().Str("server", m.Addr).Logger(), report: report,
		mailbox: mailbox.New(), attempts: map[relay.AttemptID]*attempt{}, conns: map[*conn]bool{}}
	s.Update(m) // the server may be draining already
	go s.mailbox.Run()
	return s
}

// server is the actor of one server. All but the first four fields belong to it.
type server struct {
	transport *Transport
	log       zerolog.Logger
	report    func(relay.AttemptID, relay.Result)
	mailbox   *mailbox.Mailbox

	member        relay.Member
	excludedSince time.Time // time at which the list excluded the server from new attempts; zero: not excluded
	attempts      map[relay.AttemptID]*attempt
	queue         []*attempt // attempts without a connection, the oldest first
	conns         map[*conn]bool
	idle          []*conn     // connections without an attempt, the least recently used first
	settleTimer   *time.Timer // calls dispatch when an idle connection has settled; nil: not set
	dials         int         // number of dials in progress
	closed        bool
}

// The methods of relay.Server send messages to the actor.

func (s *server) Start(a relay.Attempt) { s.mailbox.Put(func() { s.accept(a) }) }

func (s *server) Cancel(id relay.AttemptID) {
	s.mailbox.Put(func() { s.abandon(id, logic.Canceled) })
}

func (s *server) CloseIdle() { s.mailbox.Put(s.closeIdle) }

func (s *server) TrimIdle() { s.mailbox.Put(s.trimIdle) }

func (s *server) Update(m relay.Member) { s.mailbox.Put(func() { s.applyUpdate(m) }) }

func (s *server) Close() {
	s.mailbox.Put(func() {
		s.closed = true
		s.closeIdle()
		s.endIfClosed()
	})
}

// endIfClosed ends the actor of a closed server once it has no connection and no dial in progress. If the actor ended
// during a dial, the resulting connection would never be closed.
func (s *server) endIfClosed() {
	if s.closed && s.dials == 0 && len(s.conns) == 0 {
		s.mailbox.Close()
	}
}

// applyUpdate applies a changed entry of the list. Connections to a previous address and connections to an excluded
// server are closed as soon as they are idle.
func (s *server) applyUpdate(m relay.Member) {
	moved := m.Addr != s.member.Addr && m.Addr != ""
	switch {
	case m.State == logic.Ready:
		s.excludedSince = time.Time{}
	case m.State == logic.Gone && s.transport.options.GoneIsAdvisory: // the module decides
	case s.excludedSince.IsZero():
		s.excludedSince = m.ListedAt
	}
	if !moved {
		m.Addr = s.member.Addr
	}
	s.member = m
	if moved || !s.excludedSince.IsZero() {
		s.closeIdle()
	}
}
