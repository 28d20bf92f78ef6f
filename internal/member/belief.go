package member

import (
	"math"
	"slices"
	"time"
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

// show tells those above.
func (m *Machine) report(p *peer) {
	if was := p.reported; was != p.State {
		p.reported = p.State
		m.out = append(m.out, Changed{Record: p.Record, Was: was})
	}
}

// flapping counts a return and tells whether it is held.
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

// suspect begins or ends the suspicion that goes with a record.
func (m *Machine) updateSuspicion(p *peer, r Record) {
	p.suspicion = nil
	if r.State != Suspect {
		return
	}
	p.suspicion = &suspicion{begunAt: m.now, accusers: []string{r.SuspectedBy}}
	m.setDeadline(p.suspicion)
	m.watchTimers(p)
	// Some look for themselves, however many there are.
	if r.SuspectedBy != m.self.Name && m.rng.IntN(max(1, m.Present())) < suspectProbers {
		m.probeOrder = slices.Insert(m.probeOrder, 0, p.Name)
	}
}

// await has the timers look at a process.
func (m *Machine) watchTimers(p *peer) {
	if !slices.Contains(m.timed, p) {
		m.timed = append(m.timed, p)
	}
}

// confirm counts another accuser of a suspect.
func (m *Machine) confirmSuspicion(p *peer, r Record) {
	s := p.suspicion
	if s == nil || len(s.accusers) > indirectProbers || slices.Contains(s.accusers, r.SuspectedBy) {
		return
	}
	s.accusers = append(s.accusers, r.SuspectedBy)
	m.setDeadline(s)
	m.broadcast(r)
}

// suspicionBounds are the shortest and the longest time from suspicion to failure among n members.
func suspicionBounds(n int, pace time.Duration) (least, most time.Duration) {
	least = time.Duration(suspicionMult * max(1, math.Log10(float64(n))) * float64(pace))
	return least, suspicionMaxMult * least
}

// setDeadline says how long a suspect has to refute: the more accuse it, the shorter.
func (m *Machine) setDeadline(s *suspicion) {
	n := m.Present()
	least, most := suspicionBounds(n, m.scaledPace())
	k := min(indirectProbers, n-2) // how many others could accuse it
	wait := least
	if c := len(s.accusers) - 1; c < k {
		wait = most - time.Duration(float64(most-least)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	s.deadline = s.begunAt + wait
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
