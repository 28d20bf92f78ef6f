// Package upstream manages connections to servers: HTTP/1.1 over TCP, with one request at a time on each connection.
//
// It guarantees that a response is accepted only for the request that it belongs to. A connection is reused only if
// the next bytes on it can only be the response to the next request: the last response was read to its end, no bytes
// followed it, the last request was received completely, and the server has not closed the connection. The error
// types tell whether a request can have reached the server (DialError, SendError, ResponseError).
//
// The package is not a general HTTP client: it neither retries nor follows redirects, and supports neither TLS nor
// HTTP/2. Package proxy decides which server gets a request and whether it is retried. docs/region/rules.md lists the
// rules that this package follows.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 16
	// maxIdle bounds the idle connections to all servers together.
	maxIdle = 512
	// minDialTimeout is the shortest useful timeout of a dial.
	minDialTimeout = 50 * time.Millisecond
	// dialFraction limits one dial to 1/dialFraction of the remaining time.
	dialFraction = 3
	// idleUserTimeout is the TCP user timeout of idle connections; see Conn.setUserTimeout.
	idleUserTimeout = 500 * time.Millisecond
	// keepAliveIdle is the time without traffic after which the kernel sends a keep-alive probe. If the probe is not
	// acknowledged, the kernel drops the connection either keepAliveInterval later or once the user timeout has
	// passed, depending on the kernel.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 1
)

// Server is one incarnation of a server at one address.
type Server struct {
	ID      string
	Address string // ip:port
}

// DialTimeouts bounds how long a server's machine may fail to respond at the TCP level. A server that is busy with a
// request while its machine still acknowledges data is not affected; it may respond until the deadline.
type DialTimeouts struct {
	Dial           time.Duration // maximum time to open a new connection
	Unacknowledged time.Duration // maximum time until sent data and keep-alive probes are acknowledged; see RFC 5482
}

// serverConns is the state that the pool keeps for one server.
type serverConns struct {
	idle []*Conn // idle connections, ordered by last use, most recent last
	// idleTimeout bounds how long connections to this server are kept idle. It starts at maxIdleTimeout and is
	// lowered when the server closes idle connections earlier than that.
	idleTimeout time.Duration
}

// Stats counts the events in a pool since its start.
type Stats struct {
	Dialed      uint64 // connections opened
	DialsFailed uint64 // connections that could not be opened
	Reused      uint64 // requests sent on a connection that had served an earlier request
	Stale       uint64 // idle connections that the server had closed
	Surplus     uint64 // connections closed because bytes followed a complete response
	IdleNow     int    // current number of idle connections
	ServersNow  int    // current number of servers with state in the pool
}

// Pool keeps idle connections to servers. It is safe for concurrent use.
type Pool struct {
	config  Config
	mu      sync.Mutex // guards the fields below
	servers map[Server]*serverConns
	idle    int // number of idle connections to all servers
	closed  bool
	stats   Stats
}

// Config configures a pool. The zero value is the default configuration.
type Config struct {
	DisableReuse bool // close each connection after one request
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, servers: make(map[Server]*serverConns)}
}

// Connect returns an idle connection to the server, or opens a new one. Reads and writes on the connection fail at
// the deadline. The context bounds only the dial. An error is a *DialError.
func (p *Pool) Connect(ctx context.Context, server Server, timeouts DialTimeouts, deadline time.Time) (*Conn, error) {
	conn := p.takeIdle(server, deadline)
	if conn == nil {
		var err error
		if conn, err = p.dialCounted(ctx, server, timeouts, deadline); err != nil {
			return nil, err
		}
	}
	conn.setUserTimeout(timeouts.Unacknowledged)
	return conn, nil
}

// dialCounted opens a connection, counts the result, and wraps an error in a *DialError.
func (p *Pool) dialCounted(ctx context.Context, server Server, timeouts DialTimeouts, deadline time.Time) (*Conn, error) {
	start := time.Now()
	conn, err := p.dial(ctx, server, timeouts, deadline)
	p.recordDial(err == nil)
	if err != nil {
		timedOut := ctx.Err() == nil && time.Since(start) >= timeouts.Dial
		return nil, &DialError{Server: server, TimedOut: timedOut, Err: err}
	}
	return conn, nil
}

