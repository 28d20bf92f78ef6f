package member

import (
	"math"
	"slices"
	"time"
)

// suspicion is the time that a suspect has to refute. The more members accuse it independently, the shorter that is
// (Lifeguard's dynamic suspicion timeout).
type suspicion struct {
	begunAt, deadline time.Duration
	suspectedBy       []string // names, the first accuser first
}

// updateSuspicion begins or ends the suspicion that goes with a record.
func (m *Machine) updateSuspicion(p *peer, r Record) {
	p.suspicion = nil
	if r.State != Suspect {
		return
	}
	p.suspicion = &suspicion{begunAt: m.now, suspectedBy: []string{r.SuspectedBy}}
	m.setDeadline(p.suspicion)
	m.watchTimers(p)
	// A few members probe the suspect themselves at once, however many members there are.
	if r.SuspectedBy != m.self.Name && m.rng.IntN(max(1, m.Present())) < suspectProbers {
		m.probeOrder = slices.Insert(m.probeOrder, 0, p.Name)
	}
}

// confirmSuspicion counts another accuser of a suspect.
func (m *Machine) confirmSuspicion(p *peer, r Record) {
	s := p.suspicion
	if s == nil || len(s.suspectedBy) > indirectProbers || slices.Contains(s.suspectedBy, r.SuspectedBy) {
		return
	}
	s.suspectedBy = append(s.suspectedBy, r.SuspectedBy)
	m.setDeadline(s)
	m.broadcast(r)
}

// suspicionBounds returns the shortest and the longest time from suspicion to failure among n members.
func suspicionBounds(n int, pace time.Duration) (shortest, longest time.Duration) {
	shortest = time.Duration(suspicionMult * max(1, math.Log10(float64(n))) * float64(pace))
	return shortest, suspicionMaxMult * shortest
}

// setDeadline computes until when the suspect can refute, from the number of its accusers.
func (m *Machine) setDeadline(s *suspicion) {
	n := m.Present()
	shortest, longest := suspicionBounds(n, m.scaledPace())
	k := min(indirectProbers, n-2) // further accusers that count
	timeout := shortest
	if c := len(s.suspectedBy) - 1; c < k {
		timeout = longest - time.Duration(float64(longest-shortest)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	s.deadline = s.begunAt + timeout
}

// DetectionTime is the longest time from a crash until a member believes it, among n members, if nobody confirms the
// member's suspicion and its health score is 0: a round of probes, a pace, the longest suspicion.
func DetectionTime(n int, pace time.Duration) time.Duration {
	_, longest := suspicionBounds(n, pace)
	return time.Duration(n)*pace + pace + longest
}
