package member

import (
	"time"
)

// Known is a process other than this one, as it is told to those above: a return that is held still counts as failed.
type Known struct {
	Record
	StateSince  time.Duration // of the state
	LastContact time.Duration // of its last message; -1: none
}

// Self is the record of this process.
func (m *Machine) Self() Record { return m.self }

// HealthScore is the doubt of oneself, 0 to 8.
func (m *Machine) HealthScore() int { return m.healthScore }

// Others are all that is known, by name.
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

// PresentRecords are the records of those present, this process among them, by name.
func (m *Machine) PresentRecords() []Record {
	all := make([]Record, 0, m.Present())
	own := false
	for _, name := range m.names {
		if !own && name > m.self.Name {
			all, own = append(all, m.self), true
		}
		if p := m.peers[name]; p.reported <= Suspect {
			all = append(all, p.Record)
		}
	}
	if !own {
		all = append(all, m.self)
	}
	return all
}

// Peer is the record of one other process.
func (m *Machine) Peer(name string) (Record, bool) {
	p, ok := m.peers[name]
	if !ok {
		return Record{}, false
	}
	r := p.Record
	r.State = p.reported
	return r, true
}

// Present is how many are there, with this one.
func (m *Machine) Present() int {
	m.presentDigest()
	return m.presentCount
}
