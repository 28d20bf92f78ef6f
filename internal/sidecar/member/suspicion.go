package member

import (
	"math"
	"slices"
	"time"
)

// suspicion is the period in which a suspect can refute the suspicion. The more members suspect the process independently, the
// shorter the period is (Lifeguard's dynamic suspicion timeout).
type suspicion struct {
	begunAt, deadline time.Duration
	suspectedBy       []string // names of the members that suspect the process, in the order received
}

// updateSuspicion starts a suspicion if the state in the new record is Suspect, and ends it otherwise.
func (m *Machine) updateSuspicion(p *peer, r Record) {
	p.suspicion = nil
	if r.State != Suspect {
		return
	}
	p.suspicion = &suspicion{begunAt: m.now, suspectedBy: []string{r.SuspectedBy}}
	m.setDeadline(p.suspicion)
	m.watchTimers(p)
	// On average suspectProbers members probe the suspect next, whatever the number of members.
	if r.SuspectedBy != m.self.Name && m.rng.IntN(max(1, m.Present())) < suspectProbers {
		m.probeOrder = slices.Insert(m.probeOrder, 0, p.Name)
	}
}

// confirmSuspicion counts another member that suspects a suspect.
func (m *Machine) confirmSuspicion(p *peer, r Record) {
	s := p.suspicion
	if s == nil || len(s.suspectedBy) > indirectProbers || slices.Contains(s.suspectedBy, r.SuspectedBy) {
		return
	}
	s.suspectedBy = append(s.suspectedBy, r.SuspectedBy)
	m.setDeadline(s)
	m.broadcast(r)
}

// suspicionBounds returns the shortest and the longest period from suspicion to failure in a fleet of n members.
func suspicionBounds(n int, pace time.Duration) (shortest, longest time.Duration) {
	shortest = time.Duration(suspicionMult * max(1, math.Log10(float64(n))) * float64(pace))
	return shortest, suspicionMaxMult * shortest
}

// setDeadline computes the time until which the suspect can refute, from the number of members that suspect it.
func (m *Machine) setDeadline(s *suspicion) {
	n := m.Present()
	shortest, longest := suspicionBounds(n, m.scaledPace())
	k := min(indirectProbers, n-2) // number of further suspecting members that shorten the suspicion
	timeout := shortest
	if c := len(s.suspectedBy) - 1; c < k {
		timeout = longest - time.Duration(float64(longest-shortest)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	s.deadline = s.begunAt + timeout
}

// DetectionTime returns the longest time from a crash until a member declares the process failed, in a fleet of n members, if no
// other member confirms the suspicion and the member's health score is 0: a round of probes, a pace, and the longest suspicion.
func DetectionTime(n int, pace time.Duration) time.Duration {
	_, longest := suspicionBounds(n, pace)
	return time.Duration(n)*pace + pace + longest
}
