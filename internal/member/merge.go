package member

import (
	"slices"
)

// learn takes a record in, if it tells something new.
func (m *Machine) merge(r Record) {
	if r.Name == m.self.Name {
		m.receiveSelf(r)
		return
	}
	p := m.peers[r.Name]
	if p == nil {
		if len(m.peers) >= MaxMembers || r.Addr == "" {
			return
		}
		p = &peer{Record: Record{Name: r.Name}, reported: Left, lastContact: -1}
		m.peers[r.Name] = p
		at, _ := slices.BinarySearch(m.names, r.Name)
		m.names = slices.Insert(m.names, at, r.Name)
		if r.Present() { // a new one is probed within this round, at a place that is drawn
			m.probeOrder = slices.Insert(m.probeOrder, m.rng.IntN(len(m.probeOrder)+1), r.Name)
		}
		m.accept(p, r, true)
		return
	}
	if r.State == Suspect && p.State == Suspect && r.Incarnation == p.Incarnation && r.Boot == p.Boot {
		m.confirmSuspicion(p, r)
		return
	}
	if r.supersedes(p.Record) || m.cfg.Mutate == Resurrection && r.State == Alive && !p.Present() {
		m.accept(p, r, false)
	}
}

// accept takes over a record that overrules the one before.
func (m *Machine) accept(p *peer, r Record, first bool) {
	if r.Addr == "" {
		r.Addr = p.Addr
	}
	if first {
		p.Record, p.stateSince = r, m.now
		m.digestValid = false
		m.updateSuspicion(p, r)
		p.reported = r.State
		m.broadcast(r)
		if r.Present() {
			m.out = append(m.out, Changed{Record: r, New: true})
		}
		return
	}
	m.apply(p, r)
}

// believe changes what is held of a process, and passes it on.
func (m *Machine) apply(p *peer, r Record) {
	was, anew := p.State, p.Boot != r.Boot
	p.Record = r
	m.digestValid = false
	if was != r.State {
		p.stateSince = m.now
	}
	m.updateSuspicion(p, r)
	m.broadcast(r)
	if p.reported > Suspect && p.Present() && m.dampReturn(p) {
		return // told once the hold is over
	}
	if !p.Present() {
		p.dampedUntil = 0
	}
	if anew && p.reported == p.State && p.Present() {
		m.out = append(m.out, Changed{Record: r, Was: p.reported, New: true})
	}
	if p.dampedUntil == 0 {
		m.report(p)
	}
}

// await has the timers look at a process.
func (m *Machine) watchTimers(p *peer) {
	if !slices.Contains(m.timed, p) {
		m.timed = append(m.timed, p)
	}
}

// receiveSelf answers what others say of this process, or of another one of its name.
func (m *Machine) receiveSelf(r Record) {
	if m.ended {
		return
	}
	if r.Boot == m.self.Boot {
		if r.Incarnation < m.self.Incarnation || r.State == Alive || m.cfg.Mutate == NoRefutation {
			return
		}
		m.self.Incarnation = r.Incarnation + 1
		m.healthScore = min(maxHealthScore, m.healthScore+1)
		m.digestValid = false
		m.broadcast(m.self)
		return
	}
	// Another process has, or had, this name. Only one that lives can have heard of this one; of two that live the
	// one started later gives way, which both see alike.
	if r.Supersedes == m.self.Boot && r.Boot < m.self.Boot {
		m.ended = true
		m.out = append(m.out, Yield{To: r})
		return
	}
	if r.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation, m.self.Supersedes = r.Incarnation+1, r.Boot
	m.digestValid = false
	m.broadcast(m.self)
}
