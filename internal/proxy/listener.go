package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/route"
)

// clientListener accepts the connections of clients. The limits of a running http.Server can't be changed, so new
// limits start a new server, which gets the connections accepted from then on. Connections of earlier servers keep
// their limits, and are closed after their next response if the new limits are wider. It is safe for concurrent
// use.
type clientListener struct {
	listener    net.Listener
	handler     http.Handler
	baseContext context.Context // parent of the contexts of all requests
	counters    *counters
	logger      *zap.Logger
	slots       chan struct{} // semaphore: one element for each open connection

	mu       sync.Mutex
	limits   connLimits
	current  *connQueue        // of the server with the present limits
	handlers []*limitedHandler // one for each limits so far that are not superseded
	closed   bool
	idle     map[net.Conn]struct{} // connections that serve no request
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

// setLimits puts limits in force for the connections accepted from now on. It starts a server whose Serve ends when
// its queue is closed by the next limits, or with the process; its connections go on.
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

// handlerFor returns the handler for connections under the given limits, and marks those with narrower limits as
// superseded. The caller holds the lock.
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
		// OPTIONS * has no route, and is rejected like other requests without one.
		DisableGeneralOptionsHandler: true,
	}
}

// track counts open connections and keeps the set of idle ones; it is called by http.Server for each change of
// state.
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

// serve accepts connections until close. It blocks while the maximum number of connections is open.
func (f *clientListener) serve() {
	for {
		f.slots <- struct{}{}
		conn, err := f.listener.Accept()
		if err != nil {
			<-f.slots
			if f.isClosed() {
				return
			}
			f.logger.Warn("accepting a connection failed, retrying", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		f.dispatch(conn)
	}
}

// dispatch gives a connection to the server with the limits in force, which may be replaced meanwhile.
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

// close ends accepting. Open connections stay open.
func (f *clientListener) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.listener.Close()
}

// closeIdle closes the connections that serve no request. Their server waits in a read: it is woken by the expired
// deadline and closes the connection, while a request that has just been received is served.
func (f *clientListener) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.idle {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}
