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
	// minDial is the shortest wait for a connection to come up that makes sense.
	minDial = 50 * time.Millisecond
	// dialShare is the part of the time left (one in dialShare) that one connection may take to come up.
	dialShare = 3
	// contactIdle is how long the machine at the other end of an idle connection may give no sign of itself.
	contactIdle = 500 * time.Millisecond
	// probeAfter is the silence after which the system asks a machine for a sign of life. It gives the connection
	// up probeEvery later, or when the contact that its user set has passed, whichever the system goes by.
	probeAfter = time.Second
	probeEvery = time.Second
	probeCount = 1
)

// Server is one life of a server at one address.
type Server struct {
	ID      string
	Address string // ip:port
}

// DialTimeouts tells how long a machine may fail to answer before a connection to it is given up. It is about
// the other machine's system: a server that is silent because it works is waited for until the deadline.
type DialTimeouts struct {
	Dial    time.Duration // for a new connection to come up
	Contact time.Duration // without any sign of the machine, while one is asked for
}

// host is what the pool knows of one server.
type host struct {
	idle []*Conn // the one used last is last
	// idleTime is how long idle connections to this server have proved to stay open.
	idleTime time.Duration
}

// Stats counts what a pool has done since its start.
type Stats struct {
	Dialled  uint64 // connections that came up
	Refused  uint64 // connections that did not
	Reused   uint64 // requests on a connection that had served before
	Stale    uint64 // idle connections found closed by the server
	Surplus  uint64 // connections given up because bytes followed a whole answer
	IdleNow  int
	HostsNow int
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	hosts  map[Server]*host
	idle   int
	closed bool
	stats  Stats
}

// Config is what a pool is told once. The zero value is the usual one.
type Config struct {
	KeepNone bool // no connection is used again
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, hosts: make(map[Server]*host)}
}

// Connect returns a connection to the server whose reads and writes end at the deadline: an idle one, or
// else a new one. A failure is a *DialError.
func (p *Pool) Connect(ctx context.Context, server Server, patience DialTimeouts, deadline time.Time) (*Conn, error) {
	conn := p.takeIdle(server, deadline)
	if conn == nil {
		var err error
		began := time.Now()
		if conn, err = p.dial(ctx, server, patience, deadline); err != nil {
			p.countDial(false)
			silent := ctx.Err() == nil && time.Since(began) >= patience.Dial
			return nil, &DialError{Server: server, TimedOut: silent, Err: err}
		}
		p.countDial(true)
	}
	conn.setContact(patience.Contact)
	return conn, nil
}

func (p *Pool) takeIdle(server Server, deadline time.Time) *Conn {
	for {
		conn := p.popIdle(server)
		if conn == nil {
			return nil
		}
		age := time.Since(conn.idleFrom)
		if age >= conn.idleTime {
			conn.close()
			continue
		}
		conn.SetDeadline(deadline)
		if conn.look() == conditionQuiet {
			return conn
		}
		conn.close()
		p.noteStale(server, age)
	}
}

func (p *Pool) popIdle(server Server) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.hosts[server]
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

// noteStale learns from a connection that the server closed while it was idle: the server keeps idle
// connections for less than that age.
func (p *Pool) noteStale(server Server, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Stale++
	p.stats.Reused--
	if known := p.hosts[server]; known != nil {
		known.idleTime = max(min(known.idleTime, age/2), minIdleTime)
	}
}

func (p *Pool) dial(ctx context.Context, server Server, patience DialTimeouts, deadline time.Time) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout(patience.Dial, time.Until(deadline)),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
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
func dialTimeout(patience, left time.Duration) time.Duration {
	return max(min(patience, left/dialShare), minDial)
}

func (p *Pool) countDial(up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up {
		p.stats.Dialled++
	} else {
		p.stats.Refused++
	}
}

// Release gives a connection back after an answer was read to its end. It is kept when it can be reused
// and closed otherwise: also when the answer came before the server had read the whole request, the rest of which
// is due before anything else.
func (p *Pool) Release(conn *Conn) {
	conn.stopSending()
	surplus := conn.MoreBuffered()
	reusable := !conn.broken && !surplus && conn.idleTime >= minIdleTime && conn.delivered()
	conn.detachReader()
	if reusable {
		conn.setContact(contactIdle)
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
	if p.closed || p.config.KeepNone || p.idle >= maxIdle {
		return false
	}
	known := p.hosts[conn.server]
	if known == nil {
		known = &host{idleTime: maxIdleTime}
		p.hosts[conn.server] = known
	}
	if len(known.idle) >= maxIdlePerServer {
		return false
	}
	conn.reused = true
	conn.rest = nil
	conn.idleTime = min(conn.idleTime, known.idleTime)
	conn.idleFrom = time.Now()
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
	stats.HostsNow = len(p.hosts)
	return stats
}
