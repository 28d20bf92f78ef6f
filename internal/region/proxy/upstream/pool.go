// Package upstream keeps connections to servers: HTTP/1.1 over TCP, one request at a time on each connection.
//
// It promises that a response is taken only for the request it belongs to. A connection is reused only if nothing but
// the response to the next request can come on it: the last response was read to its end, nothing followed it, the last
// request was received completely, and the server has not closed. Errors say whether a request can have reached the
// server (DialError, SendError, ResponseError).
//
// It is not a general HTTP client: it neither retries nor follows redirects, and it doesn't know TLS or HTTP/2. Which
// server gets a request and whether it is retried is decided in package proxy. docs/region/rules.md lists the
// rules that it keeps.
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
	// minDialTimeout is the shortest timeout of a dial that makes sense.
	minDialTimeout = 50 * time.Millisecond
	// dialFraction is the fraction of the remaining time (one in dialFraction) that one dial may take.
	dialFraction = 3
	// idleUserTimeout is the user timeout of idle connections, see Conn.setUserTimeout.
	idleUserTimeout = 500 * time.Millisecond
	// keepAliveIdle is the time without traffic after which the kernel sends a keep-alive probe. It gives the
	// connection up keepAliveInterval later, or when the user timeout has passed, depending on the kernel.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 1
)

// Server is one incarnation of a server at one address.
type Server struct {
	ID      string
	Address string // ip:port
}

// DialTimeouts bounds how long a server's machine may not answer at the level of TCP. A server that is busy with a
// request while its machine acknowledges is not affected: it has until the deadline.
type DialTimeouts struct {
	Dial           time.Duration // for a new connection to come up
	Unacknowledged time.Duration // for sent data and keep-alive probes to be acknowledged; see RFC 5482
}

// serverConns is what the pool knows about one server.
type serverConns struct {
	idle []*Conn // in the order of their last use
	// idleTimeout bounds how long connections to this server are kept idle. It starts at maxIdleTimeout and falls when
	// the server closes earlier than that.
	idleTimeout time.Duration
}

// Stats counts what a pool has done since its start.
type Stats struct {
	Dialed      uint64 // connections that came up
	DialsFailed uint64 // connections that did not
	Reused      uint64 // requests on a connection that had served before
	Stale       uint64 // idle connections that the server had closed
	Surplus     uint64 // connections closed since bytes followed a complete response
	IdleNow     int    // idle connections at present
	ServersNow  int    // servers known at present
}

// Pool keeps idle connections to servers. It is safe for concurrent use.
type Pool struct {
	config  Config
	mu      sync.Mutex // guards what follows
	servers map[Server]*serverConns
	idle    int // idle connections to all servers
	closed  bool
	stats   Stats
}

// Config sets a pool up. The zero value is the default.
type Config struct {
	DisableReuse bool // close each connection after one request
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, servers: make(map[Server]*serverConns)}
}

// Connect returns a connection to the server, an idle one or else a new one. Its reads and writes fail at the deadline.
// The context bounds the dial only. A failure is a *DialError.
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

// dialCounted opens a connection, counts the result, and classifies a failure.
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

// takeIdle returns the idle connection that was used last and is still usable; nil if there is none. It closes those
// that are not usable. The sockets are checked without the lock.
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

// popIdle removes the idle connection that was used last; nil if there is none.
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

// recordReuse counts a request on a connection that had served before.
func (p *Pool) recordReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reused++
}

// recordStale counts an idle connection that the server had closed, and lowers the idle timeout of the server, which
// closes idle connections earlier than at that age.
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

// dialTimeout bounds one dial by its own limit and by a fraction of the remaining time, so that a further server can
// be tried.
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

// Release returns a connection whose response was read to its end. It becomes idle if it can be reused, and is closed
// otherwise. A connection whose server responded before it had received the whole request is closed: the rest of that
// request would come before the next one.
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

// putIdle makes a connection idle and returns true, unless a bound is reached or the pool is closed.
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

// Discard resets a connection that must not be reused, and returns when the body of its request is no longer in use.
func (p *Pool) Discard(conn *Conn) {
	conn.Abort()
	conn.stopSending()
	conn.detachReader()
}

// Stats returns the counts since the start and the present numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.IdleNow = p.idle
	stats.ServersNow = len(p.servers)
	return stats
}
