package member

import (
	"math"
	"slices"
	"time"
)

type suspicion struct {
	begunAt, deadline time.Duration
	accusers          []string
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

// DetectionTime is the longest time from a crash to the word "failed" at a member that gets no confirmation of its
// suspicion, among n members and with a score of doubt of 0: a round of probes, a pace, the longest suspicion.
func DetectionTime(n int, pace time.Duration) time.Duration {
	_, most := suspicionBounds(n, pace)
	return time.Duration(n)*pace + pace + most
}
