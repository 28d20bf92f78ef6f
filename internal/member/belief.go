package member

import (
	"math"
	"slices"
	"time"
)

// learn takes a record in, if it tells something new.
func (m *Machine) learn(r Record) {
	if r.Name == m.self.Name {
		m.aboutMe(r)
		return
	}
	p := m.peers[r.Name]
	if p == nil {
		if len(m.peers) >= MostMembers || r.Addr == "" {
			return
		}
		p = &peer{Record: Record{Name: r.Name}, shown: Left, heard: -1}
		m.peers[r.Name] = p
		at, _ := slices.BinarySearch(m.names, r.Name)
		m.names = slices.Insert(m.names, at, r.Name)
		if r.Present() { // a new one is probed within this round, at a place that is drawn
			m.order = slices.Insert(m.order, m.rng.IntN(len(m.order)+1), r.Name)
		}
		m.accept(p, r, true)
		return
	}
	if r.State == Suspect && p.State == Suspect && r.Inc == p.Inc && r.Boot == p.Boot {
		m.confirm(p, r)
		return
	}
	if r.newer(p.Record) || m.cfg.Mutate == Resurrection && r.State == Alive && !p.Present() {
		m.accept(p, r, false)
	}
}

// accept takes over a record that overrules the one before.
func (m *Machine) accept(p *peer, r Record, first bool) {
	if r.Addr == "" {
		r.Addr = p.Addr
	}
	if first {
		p.Record, p.since = r, m.now
		m.summed = false
		m.suspect(p, r)
		p.shown = r.State
		m.tell(r)
		if r.Present() {
			m.out = append(m.out, Changed{Record: r, New: true})
		}
		return
	}
	m.believe(p, r)
}

// believe changes what is held of a process, and passes it on.
func (m *Machine) believe(p *peer, r Record) {
	was, anew := p.State, p.Boot != r.Boot
	p.Record = r
	m.summed = false
	if was != r.State {
		p.since = m.now
	}
	m.suspect(p, r)
	m.tell(r)
	if p.shown > Suspect && p.Present() && m.flapping(p) {
		return // told once the hold is over
	}
	if !p.Present() {
		p.hold = 0
	}
	if anew && p.shown == p.State && p.Present() {
		m.out = append(m.out, Changed{Record: r, Was: p.shown, New: true})
	}
	if p.hold == 0 {
		m.show(p)
	}
}

// show tells those above.
func (m *Machine) show(p *peer) {
	if was := p.shown; was != p.State {
		p.shown = p.State
		m.out = append(m.out, Changed{Record: p.Record, Was: was})
	}
}

// flapping counts a return and tells whether it is held.
func (m *Machine) flapping(p *peer) bool {
	if p.hold > 0 {
		return true
	}
	p.flaps = slices.DeleteFunc(p.flaps, func(at time.Duration) bool { return m.now-at > flapsIn })
	p.flaps = append(p.flaps, m.now)
	if len(p.flaps) <= flapsFree {
		p.holdFor = 0
		return false
	}
	p.flaps = p.flaps[len(p.flaps)-flapsFree-1:]
	p.holdFor = min(max(holdFirst*m.cfg.Pace, 2*p.holdFor), holdMost*m.cfg.Pace)
	p.hold = m.now + p.holdFor
	m.await(p)
	return true
}

// suspect begins or ends the suspicion that goes with a record.
func (m *Machine) suspect(p *peer, r Record) {
	p.suspicion = nil
	if r.State != Suspect {
		return
	}
	p.suspicion = &suspicion{since: m.now, by: []string{r.By}}
	m.setUntil(p.suspicion)
	m.await(p)
	// Some look for themselves, however many there are.
	if r.By != m.self.Name && m.rng.IntN(max(1, m.Present())) < lookers {
		m.order = slices.Insert(m.order, 0, p.Name)
	}
}

// await has the timers look at a process.
func (m *Machine) await(p *peer) {
	if !slices.Contains(m.waiting, p) {
		m.waiting = append(m.waiting, p)
	}
}

// confirm counts another accuser of a suspect.
func (m *Machine) confirm(p *peer, r Record) {
	s := p.suspicion
	if s == nil || len(s.by) > helpers || slices.Contains(s.by, r.By) {
		return
	}
	s.by = append(s.by, r.By)
	m.setUntil(s)
	m.tell(r)
}

// suspicionBounds are the shortest and the longest time from suspicion to failure among n members.
func suspicionBounds(n int, pace time.Duration) (least, most time.Duration) {
	least = time.Duration(leastFactor * max(1, math.Log10(float64(n))) * float64(pace))
	return least, mostFactor * least
}

// setUntil says how long a suspect has to refute: the more accuse it, the shorter.
func (m *Machine) setUntil(s *suspicion) {
	n := m.Present()
	least, most := suspicionBounds(n, m.stretched())
	k := min(helpers, n-2) // how many others could accuse it
	wait := least
	if c := len(s.by) - 1; c < k {
		wait = most - time.Duration(float64(most-least)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	s.until = s.since + wait
}

// aboutMe answers what others say of this process, or of another one of its name.
func (m *Machine) aboutMe(r Record) {
	if m.ended {
		return
	}
	if r.Boot == m.self.Boot {
		if r.Inc < m.self.Inc || r.State == Alive || m.cfg.Mutate == NoRefutation {
			return
		}
		m.self.Inc = r.Inc + 1
		m.score = min(mostScore, m.score+1)
		m.summed = false
		m.tell(m.self)
		return
	}
	// Another process has, or had, this name. Only one that lives can have heard of this one; of two that live the
	// one started later gives way, which both see alike.
	if r.Over == m.self.Boot && r.Boot < m.self.Boot {
		m.ended = true
		m.out = append(m.out, Yield{To: r})
		return
	}
	if r.Inc < m.self.Inc {
		return
	}
	m.self.Inc, m.self.Over = r.Inc+1, r.Boot
	m.summed = false
	m.tell(m.self)
}
