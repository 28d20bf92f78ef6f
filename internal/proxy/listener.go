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
