package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/route"
)

// acceptBackoff is the delay after a failed accept.
const acceptBackoff = 5 * time.Millisecond

// clientListener accepts the connections of clients. Since the limits of a running http.Server can't be changed, new
// limits start a new http.Server, which gets the connections accepted from then on. Connections of earlier servers
// keep their limits, and are closed after their next response if the new limits are wider. A clientListener is safe
// for concurrent use.
type clientListener struct {
	listener    net.Listener
	handler     http.Handler
	baseContext context.Context // parent of the contexts of all requests
	counters    *counters
	logger      *zap.Logger
	slots       chan struct{} // semaphore with one element for each open connection

	mu       sync.Mutex
	limits   connLimits
	current  *connQueue        // queue of the http.Server with the limits in force
	handlers []*limitedHandler // one for each set of limits that is not superseded
	closed   bool
	idle     map[net.Conn]struct{} // connections without a request in progress
}

func newClientListener(base context.Context, listener net.Listener, handler http.Handler, maxConnections int, counters *counters, logger *zap.Logger) *clientListener {
	l := &clientListener{
		listener:    listener,
		handler:     handler,
		baseContext: base,
		counters:    counters,
		logger:      logger,
		slots:       make(chan struct{}, maxConnections),
		idle:        make(map[net.Conn]struct{}),
	}
	l.setLimits(connLimitsOf(route.RequestLimits{}))
	return l
}

// setLimits puts limits in force for the connections accepted from now on. It starts an http.Server whose Serve returns
// when the next call of setLimits closes its queue, or else ends with the process; its connections continue.
func (l *clientListener) setLimits(limits connLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.current != nil && l.limits == limits) {
		return
	}
	if l.current != nil {
		l.current.close()
	}
	l.limits = limits
	l.current = newConnQueue(l.listener.Addr())
	server := l.newServer(limits, l.handlerFor(limits))
	go func(accepted *connQueue) { _ = server.Serve(accepted) }(l.current)
}

// handlerFor returns the handler for connections under the given limits, and marks the handlers with narrower limits as
// superseded. The caller holds the lock.
func (l *clientListener) handlerFor(limits connLimits) *limitedHandler {
	l.handlers = slices.DeleteFunc(l.handlers, func(previous *limitedHandler) bool {
		narrower := previous.limits.narrowerThan(limits)
		if narrower {
			previous.superseded.Store(true)
		}
		return narrower
	})
	for _, previous := range l.handlers {
		if previous.limits == limits {
			return previous
		}
	}
	created := &limitedHandler{Handler: l.handler, limits: limits}
	l.handlers = append(l.handlers, created)
	return created
}

func (l *clientListener) newServer(limits connLimits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.headerRead,
		IdleTimeout:       limits.keepAlive,
		MaxHeaderBytes:    limits.maxHeader,
		ConnState:         l.track,
		BaseContext:       func(net.Listener) context.Context { return l.baseContext },
		ErrorLog:          zap.NewStdLog(zap.NewNop()), // errors of single connections are not logged
		Protocols:         protocols,
		// OPTIONS * has no path, and is rejected like other requests without one.
		DisableGeneralOptionsHandler: true,
	}
}

// track counts the open connections and maintains the set of idle connections. http.Server calls it for each change of a
// connection's state.
func (l *clientListener) track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.counters.connections.Add(1)
		l.setIdle(conn)
	case http.StateIdle:
		l.setIdle(conn)
	case http.StateActive:
		l.mu.Lock()
		delete(l.idle, conn)
		l.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		l.counters.connections.Add(-1)
		l.mu.Lock()
		delete(l.idle, conn)
		l.mu.Unlock()
		<-l.slots
	}
}

func (l *clientListener) setIdle(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[conn] = struct{}{}
}

// serve accepts connections until the listener is closed. It stops accepting while the maximum number of connections
// is open.
func (l *clientListener) serve() {
	for {
		l.slots <- struct{}{}
		conn, err := l.listener.Accept()
		if err != nil {
			<-l.slots
			if l.isClosed() {
				return
			}
			l.logger.Warn("accepting a connection failed, retrying", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		l.dispatch(conn)
	}
}

// dispatch passes a connection to the http.Server with the limits in force. It tries again if the server is replaced
// meanwhile.
func (l *clientListener) dispatch(conn net.Conn) {
	for {
		l.mu.Lock()
		current := l.current
		l.mu.Unlock()
		if current.offer(conn) {
			return
		}
	}
}

func (l *clientListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close stops accepting connections. Open connections stay open.
func (l *clientListener) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
}

// closeIdle closes the idle connections by expiring their read deadline: the http.Server that waits in a read for the
// next request then fails and closes the connection, while a request that has just been received is still served.
func (l *clientListener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.idle {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}
