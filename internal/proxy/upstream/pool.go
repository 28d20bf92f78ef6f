// Package upstream holds the connections to servers: HTTP/1.1, one request at a time on each connection.
//
// A connection is reused only while it is certain that nothing but the answer to the next request can come
// on it: the last answer was read whole, nothing followed it, and the server has not closed.
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
	// minDialTimeout is the shortest wait for a connection to come up that makes sense.
	minDialTimeout = 50 * time.Millisecond
	// dialFraction is the part of the time left (one in dialFraction) that one connection may take to come up.
	dialFraction = 3
	// idleUserTimeout is how long the machine at the other end of an idle connection may give no sign of itself.
	idleUserTimeout = 500 * time.Millisecond
	// keepAliveIdle is the silence after which the system asks a machine for a sign of life. It gives the connection
	// up keepAliveInterval later, or when the contact that its user set has passed, whichever the system goes by.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 1
)

// Server is one life of a server at one address.
type Server struct {
	ID      string
	Address string // ip:port
}

// DialTimeouts tells how long a machine may fail to answer before a connection to it is given up. It is about
// the other machine's system: a server that is silent because it works is waited for until the deadline.
type DialTimeouts struct {
	Dial           time.Duration // for a new connection to come up
	Unacknowledged time.Duration // without any sign of the machine, while one is asked for
}

// host is what the pool knows of one server.
type serverConns struct {
	idle []*Conn // the one used last is last
	// idleTimeout is how long idle connections to this server have proved to stay open.
	idleTimeout time.Duration
}

// Stats counts what a pool has done since its start.
type Stats struct {
	Dialed      uint64 // connections that came up
	DialsFailed uint64 // connections that did not
	Reused      uint64 // requests on a connection that had served before
	Stale       uint64 // idle connections found closed by the server
	Surplus     uint64 // connections given up because bytes followed a whole answer
	IdleNow     int
	ServersNow  int
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	config  Config
	mu      sync.Mutex
	servers map[Server]*serverConns
	idle    int
	closed  bool
	stats   Stats
}

// Config is what a pool is told once. The zero value is the usual one.
type Config struct {
	DisableReuse bool // no connection is used again
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, servers: make(map[Server]*serverConns)}
}

// Connect returns a connection to the server whose reads and writes end at the deadline: an idle one, or
// else a new one. A failure is a *DialError.
func (p *Pool) Connect(ctx context.Context, server Server, timeouts DialTimeouts, deadline time.Time) (*Conn, error) {
	conn := p.takeIdle(server, deadline)
	if conn == nil {
		var err error
		start := time.Now()
		if conn, err = p.dial(ctx, server, timeouts, deadline); err != nil {
			p.recordDial(false)
			timedOut := ctx.Err() == nil && time.Since(start) >= timeouts.Dial
			return nil, &DialError{Server: server, TimedOut: timedOut, Err: err}
		}
		p.recordDial(true)
	}
	conn.setUserTimeout(timeouts.Unacknowledged)
	return conn, nil
}

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
			return conn
		}
		conn.close()
		p.recordStale(server, age)
	}
}

func (p *Pool) popIdle(server Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[server]
	if known == nil || len(known.idle) == 0 {
		return nil
	}
	last := len(known.idle) - 1
	conn := known.idle[last]
	known.idle[last] = nil
	known.idle = known.idle[:last]
	p.idle--
	p.stats.Reused++
	return conn
}

// recordStale learns from a connection that the server closed while it was idle: the server keeps idle
// connections for less than that age.
func (p *Pool) recordStale(server Server, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Stale++
	p.stats.Reused--
	if known := p.servers[server]; known != nil {
		known.idleTimeout = max(min(known.idleTimeout, age/2), minIdleTimeout)
	}
}

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

// dialTimeout is the longest that one connection may take to come up when so much time is left.
func dialTimeout(limit, left time.Duration) time.Duration {
	return max(min(limit, left/dialFraction), minDialTimeout)
}

func (p *Pool) recordDial(up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up {
		p.stats.Dialed++
	} else {
		p.stats.DialsFailed++
	}
}

// Release gives a connection back after an answer was read to its end. It is kept when it can be reused
// and closed otherwise: also when the answer came before the server had read the whole request, the rest of which
// is due before anything else.
func (p *Pool) Release(conn *Conn) {
	conn.stopSending()
	surplus := conn.HasBuffered()
	reusable := !conn.broken && !surplus && conn.idleTimeout >= minIdleTimeout && conn.acknowledged()
	conn.detachReader()
	if reusable {
		conn.setUserTimeout(idleUserTimeout)
		if p.keep(conn) {
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

func (p *Pool) keep(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.config.DisableReuse || p.idle >= maxIdle {
		return false
	}
	known := p.servers[conn.server]
	if known == nil {
		known = &serverConns{idleTimeout: maxIdleTimeout}
		p.servers[conn.server] = known
	}
	if len(known.idle) >= maxIdlePerServer {
		return false
	}
	conn.reused = true
	conn.pending = nil
	conn.idleTimeout = min(conn.idleTimeout, known.idleTimeout)
	conn.idleSince = time.Now()
	known.idle = append(known.idle, conn)
	p.idle++
	return true
}

// Discard closes a connection that must not be reused.
func (p *Pool) Discard(conn *Conn) {
	conn.Abort()
	conn.stopSending()
	conn.detachReader()
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.IdleNow = p.idle
	stats.ServersNow = len(p.servers)
	return stats
}
