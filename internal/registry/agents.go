package registry

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// recordTolerance is how much less fresh the record of a higher incarnation, or of a machine that drains, may
	// be and still win: the ages that other control machines tell leave out the time that the message was under
	// way. Beyond it the fresher record wins, since incarnations need not rise after a machine's time of day has
	// jumped back, and a proxy may start anew beside its agent.
	recordTolerance = 500 * time.Millisecond

	// peerReportInterval is the time after which an unchanged agent is reported again to the other control machines.
	peerReportInterval = 800 * time.Millisecond
)

// Agents is what one control machine knows of the edge machines, heard from themselves or from other control
// machines.
type Agents struct {
	known   map[string]*knownAgent // by host
	version uint64
	members *Members
}

// knownAgent is the freshest that is known of one edge machine.
type knownAgent struct {
	record     *pb.AgentRecord // immutable; age_ms is 0
	receivedAt time.Duration
	direct     bool // heard from the agent itself, not told by another control machine
	// drainingSince is when the machine was first heard to drain; it counts while the record says so.
	drainingSince time.Duration

	reported   *pb.AgentRecord // as last reported to the other control machines
	reportedAt time.Duration
}

// NewAgents returns a registry without agents. The versions of its members begin above base, which must differ
// from start to start of the process, so that nobody takes a version of this life for one of an earlier life.
func NewAgents(base uint64) *Agents {
	return &Agents{
		known:   make(map[string]*knownAgent),
		version: base,
		members: &Members{version: base},
	}
}

// Observe takes a record that came from the agent itself and reports whether clients or other agents would be
// told something new.
func (a *Agents) Observe(now time.Duration, record *pb.AgentRecord) bool {
	return a.accept(now, record, true)
}

// Merge takes the records that another control machine heard, with their ages, and reports whether clients or
// other agents would be told something new.
func (a *Agents) Merge(now time.Duration, records []*pb.AgentRecord) bool {
	changed := false
	for _, record := range records {
		heardAt := now - time.Duration(record.GetAgeMs())*time.Millisecond
		changed = a.accept(heardAt, record, false) || changed
	}
	return changed
}

// learn keeps a record if it says more than what is known of the host.
func (a *Agents) accept(heardAt time.Duration, record *pb.AgentRecord, direct bool) bool {
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
	} else if !agent.supersededBy(heardAt, record) {
		return false
	}
	changed := agent.record == nil || !sameContent(agent.record, record)
	if !agent.record.GetDraining() || agent.record.GetIncarnation() != record.GetIncarnation() {
		agent.drainingSince = heardAt
	}
	agent.record = withoutAge(record)
	agent.receivedAt = heardAt
	agent.direct = direct
	return changed
}

// supersededBy reports whether a record heard at a time says more than the one that is known: of two heard at about the
// same time the higher incarnation, then the one that drains, which comes last in a life; else the fresher one.
func (agent *knownAgent) supersededBy(heardAt time.Duration, record *pb.AgentRecord) bool {
	difference := heardAt - agent.receivedAt
	if difference.Abs() <= recordTolerance {
		if record.Incarnation != agent.record.Incarnation {
			return record.Incarnation > agent.record.Incarnation
		}
		if record.Draining != agent.record.Draining {
			return record.Draining
		}
	}
	return difference >= 0
}

// withoutAge returns the record itself or a copy with no age.
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

// sameContent reports whether two records of a host tell the others the same. The sequence and the age change
// all the time and are of no interest to them.
func sameContent(first, second *pb.AgentRecord) bool {
	return first.Incarnation == second.Incarnation &&
		first.Ready == second.Ready &&
		first.Draining == second.Draining &&
		first.Zone == second.Zone &&
		first.Region == second.Region &&
		first.AgentAddress == second.AgentAddress &&
		first.EdgeAddress == second.EdgeAddress
}

// Report returns, with their ages, the live agents that this machine heard from itself, for the other control
// machines: each when it changed, else about once a second.
func (a *Agents) Report(now time.Duration) []*pb.AgentRecord {
	var report []*pb.AgentRecord
	for _, agent := range a.known {
		age := now - agent.receivedAt
		if !agent.direct || age >= FailureTimeout {
			continue
		}
		known := agent.reported != nil && sameContent(agent.reported, agent.record)
		if known && now-agent.reportedAt < peerReportInterval {
			continue
		}
		agent.reported = agent.record
		agent.reportedAt = now
		report = append(report, aged(agent.record, age))
	}
	return report
}

// Refresh forgets agents that were lost long ago and returns the members as of now. Their version is higher
// than before if anything changed that matters to agents.
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

// sameMembers reports whether two sorted lists of members say the same to agents: they need to know who may be
// sending, and where, but not who is ready. A lost machine may go on sending.
func sameMembers(first, second []Member) bool {
	return slices.EqualFunc(first, second, func(one, other Member) bool {
		return one.record.Host == other.record.Host &&
			one.record.Zone == other.record.Zone &&
			one.record.Region == other.record.Region &&
			one.record.AgentAddress == other.record.AgentAddress
	})
}
