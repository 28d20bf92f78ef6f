package control

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/quorum"
)

// Times of machines that come and go.
const (
	// minRejoinBackoff is how long a machine that was dropped from the chain stays outside; it doubles with each
	// time up to maxRejoinBackoff, and starts anew after a calm time of rejoinBackoffReset.
	minRejoinBackoff   = time.Second
	maxRejoinBackoff   = 16 * time.Second
	rejoinBackoffReset = time.Minute
)

// dropRecord tells how often and when a machine was dropped from the chain.
type dropRecord struct {
	count int
	at    time.Duration
}

// mayReturn reports whether a machine that was dropped from the chain has been outside for long enough.
func (m *Machine) mayReturn(identity string) bool {
	record, known := m.election.dropped[identity]
	if !known {
		return true
	}
	pause := min(minRejoinBackoff<<min(record.count-1, 10), maxRejoinBackoff)
	return m.now-record.at >= pause
}

// noteDropped remembers which machines a new view has left out of the chain, but for those that were told to end.
func (m *Machine) noteDropped(before, after *pb.View) {
	for identity, record := range m.election.dropped {
		if m.now-record.at > rejoinBackoffReset {
			delete(m.election.dropped, identity)
		}
	}
	for _, member := range before.GetChain() {
		identity := member.GetIdentity()
		if quorum.IndexOf(after.GetChain(), identity) != quorum.NotFound || m.isLeaving(identity) {
			continue
		}
		m.election.dropped[identity] = dropRecord{count: m.election.dropped[identity].count + 1, at: m.now}
	}
}
