package member

import (
	"slices"
)

// merge applies a record if it supersedes the known one. A further suspicion of a suspect is counted.
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
		if r.Present() { // the process is probed within this round, at a random position
			m.probeOrder = slices.Insert(m.probeOrder, m.rng.IntN(len(m.probeOrder)+1), r.Name)
		}
		m.applyFirstRecord(p, r)
		return
	}
	if r.State == Suspect && p.State == Suspect && r.Incarnation == p.Incarnation && r.Boot == p.Boot {
		m.confirmSuspicion(p, r)
		return
	}
	if r.supersedes(p.Record) || m.cfg.Mutate == AcceptStaleAlive && r.State == Alive && !p.Present() {
		if r.Addr == "" {
			r.Addr = p.Addr
		}
		m.apply(p, r)
	}
}

// applyFirstRecord applies the first record of a process, broadcasts it and reports the process if it is present.
func (m *Machine) applyFirstRecord(p *peer, r Record) {
	p.Record, p.stateSince = r, m.now
	m.digestValid = false
	m.updateSuspicion(p, r)
	p.reported = r.State
	m.broadcast(r)
	if r.Present() {
		m.out = append(m.out, Changed{Record: r, New: true})
	}
}

// apply replaces the record of a process, broadcasts it and reports the change, unless the change is a damped return.
func (m *Machine) apply(p *peer, r Record) {
	was, restarted := p.State, p.Boot != r.Boot
	p.Record = r
	m.digestValid = false
	if was != r.State {
		p.stateSince = m.now
	}
	m.updateSuspicion(p, r)
	m.broadcast(r)
	if p.reported > Suspect && p.Present() && m.dampReturn(p) {
		return // the return is reported when the damping has ended
	}
	if !p.Present() {
		p.dampedUntil = 0
	}
	if restarted && p.reported == p.State && p.Present() {
		m.out = append(m.out, Changed{Record: r, Was: p.reported, New: true})
	}
	if p.dampedUntil == 0 {
		m.report(p)
	}
}

// receiveSelf processes a record that another process sent about this process, or about another process of the same name, and
// refutes it with a higher incarnation.
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
	// Another process has, or had, this name. Only a live process can have received a record of this process and so have set
	// Supersedes. Of two live processes, the one started later yields; both processes reach the same result.
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
