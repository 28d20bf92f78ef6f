package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/route"
)

const (
	// defaultMaxHeader bounds the head of a request while no configuration names a bound. It is generous, as the
	// next two are: the connections that come before the configuration keep them, and it may allow much.
	defaultMaxHeader = 64 << 10
	// defaultHeaderRead is how long the head of a request may take while no configuration names a bound.
	defaultHeaderRead = 10 * time.Second
	// defaultKeepAlive is how long a connection may stay idle while no configuration names a bound.
	defaultKeepAlive = time.Minute
	// limitSlack is added to the times that clients are held to, so that the client ends first.
	limitSlack = time.Second
	// headerSlack is added to the bound on heads, which counts the request line and line ends as well.
	headerSlack = 4 << 10
	// acceptBackoff is waited after a connection could not be accepted.
	acceptBackoff = 5 * time.Millisecond
)

// connLimits are what a client may send and how long it may take.
type connLimits struct {
	maxHeader  int
	headerRead time.Duration
	keepAlive  time.Duration
}

func connLimitsOf(configured route.RequestLimits) connLimits {
	limits := connLimits{maxHeader: defaultMaxHeader, headerRead: defaultHeaderRead, keepAlive: defaultKeepAlive}
	if configured.MaxHeaderBytes > 0 {
		limits.maxHeader = int(configured.MaxHeaderBytes)
	}
	if configured.HeaderRead > 0 {
		limits.headerRead = configured.HeaderRead
	}
	if configured.KeepAlive > 0 {
		limits.keepAlive = configured.KeepAlive
	}
	limits.maxHeader += headerSlack
	limits.headerRead += limitSlack
	limits.keepAlive += limitSlack
	return limits
}

// narrowerThan tells whether other limits allow a client anything that these do not.
func (l connLimits) narrowerThan(other connLimits) bool {
	return l.maxHeader < other.maxHeader || l.headerRead < other.headerRead || l.keepAlive < other.keepAlive
}

// limitedHandler serves the connections that were accepted under some limits.
type limitedHandler struct {
	http.Handler
	limits     connLimits
	superseded atomic.Bool // later limits allow more
}

// ServeHTTP asks the clients of connections whose limits are too narrow by now to open others.
func (h *limitedHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.superseded.Load() {
		setConnectionClose(writer.Header())
	}
	h.Handler.ServeHTTP(writer, request)
}

// front accepts the connections of clients. The limits of an http.Server can't change while it runs, so new
// limits make a new one: it gets the connections accepted from then on. The older ones keep their limits, and end
// with their next answer if the new ones are wider.
type clientListener struct {
	listener    net.Listener
	handler     http.Handler
	baseContext context.Context // of all requests
	counters    *counters
	logger      *zap.Logger
	slots       chan struct{} // one for each connection that may be open

	mu       sync.Mutex
	limits   connLimits
	current  *connQueue
	handlers []*limitedHandler // one for the connections of each limits so far that are not outgrown
	closed   bool
	idle     map[net.Conn]struct{} // connections on which no request is being served
}

func newClientListener(base context.Context, listener net.Listener, handler http.Handler, maxConnections int, counters *counters, logger *zap.Logger) *clientListener {
	f := &clientListener{
		listener:    listener,
		handler:     handler,
		baseContext: base,
		counters:    counters,
		logger:      logger,
		slots:       make(chan struct{}, maxConnections),
		idle:        make(map[net.Conn]struct{}),
	}
	f.setLimits(connLimitsOf(route.RequestLimits{}))
	return f
}

// setLimits puts other limits in force for the connections accepted from now on.
func (f *clientListener) setLimits(limits connLimits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || (f.current != nil && f.limits == limits) {
		return
	}
	if f.current != nil {
		f.current.close()
	}
	f.limits = limits
	f.current = newConnQueue(f.listener.Addr())
	server := f.newServer(limits, f.handlerFor(limits))
	go func(accepted *connQueue) { _ = server.Serve(accepted) }(f.current)
}

// handlerFor makes the handler of the connections under new limits, and lets those under narrower ones end. The
// caller holds the lock.
func (f *clientListener) handlerFor(limits connLimits) *limitedHandler {
	f.handlers = slices.DeleteFunc(f.handlers, func(previous *limitedHandler) bool {
		narrower := previous.limits.narrowerThan(limits)
		if narrower {
			previous.superseded.Store(true)
		}
		return narrower
	})
	for _, previous := range f.handlers {
		if previous.limits == limits {
			return previous
		}
	}
	created := &limitedHandler{Handler: f.handler, limits: limits}
	f.handlers = append(f.handlers, created)
	return created
}

func (f *clientListener) newServer(limits connLimits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.headerRead,
		IdleTimeout:       limits.keepAlive,
		MaxHeaderBytes:    limits.maxHeader,
		ConnState:         f.track,
		BaseContext:       func(net.Listener) context.Context { return f.baseContext },
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
		Protocols:         protocols,
		// Every request is for a server.
		DisableGeneralOptionsHandler: true,
	}
}

// track keeps account of open and idle connections.
func (f *clientListener) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.counters.connections.Add(1)
		f.setIdle(conn)
	case http.StateIdle:
		f.setIdle(conn)
	case http.StateActive:
		f.mu.Lock()
		delete(f.idle, conn)
		f.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		f.counters.connections.Add(-1)
		f.mu.Lock()
		delete(f.idle, conn)
		f.mu.Unlock()
		<-f.slots
	}
}

func (f *clientListener) setIdle(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle[conn] = struct{}{}
}

// serve accepts connections until the listener is closed.
func (f *clientListener) serve() {
	for {
		f.slots <- struct{}{}
		conn, err := f.listener.Accept()
		if err != nil {
			<-f.slots
			if f.isClosed() {
				return
			}
			f.logger.Warn("accept a connection", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		f.dispatch(conn)
	}
}

// hand gives a connection to the server with the limits in force.
func (f *clientListener) dispatch(conn net.Conn) {
	for {
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		if current.offer(conn) {
			return
		}
	}
}

func (f *clientListener) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// close ends accepting. Open connections stay.
func (f *clientListener) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.listener.Close()
}

// closeIdle ends the connections on which no request is being served. The goroutine that waits for a request
// on such a connection takes bytes that come as soon as they come; it is woken up without them here, and
// closes the connection.
func (f *clientListener) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.idle {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// handoff is a listener that is given its connections.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newConnQueue(address net.Addr) *connQueue {
	return &connQueue{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

// give hands a connection over; it returns false when the listener is closed.
func (h *connQueue) offer(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

func (h *connQueue) close() { h.once.Do(func() { close(h.done) }) }

// Close implements net.Listener.
func (h *connQueue) Close() error {
	h.close()
	return nil
}

// Addr implements net.Listener.
func (h *connQueue) Addr() net.Addr { return h.address }
