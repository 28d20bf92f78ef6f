package upstream

import "time"

// Sweep closes idle connections that have grown too old or were closed, and forgets servers that keep says are
// gone. It returns the servers whose machines no longer answer the system's probes.
func (p *Pool) Sweep(now time.Time, keep func(Server) bool) []Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unreachable []Server
	for server, known := range p.servers {
		listed := keep == nil || keep(server)
		if p.sweepServer(known, now, listed) {
			unreachable = append(unreachable, server)
		}
		if !listed {
			delete(p.servers, server)
		}
	}
	return unreachable
}

// sweepServer tells whether a server that stays was found silent: then none of its connections is kept.
func (p *Pool) sweepServer(known *serverConns, now time.Time, listed bool) (unreachable bool) {
	kept := known.idle[:0]
	for _, conn := range known.idle {
		if listed && now.Sub(conn.idleSince) < conn.idleTimeout {
			switch conn.checkIdle() {
			case idleUsable:
				kept = append(kept, conn)
				continue
			case idleUnreachable:
				unreachable = true
			}
		}
		conn.close()
		p.idle--
	}
	clear(known.idle[len(kept):])
	known.idle = kept
	if unreachable {
		p.dropIdle(known)
	}
	return unreachable
}

// Forget closes the idle connections to a server whose machine seems to be gone: a request that was sent on
// one of them might never arrive, and nobody could tell.
func (p *Pool) Forget(server Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.servers[server]; known != nil {
		p.dropIdle(known)
	}
}

func (p *Pool) dropIdle(known *serverConns) {
	for _, conn := range known.idle {
		conn.close()
	}
	p.idle -= len(known.idle)
	clear(known.idle)
	known.idle = known.idle[:0]
}

// Close closes all idle connections; those in use are closed when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(time.Now(), func(Server) bool { return false })
}
