package registry

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// recordTolerance is the maximum age difference at which an older record of a higher incarnation, or of a draining
	// machine, still supersedes a later record: the ages in reports of other control machines do not include the
	// transmission time of the report. Beyond the tolerance the later record wins, since incarnations need not rise
	// after a machine's wall clock has jumped back, and since a proxy may restart while its agent keeps running.
	recordTolerance = 500 * time.Millisecond

	// peerReportInterval is the interval at which an unchanged record is reported to the other control machines.
	peerReportInterval = 800 * time.Millisecond
)

// Agents are the edge machines known to one control machine, from their own reports or from the reports of other
// control machines. It is not safe for concurrent use.
type Agents struct {
	known   map[string]*knownAgent // by host
	version uint64
	members *Members
}

// knownAgent is the newest record of one edge machine.
type knownAgent struct {
	record     *pb.AgentRecord // immutable; age_ms is 0
	receivedAt time.Duration
	direct     bool // received from the agent itself, not from another control machine
	// drainingSince is the time of the first report that the machine drains; valid only while the record is draining.
	drainingSince time.Duration

	reported   *pb.AgentRecord // record last reported to the other control machines; nil if there is none
	reportedAt time.Duration   // time of that report
}

// NewAgents returns a registry without agents. The versions of its members start above base, which must differ between
// incarnations of the process, so that a version of one incarnation is never mistaken for a version of another.
func NewAgents(base uint64) *Agents {
	return &Agents{
		known:   make(map[string]*knownAgent),
		version: base,
		members: &Members{version: base},
	}
}

// Observe processes a record that came from the agent itself. It reports whether the record has a change that is
// relevant to clients or other agents.
func (a *Agents) Observe(now time.Duration, record *pb.AgentRecord) bool {
	return a.accept(now, record, true)
}

// Merge processes records that another control machine received, with their ages. It reports whether they have a change
// that is relevant to clients or other agents.
func (a *Agents) Merge(now time.Duration, records []*pb.AgentRecord) bool {
	changed := false
	for _, record := range records {
		receivedAt := now - time.Duration(record.GetAgeMs())*time.Millisecond
		changed = a.accept(receivedAt, record, false) || changed
	}
	return changed
}

// accept stores a record if it supersedes the known record of its host, and reports whether its content has changed.
func (a *Agents) accept(receivedAt time.Duration, record *pb.AgentRecord, direct bool) bool {
	if record.GetHost() == "" {
		return false
	}
	agent := a.known[record.Host]
	if agent == nil {
		if len(a.known) >= MaxAgents {
			return false
		}
		agent = &knownAgent{}
		a.known[record.Host] = agent
	} else if !agent.supersededBy(receivedAt, record) {
		return false
	}
	changed := agent.record == nil || !sameContent(agent.record, record)
	if !agent.record.GetDraining() || agent.record.GetIncarnation() != record.GetIncarnation() {
		agent.drainingSince = receivedAt
	}
	agent.record = withoutAge(record)
	agent.receivedAt = receivedAt
	agent.direct = direct
	return changed
}

// supersededBy reports whether a record received at receivedAt replaces the known record. Of two records received
// within recordTolerance of each other, the one of the higher incarnation wins, then the draining one, since draining
// ends an incarnation; otherwise the later record wins.
func (k *knownAgent) supersededBy(receivedAt time.Duration, record *pb.AgentRecord) bool {
	difference := receivedAt - k.receivedAt
	if difference.Abs() <= recordTolerance {
		if record.Incarnation != k.record.Incarnation {
			return record.Incarnation > k.record.Incarnation
		}
		if record.Draining != k.record.Draining {
			return record.Draining
		}
	}
	return difference >= 0
}

// withoutAge returns the record itself, or a copy without its age.
func withoutAge(record *pb.AgentRecord) *pb.AgentRecord {
	if record.AgeMs == 0 {
		return record
	}
	return aged(record, 0)
}

// aged returns a copy of the record that carries an age.
func aged(record *pb.AgentRecord, age time.Duration) *pb.AgentRecord {
	copied := proto.CloneOf(record)
	copied.AgeMs = milliseconds(age)
	return copied
}

// sameContent reports whether two records of a host are equivalent for clients and other agents. The sequence and the
// age, which change all the time, are not relevant to them.
func sameContent(first, second *pb.AgentRecord) bool {
	return first.Incarnation == second.Incarnation &&
		first.Ready == second.Ready &&
		first.Draining == second.Draining &&
		first.Zone == second.Zone &&
		first.Region == second.Region &&
		first.AgentAddress == second.AgentAddress &&
		first.EdgeAddress == second.EdgeAddress
}

// Report returns the records to send to the other control machines, with their ages: the records of live agents that
// this machine received from the agents themselves, each after a change and otherwise once per peerReportInterval.
func (a *Agents) Report(now time.Duration) []*pb.AgentRecord {
	var report []*pb.AgentRecord
	for _, agent := range a.known {
		age := now - agent.receivedAt
		if !agent.direct || age >= FailureTimeout {
			continue
		}
		unchanged := agent.reported != nil && sameContent(agent.reported, agent.record)
		if unchanged && now-agent.reportedAt < peerReportInterval {
			continue
		}
		agent.reported = agent.record
		agent.reportedAt = now
		report = append(report, aged(agent.record, age))
	}
	return report
}

// Refresh removes the agents whose last report is LostRetention old and returns the members as of now. The version of
// the members rises if anything changed that is relevant to agents.
func (a *Agents) Refresh(now time.Duration) *Members {
	list := make([]Member, 0, len(a.known))
	for host, agent := range a.known {
		age := now - agent.receivedAt
		if age >= LostRetention {
			delete(a.known, host)
			continue
		}
		list = append(list, Member{
			record:        agent.record,
			receivedAt:    agent.receivedAt,
			drainingSince: agent.drainingSince,
			lost:          age >= FailureTimeout,
		})
	}
	slices.SortFunc(list, func(first, second Member) int {
		return strings.Compare(first.record.Host, second.record.Host)
	})
	if !sameMembers(a.members.list, list) {
		a.version++
	}
	a.members = &Members{version: a.version, list: list}
	return a.members
}

// sameMembers reports whether two sorted lists of members are equivalent for agents. Agents need to know the machines
// that may be sending requests and their locations, but not which of them are ready. A lost machine may still be
// sending.
func sameMembers(first, second []Member) bool {
	return slices.EqualFunc(first, second, func(one, other Member) bool {
		return one.record.Host == other.record.Host &&
			one.record.Zone == other.record.Zone &&
			one.record.Region == other.record.Region &&
			one.record.AgentAddress == other.record.AgentAddress
	})
}
