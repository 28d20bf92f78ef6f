package registry

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Members is an immutable snapshot of the edge machines that have reported within LostRetention, live or lost.
type Members struct {
	version uint64
	list    []Member // sorted by host
}

// Member is one edge machine.
type Member struct {
	record     *pb.AgentRecord // age_ms is 0
	receivedAt time.Duration
	lost       bool

	drainingSince time.Duration // time of the first report that the machine drains; valid only while the record is draining
}

// Version returns the version of the set, which rises whenever the hosts change, or the zone, the region or the agent
// address of one of them.
func (m *Members) Version() uint64 { return m.version }

// Len returns the number of members, lost ones included.
func (m *Members) Len() int { return len(m.list) }

// Live returns the number of members that are not lost.
func (m *Members) Live() int {
	live := 0
	for _, member := range m.list {
		if !member.lost {
			live++
		}
	}
	return live
}

// MostlyServing reports whether at least two proxies, and at least half of the live ones, accept requests.
func (m *Members) MostlyServing(now time.Duration) bool {
	serving := len(m.serving(now))
	return serving >= sufficientEndpoints && serving*mostlyServingDivisor >= m.Live()
}

// Message returns the message that is sent to agents: the members with their ages at the time now.
func (m *Members) Message(now time.Duration) *pb.Members {
	records := make([]*pb.AgentRecord, 0, len(m.list))
	for _, member := range m.list {
		records = append(records, aged(member.record, now-member.receivedAt))
	}
	return &pb.Members{Version: m.version, Agents: records}
}

// serving returns the records of members that accept requests from clients at the time now, which may be later than the
// snapshot.
func (m *Members) serving(now time.Duration) []*pb.AgentRecord {
	result := make([]*pb.AgentRecord, 0, len(m.list))
	for _, member := range m.list {
		record := member.record
		if !record.Ready || record.Draining || record.EdgeAddress == "" {
			continue
		}
		if now-member.receivedAt >= FailureTimeout {
			continue
		}
		result = append(result, record)
	}
	return result
}
