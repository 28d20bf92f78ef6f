package upstream

import "time"

// Sweep closes the idle connections that have passed their timeout or were closed by the server, and removes the
// servers for which keep returns false. A nil keep keeps all servers. Sweep returns the servers whose machines no
// longer acknowledge keep-alive probes. It calls keep while holding the pool's lock; keep must not call the pool.
func (p *Pool) Sweep(now time.Time, keep func(Server) bool) []Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unreachable []Server
	for server, conns := range p.servers {
		listed := keep == nil || keep(server)
		if p.sweepServer(conns, now, listed) {
			unreachable = append(unreachable, server)
		}
		if !listed {
			delete(p.servers, server)
		}
	}
	return unreachable
}

// sweepServer closes the unusable idle connections to one server, or all idle connections if the server is no longer
// listed. If one connection shows that the machine is unreachable, all idle connections to that machine are closed. The
// caller must hold the lock.
func (p *Pool) sweepServer(conns *serverConns, now time.Time, listed bool) (unreachable bool) {
	usable := conns.idle[:0]
	for _, conn := range conns.idle {
		if listed && now.Sub(conn.idleSince) < conn.idleTimeout {
			switch conn.checkIdle() {
			case idleUsable:
				usable = append(usable, conn)
				continue
			case idleUnreachable:
				unreachable = true
			}
		}
		conn.close()
		p.idle--
	}
	clear(conns.idle[len(usable):])
	conns.idle = usable
	if unreachable {
		p.closeIdle(conns)
	}
	return unreachable
}

// Forget closes the idle connections to a server whose machine appears to be unreachable. A request sent on one of
// them might never arrive, and would count as possibly executed.
func (p *Pool) Forget(server Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.servers[server]; conns != nil {
		p.closeIdle(conns)
	}
}

// closeIdle closes all idle connections to one server. The caller must hold the lock.
func (p *Pool) closeIdle(conns *serverConns) {
	for _, conn := range conns.idle {
		conn.close()
	}
	p.idle -= len(conns.idle)
	clear(conns.idle)
	conns.idle = conns.idle[:0]
}

// Close closes all idle connections. Connections in use are closed when they are released. A closed pool can still
// open connections.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(time.Now(), func(Server) bool { return false })
}
