// Package http is the HTTP front: it turns what submitters send into jobs
// and the final answers of jobs into HTTP. It decides nothing.
package http

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"fieldrelay/internal/budget"
	"fieldrelay/internal/metrics"
	"fieldrelay/internal/relay"
	"fieldrelay/internal/socket"
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

// What is charged to the budget, beside bodies and answers.
const (
	requestBytes = 4 << 10 // a job's head and its bookkeeping in the relay, the module and a node
	// maxWaitFraction is the part of its time that a request may wait for bytes: refused after half of it, with nothing sent,
	// it would have cost its submitter more than a refusal.
	maxWaitFraction = 0.45
	// Where its work is told, so many times of that must be left: a job that can only just be served passes for one that
	// the whole fleet was slow to answer.
	minTimeLeftPerWork = 2.5
	initialBodyBytes   = 4 << 10 // the first charge for a body in chunks; later ones are bodyGrowth times as large
	bodyGrowth         = 4
	minValue           = 0.01 // of a class that tells none
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

// class is what the front knows of a class.
type class struct {
	method   string
	needsKey bool // a request must carry Idempotency-Key
	value    float64
}

// ClassSettings is the table of the classes that fronts take. It may change while they serve: a request is read under
// the table as it was when its head came. Any goroutine may use it.
type Classes struct {
	table   atomic.Pointer[map[string]*class]
	tenants atomic.Pointer[map[string]bool] // empty: the site names no tenants
}

// NewClasses makes a table of classes and of the tenants that may call.
func NewClasses(classes []logic.Class, tenants []logic.Tenant) *Classes {
	t := &Classes{}
	t.Set(classes, tenants)
	return t
}

// Set replaces the table.
func (t *Classes) Set(classes []logic.Class, tenants []logic.Tenant) {
	callers := make(map[string]bool, len(tenants))
	for _, tenant := range tenants {
		callers[tenant.Name] = true
	}
	t.tenants.Store(&callers)
	table := make(map[string]*class, len(classes))
	for _, c := range classes {
		table[c.Name] = &class{method: fasthttp.MethodPost, needsKey: c.Effect == logic.Keyed, value: max(c.Value, minValue)}
		if c.Effect == logic.Safe {
			table[c.Name].method = fasthttp.MethodGet
		}
	}
	t.table.Store(&table)
}

// worth is what a request of the class is worth to the budget; of one dropped meanwhile, the least.
func (t *Classes) value(name string) float64 {
	if c, ok := t.get(name); ok {
		return c.value
	}
	return minValue
}

// caller tells whether X-Caller may name this tenant: one of the settings, or any of good form where they name none.
// An absent header names none and passes.
func (t *Classes) mayCall(name string) bool {
	if name == "" {
		return true
	}
	callers := *t.tenants.Load()
	return isToken(name) && (len(callers) == 0 || callers[name])
}

func (t *Classes) get(name string) (*class, bool) {
	c, ok := (*t.table.Load())[name]
	return c, ok
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

// Pausing: how long a connection may idle before it is ended, and how often that is looked at.
const (
	pausedIdleTimeout  = 300 * time.Millisecond
	pauseCheckInterval = 100 * time.Millisecond
)

// Pause makes /ready say no and ends every connection once it carries no request, until Resume. What is taken is
// answered; nothing else changes.
func (f *Server) Pause() {
	done := make(chan struct{})
	if !f.paused.CompareAndSwap(nil, &done) {
		return
	}
	go func() {
		tick := time.NewTicker(pauseCheckInterval)
		defer tick.Stop()
		for !f.closing.Load() { // a front that shuts down ends its connections itself
			if l := f.listener.Load(); l != nil {
				l.endIdle(pausedIdleTimeout)
			}
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
}

// Resume undoes Pause.
func (f *Server) Resume() {
	if done := f.paused.Swap(nil); done != nil {
		close(*done)
	}
}

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

func (f *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/ready" {
		if f.paused.Load() != nil {
			ctx.SetConnectionClose()
		}
		if f.notReady.Load() || f.paused.Load() != nil || !f.relay.Ready() {
			ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		}
		return
	}
	conn := ctx.Conn().(*watchedConn)
	conn.releaseAnswer()
	conn.setReceiving(false)
	job, code, err := f.parseHead(ctx, time.Now().Add(-queueDelay(conn.Conn)))
	if err == nil {
		code, err = f.readBody(ctx, conn, &job)
	}
	if err != nil {
		if job.Class != "" && code == fasthttp.StatusServiceUnavailable {
			f.options.Metrics.Count(job.Class, metrics.Busy)
		}
		f.reject(ctx, conn, code, err)
		return
	}
	if fig := f.options.Metrics; fig != nil {
		fig.Inflight.Add(1)
		defer fig.Inflight.Add(-1)
	}
	if f.options.Admit != nil {
		done, after, ok := f.options.Admit(job.Class, job.Tenant, job.Retry, job.Expires)
		if !ok {
			f.rejectOverLimit(ctx, job, after)
			return
		}
		defer done()
	}
	conn.expires = job.Expires
	waiting := &reply{answers: make(chan relay.Answer, 1)}
	job.Answer = waiting.answer
	job.Payload.ClientGone = func() bool { return socket.Departed(conn.Conn) }
	watch := conn.watch()
	id := f.relay.Submit(job)
	select {
	case a := <-waiting.answers:
		watch.stop()
		conn.answerCharge = a.Charge
		writeAnswer(ctx, a)
		f.options.Metrics.Count(job.Class, metricOutcome(a.Kind))
		if f.closing.Load() || f.paused.Load() != nil {
			ctx.SetConnectionClose()
		}
	case <-watch.gone:
		watch.stop()
		f.relay.Withdraw(id)
		waiting.abandon()
		// A submitter that only ended its sending would take anything that fasthttp now writes for an answer:
		// the connection is taken from it and closed with nothing written.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// over turns a request back that is over a limit.
func (f *Server) rejectOverLimit(ctx *fasthttp.RequestCtx, job relay.Request, after time.Duration) {
	job.Payload.Charge.Release()
	ctx.Error("over a limit", fasthttp.StatusServiceUnavailable)
	if limits := f.options.Limits; limits.RetryAfter {
		if limits.MaxRetryAfter > 0 {
			after = min(after, limits.MaxRetryAfter)
		}
		setRetryAfter(ctx, after)
	}
	f.options.Metrics.Count(job.Class, metrics.Busy)
	if f.closing.Load() || f.paused.Load() != nil {
		ctx.SetConnectionClose()
	}
}

// reply is where a job's answer meets its submitter, if that is still there.
type reply struct {
	answers chan relay.Answer
	decided atomic.Bool // by whichever of the two comes first
}

func (r *reply) answer(a relay.Answer) {
	if r.decided.CompareAndSwap(false, true) {
		r.answers <- a
	} else {
		a.Charge.Release()
	}
}

// leave gives back what an answer that has crossed the submitter's leaving holds, and what a later one would.
func (r *reply) abandon() {
	if !r.decided.CompareAndSwap(false, true) {
		a := <-r.answers
		a.Charge.Release()
	}
}

// errNoMemory tells that the budget had no room for a request in time.
var errNoMemory = errors.New("short of memory")

// reject answers a request that becomes no job.
func (f *Server) reject(ctx *fasthttp.RequestCtx, conn *watchedConn, code int, err error) {
	switch {
	case code != 0:
		if stream := ctx.RequestBodyStream(); errors.Is(err, errNoMemory) && stream != nil && f.listener.Load().memoryShort.Load() {
			// Others wait to be heard. What is unread when a connection closes would take the answer with it.
			conn.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
			io.Copy(io.Discard, stream)
			ctx.SetConnectionClose()
		}
		ctx.Error(err.Error(), code)
		if errors.Is(err, errNoMemory) {
			f.adviseRetryAfter(ctx)
		}
	default: // the body cannot be read
		badRequest(ctx, err)
		ctx.SetConnectionClose()
	}
	// What is left of the body is passed over behind the answer, for a while.
	conn.Conn.SetReadDeadline(time.Now().Add(readTimeout))
}

// advise tells when a request that found no room had better come again.
func (f *Server) adviseRetryAfter(ctx *fasthttp.RequestCtx) {
	if !f.options.Limits.RetryAfter {
		return
	}
	after := f.options.Gate.Advice(requestBytes + int64(max(ctx.Request.Header.ContentLength(), 0)))
	if most := f.options.Limits.MaxRetryAfter; most > 0 {
		after = min(after, most)
	}
	if after > 0 {
		setRetryAfter(ctx, after)
	}
}

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// head reads the head of a request. What fasthttp uses again after the handler is copied.
func (f *Server) parseHead(ctx *fasthttp.RequestCtx, arrived time.Time) (relay.Request, int, error) {
	var none relay.Request
	h := &ctx.Request.Header
	// Where two headers tell the length, an execute node may see another request in the body.
	if h.ConnectionClose() && hasTwoLengths(h.RawHeaders()) {
		ctx.SetConnectionClose()
		return none, fasthttp.StatusBadRequest, errors.New("Content-Length and Transfer-Encoding exclude one another")
	}
	target := string(h.RequestURI())
	name, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	class, known := f.classes.get(name)
	if !known {
		return none, fasthttp.StatusNotFound, fmt.Errorf("no class %q", name)
	}
	if string(h.Method()) != class.method {
		ctx.Response.Header.Set("Allow", class.method)
		return none, fasthttp.StatusMethodNotAllowed, fmt.Errorf("class %q takes %s", name, class.method)
	}
	if len(h.Peek(bodyTooLongHeader)) > 0 {
		ctx.SetConnectionClose()
		return none, fasthttp.StatusRequestEntityTooLarge, errTooLarge
	}
	bad := fasthttp.StatusBadRequest
	for _, name := range []string{"X-Call-Id", "Idempotency-Key", "X-Budget", "X-Caller"} {
		if len(h.PeekAll(name)) > 1 {
			return none, bad, errors.New(name + ": told twice")
		}
	}
	callID := string(h.Peek("X-Call-Id"))
	if !isToken(callID) {
		return none, bad, errors.New("X-Call-Id: missing or malformed")
	}
	key := string(h.Peek("Idempotency-Key"))
	if (class.needsKey || key != "") && !isToken(key) { // a single-shot class may carry one; a keyed one must
		return none, bad, errors.New("Idempotency-Key: missing or malformed")
	}
	caller := string(h.Peek("X-Caller"))
	if !f.classes.mayCall(caller) {
		return none, bad, errors.New("X-Caller: malformed, or no tenant of the settings")
	}
	budget, err := parseDuration(h.Peek("X-Budget"), time.Second)
	if err != nil || budget <= 0 {
		return none, bad, errors.New("X-Budget: not a time in seconds")
	}
	var hint time.Duration
	if cost := h.Peek("X-Call-Cost"); len(cost) > 0 {
		if hint, err = parseDuration(cost, time.Microsecond); err != nil {
			return none, bad, errors.New("X-Call-Cost: not a time in microseconds")
		}
	}
	return relay.Request{
		Class: name, Tenant: caller, Retry: string(h.Peek("X-Again")) == "1", ExpectedWork: hint, Expires: arrived.Add(budget),
		Payload: &relay.Payload{Method: class.method, Target: target, ContentType: string(h.ContentType()),
			CallID: callID, IdempotencyKey: key},
	}, 0, nil
}

// body charges a request and reads its body, which stays in the system until there is room for it. An error without
// a code is one of reading.
func (f *Server) readBody(ctx *fasthttp.RequestCtx, conn *watchedConn, job *relay.Request) (code int, err error) {
	length := max(ctx.Request.Header.ContentLength(), -1)
	stream := ctx.RequestBodyStream()
	if stream == nil {
		length = 0
	}
	now := time.Now()
	ask := budget.Ask{Kind: budget.Jobs, Bytes: requestBytes + int64(length), Worth: f.classes.value(job.Class)}
	if length < 0 {
		ask.Bytes = requestBytes + initialBodyBytes
	}
	left := job.Expires.Sub(now)
	until := now.Add(min(time.Duration(maxWaitFraction*float64(left)), left-time.Duration(minTimeLeftPerWork*float64(job.ExpectedWork))))
	held, err := f.options.Gate.Enter(ask, until, nil)
	if err != nil {
		return fasthttp.StatusServiceUnavailable, errNoMemory
	}
	defer func() {
		if err != nil {
			held.Release()
		} else {
			job.Payload.Charge = held
		}
	}()
	if stream == nil || length == 0 {
		return 0, nil
	}
	waited := time.Now()
	if waited.Sub(now) > time.Millisecond { // that was no fault of the submitter
		conn.Conn.SetReadDeadline(waited.Add(readTimeout))
	}
	conn.setReceiving(true)
	defer conn.setReceiving(false)
	if length > 0 {
		job.Payload.Body = make([]byte, length)
		_, err = io.ReadFull(stream, job.Payload.Body)
		return 0, err
	}
	// In chunks: nothing tells how long it will be.
	body := make([]byte, 0, initialBodyBytes)
	for {
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			job.Payload.Body = body
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		if len(body) < cap(body) {
			continue
		}
		if len(body) > relay.MaxBodySize {
			return fasthttp.StatusRequestEntityTooLarge, errTooLarge
		}
		size := min(bodyGrowth*cap(body), relay.MaxBodySize+1)
		ask.Bytes, ask.Grown = requestBytes+int64(size), true
		more, err := f.options.Gate.Enter(ask, until, nil)
		if err != nil {
			return fasthttp.StatusServiceUnavailable, errNoMemory
		}
		body = append(make([]byte, 0, size), body...)
		held.Release()
		held = more
	}
}

// bodyTooLongHeader marks the head of a request whose body is not going to be read.
const bodyTooLongHeader = "X-Body-Too-Long"

// skipLongBody keeps fasthttp from waiting for the first byte of a body that is refused by its length alone.
func skipLongBody(h *fasthttp.RequestHeader) (unchanged fasthttp.RequestConfig) {
	if h.ContentLength() > relay.MaxBodySize {
		h.SetContentLength(0)
		h.Set(bodyTooLongHeader, "1")
	}
	return unchanged
}

// hasTwoLengths tells whether a head names both headers that tell a length. fasthttp goes by the second one, marks
// the connection to be closed and does not keep the first.
func hasTwoLengths(head []byte) bool {
	head = append([]byte("\n"), bytes.ToLower(head)...)
	return bytes.Contains(head, []byte("\ncontent-length:")) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
}

// token tells whether text can be an id: visible ASCII, and not without end.
func isToken(text string) bool {
	return text != "" && len(text) <= maxTokenLength &&
		!strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

// span reads a time that is told as a decimal number of units.
func parseDuration(text []byte, unit time.Duration) (time.Duration, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 { // else names, hexadecimal numbers and signs would do
		return 0, strconv.ErrSyntax
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return 0, err
	}
	if !(v >= 0 && v <= float64(maxTimeBudget/unit)) {
		return 0, strconv.ErrRange
	}
	return time.Duration(v * float64(unit)), nil
}

func writeAnswer(ctx *fasthttp.RequestCtx, a relay.Answer) {
	switch a.Kind {
	case relay.Served:
		ctx.Response.SetBodyRaw(a.Body)
		ctx.Response.Header.SetContentType(a.ContentType)
	case relay.Rejected:
		ctx.Error("requeue", fasthttp.StatusServiceUnavailable)
		if a.RetryAfter > 0 {
			setRetryAfter(ctx, a.RetryAfter)
		}
	case relay.Failed:
		ctx.Error("failed", fasthttp.StatusBadGateway)
	case relay.Duplicate:
		ctx.Error("X-Call-Id: of another request", fasthttp.StatusConflict)
	}
}

// outcome is how the figures count a verdict.
func metricOutcome(v relay.AnswerKind) metrics.Outcome {
	switch v {
	case relay.Served:
		return metrics.Success
	case relay.Rejected:
		return metrics.Busy
	case relay.Failed:
		return metrics.Failure
	}
	return metrics.Outcome(255) // not counted: no node saw it
}

var errTooLarge = errors.New("body over 64 KiB")

// badRequest answers what cannot be read as a request.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		ctx.Error("request not whole in time", fasthttp.StatusRequestTimeout)
		return
	}
	ctx.Error("malformed request", fasthttp.StatusBadRequest)
}

// lag tells how long the last byte of a request has lain in the system before now. A sidecar that had no core for
// a while would otherwise give a submitter more time than it has, and answer after it has left.
func queueDelay(nc net.Conn) time.Duration {
	unread := socket.Quiet(nc)
	if unread > readTimeout { // no request lies for so long: the system does not know
		return 0
	}
	return unread
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