// takeIdle returns the most recently used idle connection that is still usable, or nil if there is none. It closes
// the unusable connections that it finds. The sockets are checked without holding the lock.
func (p *Pool) takeIdle(server Server, deadline time.Time) *Conn {
	for {
		conn := p.popIdle(server)
		if conn == nil {
			return nil
		}
		age := time.Since(conn.idleSince)
		if age >= conn.idleTimeout {
			conn.close()
			continue
		}
		conn.SetDeadline(deadline)
		if conn.checkIdle() == idleUsable {
			p.recordReuse()
			return conn
		}
		conn.close()
		p.recordStale(server, age)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if there is none.
func (p *Pool) popIdle(server Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.servers[server]
	if conns == nil || len(conns.idle) == 0 {
		return nil
	}
	last := len(conns.idle) - 1
	conn := conns.idle[last]
	conns.idle[last] = nil
	conns.idle = conns.idle[:last]
	p.idle--
	return conn
}

// recordReuse counts a request on a connection that had served an earlier request.
func (p *Pool) recordReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reused++
}

// recordStale counts an idle connection that the server had closed. It lowers the server's idle timeout, because the
// server closes idle connections before they reach this age.
func (p *Pool) recordStale(server Server, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Stale++
	if conns := p.servers[server]; conns != nil {
		conns.idleTimeout = max(min(conns.idleTimeout, age/2), minIdleTimeout)
	}
}

// dial opens a connection with keep-alive probes and the given deadline.
func (p *Pool) dial(ctx context.Context, server Server, timeouts DialTimeouts, deadline time.Time) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout(timeouts.Dial, time.Until(deadline)),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	socket, err := dialer.DialContext(ctx, "tcp4", server.Address)
	if err != nil {
		return nil, err
	}
	conn, err := newConn(server, socket.(*net.TCPConn))
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	conn.SetDeadline(deadline)
	return conn, nil
}

// dialTimeout limits one dial to the configured limit and to a fraction of the remaining time, so that another server
// can still be tried.
func dialTimeout(limit, left time.Duration) time.Duration {
	return max(min(limit, left/dialFraction), minDialTimeout)
}

func (p *Pool) recordDial(succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if succeeded {
		p.stats.Dialed++
	} else {
		p.stats.DialsFailed++
	}
}

// Release returns a connection whose response was read to its end. The connection becomes idle if it can be reused,
// and is closed otherwise. If the server responded before it had received the whole request, the connection is
// closed, because the rest of that request would precede the next one.
func (p *Pool) Release(conn *Conn) {
	conn.stopSending()
	surplus := conn.HasBuffered()
	reusable := !conn.broken && !surplus && conn.idleTimeout >= minIdleTimeout && conn.acknowledged()
	conn.detachReader()
	if reusable {
		conn.setUserTimeout(idleUserTimeout)
		if p.putIdle(conn) {
			return
		}
	}
	conn.close()
	if surplus {
		p.mu.Lock()
		p.stats.Surplus++
		p.mu.Unlock()
	}
}

// putIdle adds a connection to the idle connections of its server and returns true. It returns false if reuse is
// disabled, a limit is reached or the pool is closed.
func (p *Pool) putIdle(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.config.DisableReuse || p.idle >= maxIdle {
		return false
	}
	conns := p.servers[conn.server]
	if conns == nil {
		conns = &serverConns{idleTimeout: maxIdleTimeout}
		p.servers[conn.server] = conns
	}
	if len(conns.idle) >= maxIdlePerServer {
		return false
	}
	conn.reused = true
	conn.pending = nil
	conn.idleTimeout = min(conn.idleTimeout, conns.idleTimeout)
	conn.idleSince = time.Now()
	conns.idle = append(conns.idle, conn)
	p.idle++
	return true
}

// Discard resets a connection that must not be reused, and returns when the request's body is no longer in use.
func (p *Pool) Discard(conn *Conn) {
	conn.Abort()
	conn.stopSending()
	conn.detachReader()
}

// Stats returns the counts since the start of the pool and the current numbers of idle connections and servers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.IdleNow = p.idle
	stats.ServersNow = len(p.servers)
	return stats
}
