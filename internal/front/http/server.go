// Package http is the HTTP front: it turns what submitters send into jobs
// and the final answers of jobs into HTTP. It decides nothing.
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

	"fieldrelay/internal/budget"
	"fieldrelay/internal/metrics"
	"fieldrelay/internal/relay"
	"fieldrelay/logic"
)

// Relay takes jobs.
type Relay interface {
	Submit(relay.Request) uint64
	Withdraw(uint64)
	Ready() bool
}

const (
	// For a whole request, from its first byte; for the first one on a connection, from when that was made. Whoever
	// sends nothing that can be served learns so within 3 s.
	readTimeout    = 2500 * time.Millisecond
	minReadTimeout = 250 * time.Millisecond // at the least: a connection that stood in the queue is read too
	idleTimeout    = 10 * time.Second       // some submitters ask once and keep their connection for good
	writeTimeout   = 10 * time.Second
	// An answer not taken for so long after its submitter stopped waiting is given up, and its bytes come back.
	writeGracePeriod = 500 * time.Millisecond
	discardTimeout   = 250 * time.Millisecond // for the rest of a body that is not wanted, before a connection is closed
	maxTokenLength   = 256
	maxTimeBudget    = time.Hour // what no submitter waits for
)

// Options are what a front is told.
type Options struct {
	ClassSettings []logic.Class
	Tenants       []logic.Tenant // the callers that X-Caller may name; none: any caller of good form
	Limits        logic.Limits
	Gate          *budget.Gate      // nil: nothing is counted
	Metrics       *metrics.Registry // nil: no figures are kept
	Admit         Admit             // nil: all are let through
	Classes       *Classes          // shared with other fronts, to be changed; nil: one of Classes
}

// Admit lets a request of a class and a tenant through, or tells after what time to come again. done is called once when
// the request has ended, which is not later than ends. It may not wait.
type Admit func(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool)

// Server serves submitters.
type Server struct {
	relay    Relay
	log      zerolog.Logger
	options  Options
	classes  *Classes
	server   *fasthttp.Server
	listener atomic.Pointer[listener]
	maxConns atomic.Int64                  // most that may be open
	notReady atomic.Bool                   // /ready says no
	closing  atomic.Bool                   // connections end with their next answer
	paused   atomic.Pointer[chan struct{}] // while set, /ready says no and connections end; closed on resume
}

// New makes a front for the classes of the settings, or of opts.Table where that is given.
func New(r Relay, opts Options, log zerolog.Logger) *Server {
	f := &Server{relay: r, log: log, options: opts, classes: opts.Classes}
	if f.classes == nil {
		f.classes = NewClasses(opts.ClassSettings, opts.Tenants)
	}
	f.server = &fasthttp.Server{
		Name: "fieldrelay", Handler: f.handleRecovering, ErrorHandler: badRequest,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		// Bodies are read by the handler, once the budget has room for them. Of one longer than this fasthttp has read
		// just so much by then.
		StreamRequestBody: true, MaxRequestBodySize: 1, DisablePreParseMultipartForm: true,
		HeaderReceived: skipLongBody,
		// Idle connections hold no buffers, and an answer never waits for the next request to come.
		ReduceMemoryUsage: true,
		Logger:            serverLogger{log},
		Concurrency:       math.MaxInt32, // the listener bounds it
	}
	return f
}

// Serve answers the connections of ln until the front is shut down.
func (f *Server) Serve(ln net.Listener) error {
	l := newListener(ln, int(f.maxConns.Load()), f.options.Gate)
	f.listener.Store(l)
	l.setMaxConns(int(f.maxConns.Load())) // it may have been changed meanwhile
	if f.closing.Load() {
		l.shutDown()
	}
	return f.server.Serve(l)
}

// SetMaxConns bounds the connections that are open at a time. Those over a new bound stay until they end.
func (f *Server) SetMaxConns(conns int) {
	f.maxConns.Store(int64(conns))
	if l := f.listener.Load(); l != nil {
		l.setMaxConns(conns)
	}
}

// MarkNotReady makes /ready say so; all else goes on.
func (f *Server) MarkNotReady() { f.notReady.Store(true) }

// TrimIdle closes the connections that have carried no request for a while: their bytes are needed.
func (f *Server) TrimIdle() {
	if l := f.listener.Load(); l != nil {
		l.trimIdle()
	}
}

// Shutdown closes the listener and the idle connections and waits until all that was taken is answered. It
// stands in for the server's own Shutdown, which drops a request that lies unread on an idle connection.
func (f *Server) Shutdown(ctx context.Context) error {
	f.closing.Store(true)
	if l := f.listener.Load(); l != nil {
		return l.drain(ctx)
	}
	return nil
}

// guard keeps a panic of one request from ending the process.
func (f *Server) handleRecovering(ctx *fasthttp.RequestCtx) {
	defer func() {
		if p := recover(); p != nil {
			f.log.Error().Str("panic", fmt.Sprint(p)).Msg("request failed")
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}()
	f.handle(ctx)
}

// printer hands fasthttp's lines to the log.
type serverLogger struct{ log zerolog.Logger }

// Printf keeps what a submitter has brought about out of the usual log: it had its answer, and whoever sends only
// what cannot be read would fill the log at will.
func (p serverLogger) Printf(format string, args ...any) {
	level := zerolog.WarnLevel
	if strings.HasPrefix(format, "error when serving connection") {
		level = zerolog.DebugLevel
	}
	p.log.WithLevel(level).Msgf(format, args...)
}
