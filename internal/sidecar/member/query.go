package member

import (
	"time"
)

// Known is a known process other than this one, in the state reported last: a process whose return is damped counts as failed.
type Known struct {
	Record
	StateSince  time.Duration // time of the last change of the state
	LastContact time.Duration // time of the last message received from the process; -1: none was received
}

// Self returns the record of this process.
func (m *Machine) Self() Record { return m.self }

// HealthScore returns Lifeguard's local health score, from 0 (healthy) to maxHealthScore. The higher the score, the less this
// process trusts its own observations.
func (m *Machine) HealthScore() int { return m.healthScore }

// Others returns all known processes except this one, sorted by name, including those that failed or left.
func (m *Machine) Others() []Known {
	all := make([]Known, 0, len(m.names))
	for _, name := range m.names {
		p := m.peers[name]
		k := Known{p.Record, p.stateSince, p.lastContact}
		k.State = p.reported
		all = append(all, k)
	}
	return all
}

// PresentRecords returns the records of the processes present, including this one, sorted by name.
func (m *Machine) PresentRecords() []Record {
	all := make([]Record, 0, m.Present())
	selfAdded := false
	for _, name := range m.names {
		if !selfAdded && name > m.self.Name {
			all, selfAdded = append(all, m.self), true
		}
		if p := m.peers[name]; p.reported <= Suspect {
			all = append(all, p.Record)
		}
	}
	if !selfAdded {
		all = append(all, m.self)
	}
	return all
}

// Peer returns the record of another process, in the state reported last, and whether the process is known.
func (m *Machine) Peer(name string) (Record, bool) {
	p, ok := m.peers[name]
	if !ok {
		return Record{}, false
	}
	r := p.Record
	r.State = p.reported
	return r, true
}

// Present returns the number of processes present, including this one.
func (m *Machine) Present() int {
	m.presentDigest()
	return m.presentCount
}
