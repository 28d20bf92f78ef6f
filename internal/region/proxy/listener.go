package proxy

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fieldrelay/internal/region/route"
)

// acceptBackoff is the delay after a failed accept.
const acceptBackoff = 5 * time.Millisecond

// clientListener accepts the connections of clients and applies the limits in force to all open connections, whichever
// limits they were accepted under. It implements net.Listener for its http.Server. A clientListener is safe for
// concurrent use.
type clientListener struct {
	listener net.Listener
	server   *http.Server
	counters *counters
	logger   *zap.Logger
	slots    chan struct{} // semaphore with one element for each open connection

	limits atomic.Pointer[connLimits] // limits in force

	mu     sync.Mutex // acquired before the locks of the connections
	closed bool
	conns  map[*clientConn]struct{} // open connections
}

func newClientListener(base context.Context, listener net.Listener, handler http.Handler, maxConnections int, counters *counters, logger *zap.Logger) *clientListener {
	l := &clientListener{
		listener: listener,
		counters: counters,
		logger:   logger,
		slots:    make(chan struct{}, maxConnections),
		conns:    make(map[*clientConn]struct{}),
	}
	l.setLimits(connLimitsOf(route.RequestLimits{}))
	l.server = newClientServer(base, handler, l.track)
	return l
}

// newClientServer returns the http.Server for the connections of clients. It has no limits of its own: clientConn
// enforces the limits in force.
func newClientServer(base context.Context, handler http.Handler, track func(net.Conn, http.ConnState)) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:        requestStarter{handler},
		MaxHeaderBytes: math.MaxInt32,
		ConnState:      track,
		ConnContext:    withConn,
		BaseContext:    func(net.Listener) context.Context { return base }, // parent of the contexts of all requests
		ErrorLog:       zap.NewStdLog(zap.NewNop()),                        // errors of single connections are not logged
		Protocols:      protocols,
		// OPTIONS * has no path, and is rejected like other requests without one.
		DisableGeneralOptionsHandler: true,
	}
}

// setLimits puts limits in force, for open connections, too.
func (l *clientListener) setLimits(limits connLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Store(&limits)
	for conn := range l.conns {
		conn.limitsChanged(limits)
	}
}

func (l *clientListener) currentLimits() connLimits { return *l.limits.Load() }

// track counts the open connections and tells each connection whether a request is in progress. http.Server calls it for
// each change of a connection's state.
func (l *clientListener) track(conn net.Conn, state http.ConnState) {
	tracked := conn.(*clientConn)
	switch state {
	case http.StateNew:
		l.counters.connections.Add(1)
	case http.StateIdle:
		tracked.startIdle()
	case http.StateActive:
		tracked.startRequest()
	case http.StateClosed, http.StateHijacked:
		l.counters.connections.Add(-1)
		l.mu.Lock()
		delete(l.conns, tracked)
		l.mu.Unlock()
		<-l.slots
	}
}

// serve serves connections until the listener is closed.
func (l *clientListener) serve() { _ = l.server.Serve(l) }

// Accept implements net.Listener. It waits while the maximum number of connections is open.
func (l *clientListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	for {
		conn, err := l.listener.Accept()
		if err == nil {
			return l.open(conn), nil
		}
		if l.isClosed() {
			<-l.slots
			return nil, net.ErrClosed
		}
		l.logger.Warn("accepting a connection failed, retrying", zap.Error(err))
		time.Sleep(acceptBackoff)
	}
}

// open adds an accepted connection to the open ones.
func (l *clientListener) open(conn net.Conn) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened := newClientConn(conn, l)
	l.conns[opened] = struct{}{}
	return opened
}

// Addr implements net.Listener.
func (l *clientListener) Addr() net.Addr { return l.listener.Addr() }

// Close implements net.Listener. Open connections stay open.
func (l *clientListener) Close() error {
	l.close()
	return nil
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

// closeIdle closes the idle connections.
func (l *clientListener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.closeIfIdle()
	}
}
