// Package http is the HTTP server for clients: it converts HTTP requests into requests to the relay, and final
// answers into HTTP responses. It chooses no servers; it rejects requests that are malformed, over a limit of the
// fleet or beyond the byte budget. In addition to fasthttp, it detects while a request is served that the client has
// disconnected, evicts connections when the maximum number is nearly reached, and drains connections without loss
// at a shutdown.
package http

import (
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"fieldrelay/internal/sidecar/budget"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/relay"
)

// Time-outs of a connection.
const (
	// readTimeout bounds the reading of a request from its first byte, or from the time of the connect for the first
	// request on a connection. A client that sends no valid request must be answered within 3 s.
	readTimeout = 2500 * time.Millisecond
	// minReadTimeout is the minimum for the first request of a connection that waited long in the backlog.
	minReadTimeout = 250 * time.Millisecond
	// idleTimeout bounds how long a connection may be idle: some clients send one request and never disconnect.
	idleTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	// writeGracePeriod is how long after the request's expiry an answer may be written. Then the answer is
	// abandoned to free memory.
	writeGracePeriod = 500 * time.Millisecond
)

// Relay accepts requests. It is implemented by relay.Relay. No call blocks.
type Relay interface {
	// Submit accepts a request and returns its id.
	Submit(relay.Request) uint64
	// Withdraw reports that the client of a request has disconnected.
	Withdraw(uint64)
	// Ready reports whether at least one server accepts requests.
	Ready() bool
}

// Options are the settings of a server.
type Options struct {
	ClassSettings []logic.Class
	Tenants       []logic.Tenant // tenants that X-Caller may name; empty: any well-formed tenant
	Limits        logic.Limits
	Gate          *budget.Gate      // byte budget; nil: bytes are not counted
	Metrics       *metrics.Registry // nil: nothing is counted
	Admit         Admit             // admission check; nil: all requests are admitted
	Classes       *Classes          // table shared with other servers; nil: created from ClassSettings and Tenants
}

// Admit decides whether a request of a class and tenant is admitted. If not, after is the delay before a retry. For an
// admitted request, done is called once when the request has ended, which is not later than expires. Admit must not
// block.
type Admit func(class, tenant string, retry bool, expires time.Time) (done func(), after time.Duration, ok bool)

// Server serves clients on one listener. Its methods may be called from any goroutine.
type Server struct {
	relay    Relay
	log      zerolog.Logger
	options  Options
	classes  *Classes
	server   *fasthttp.Server
	listener atomic.Pointer[listener] // nil before Serve
	maxConns atomic.Int64
	notReady atomic.Bool                   // /ready fails
	closing  atomic.Bool                   // connections are closed after their next answer
	paused   atomic.Pointer[chan struct{}] // while set, /ready fails and connections are closed; closed by Resume
}

// New returns a server that submits requests to r.
func New(r Relay, options Options, log zerolog.Logger) *Server {
	s := &Server{relay: r, log: log, options: options, classes: options.Classes}
	if s.classes == nil {
		s.classes = NewClasses(options.ClassSettings, options.Tenants)
	}
	s.server = &fasthttp.Server{
		Name: "fieldrelay", Handler: s.handleRecovering, ErrorHandler: badRequest,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		// The handler reads bodies once the byte budget admits them. MaxRequestBodySize bounds how much of a body
		// fasthttp has read by then.
		StreamRequestBody: true, MaxRequestBodySize: 1, DisablePreParseMultipartForm: true,
		HeaderReceived: skipLongBody,
		// Idle connections have no buffers, and an answer is never delayed until the next request arrives.
		ReduceMemoryUsage: true,
		Logger:            serverLogger{log},
		Concurrency:       math.MaxInt32, // the listener limits the connections
	}
	return s
}

// Serve serves the connections of ln until Shutdown. It is called once.
func (s *Server) Serve(ln net.Listener) error {
	l := newListener(ln, int(s.maxConns.Load()), s.options.Gate)
	s.listener.Store(l)
	l.setMaxConns(int(s.maxConns.Load())) // SetMaxConns may have been called before the listener was stored
	if s.closing.Load() {
		l.shutDown()
	}
	return s.server.Serve(l)
}

// SetMaxConns bounds the number of open connections. Connections beyond a lower bound stay until they end.
func (s *Server) SetMaxConns(conns int) {
	s.maxConns.Store(int64(conns))
	if l := s.listener.Load(); l != nil {
		l.setMaxConns(conns)
	}
}

// MarkNotReady makes /ready fail; requests are still served.
func (s *Server) MarkNotReady() { s.notReady.Store(true) }

// TrimIdle closes the connections that have carried no request for a while, to free memory.
func (s *Server) TrimIdle() {
	if l := s.listener.Load(); l != nil {
		l.trimIdle()
	}
}

// Shutdown closes the listener and the idle connections and waits until all requests are answered, or returns
// the error of ctx. It does not use fasthttp's Shutdown, which loses a request that has arrived on an idle
// connection but was not read.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	if l := s.listener.Load(); l != nil {
		return l.drain(ctx)
	}
	return nil
}

// endsConns reports whether connections are closed after their next answer.
func (s *Server) endsConns() bool { return s.closing.Load() || s.paused.Load() != nil }

// handleRecovering handles a request and recovers from a panic in the handler, so that the process goes on.
func (s *Server) handleRecovering(ctx *fasthttp.RequestCtx) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error().Str("panic", fmt.Sprint(p)).Msg("request handler panicked")
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}()
	s.handle(ctx)
}

// serverLogger passes fasthttp's log messages to the log.
type serverLogger struct{ log zerolog.Logger }

// Printf logs errors caused by a client at debug level only: the client has received an answer, and a client that
// sends unreadable bytes could otherwise flood the log.
func (l serverLogger) Printf(format string, args ...any) {
	level := zerolog.WarnLevel
	if strings.HasPrefix(format, "error when serving connection") {
		level = zerolog.DebugLevel
	}
	l.log.WithLevel(level).Msgf(format, args...)
}
