package member

import (
	"slices"
	"time"
)

// dampReturn counts the return of a failed process and reports whether to damp the return: a process that repeatedly fails and
// returns is not reported as present until the damping has ended (similar to BGP route flap damping, RFC 2439).
func (m *Machine) dampReturn(p *peer) bool {
	if p.dampedUntil > 0 {
		return true
	}
	p.returns = slices.DeleteFunc(p.returns, func(at time.Duration) bool { return m.now-at > returnWindow })
	p.returns = append(p.returns, m.now)
	if len(p.returns) <= undampedReturns {
		p.damping = 0
		return false
	}
	p.returns = p.returns[len(p.returns)-undampedReturns-1:]
	p.damping = min(max(dampingMin*m.cfg.Pace, 2*p.damping), dampingMax*m.cfg.Pace)
	p.dampedUntil = m.now + p.damping
	m.watchTimers(p)
	return true
}

// report reports the state of a process to the caller, if it differs from the state reported last.
func (m *Machine) report(p *peer) {
	if was := p.reported; was != p.State {
		p.reported = p.State
		m.out = append(m.out, Changed{Record: p.Record, Was: was})
	}
}
