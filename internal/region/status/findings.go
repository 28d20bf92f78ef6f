package status

import (
	"fmt"
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// staleListAge is the age from which the newest server list counts as stale: several polls must have failed by then.
	staleListAge = 5 * time.Second

	// startupDuration is the time after its start during which a machine may lag without a finding.
	startupDuration = 10 * time.Second
)

// Severity is the severity of a finding; a higher value is worse.
type Severity int

const (
	// Notice reports something unusual that does not impair the system.
	Notice Severity = iota
	// Warning reports that the system tolerates fewer failures than it should, or that a part of it lags.
	Warning
	// Alarm reports that orders are rejected or that traffic is impaired.
	Alarm
)

// String returns the severity as it is printed: Warning and Alarm in capitals, Notice in lower case.
func (s Severity) String() string {
	switch s {
	case Alarm:
		return "ALARM"
	case Warning:
		return "WARNING"
	default:
		return "notice"
	}
}

// Finding is one problem, or one unusual state, of the system. Its text is for people.
type Finding struct {
	Severity Severity
	Text     string
}

// Findings evaluates a survey and returns the findings, the worst first. It returns none for a healthy system.
func (s *Survey) Findings() []Finding {
	var found findings
	reports := s.reports()
	found.checkViews(s, reports)
	found.checkRegisters(reports)
	found.checkPollingRole(reports, s.isComplete())
	found.checkAgentLag(reports)
	if chosen := mostReliableMembers(reports); chosen.GetMembersSettled() {
		found.checkAgents(chosen)
	}
	slices.SortStableFunc(found.list, func(one, other Finding) int { return int(other.Severity) - int(one.Severity) })
	return found.list
}

// isComplete reports whether all voters of the newest view were queried. Only then does the absence of a state from all
// reports mean that no voter is in that state.
func (s *Survey) isComplete() bool {
	return len(s.Machines) >= len(newestView(s.reports()).GetVoters())
}

// reports returns the reports of the machines that answered.
func (s *Survey) reports() []*pb.ControlStatusReport {
	var reports []*pb.ControlStatusReport
	for _, machine := range s.Machines {
		if machine.Report != nil {
			reports = append(reports, machine.Report)
		}
	}
	return reports
}

// newestView returns the newest view that any machine knows, nil if none knows one.
func newestView(reports []*pb.ControlStatusReport) *pb.View {
	var newest *pb.View
	for _, report := range reports {
		if report.GetView().GetNumber() > newest.GetNumber() {
			newest = report.GetView()
		}
	}
	return newest
}

// mostReliableMembers returns the report whose list of agents is the most reliable: that of a machine whose soft state has
// converged and that is authoritative, if there is one. It returns nil without reports.
func mostReliableMembers(reports []*pb.ControlStatusReport) *pb.ControlStatusReport {
	var chosen *pb.ControlStatusReport
	for _, report := range reports {
		if chosen == nil || membersReliability(report) > membersReliability(chosen) {
			chosen = report
		}
	}
	return chosen
}

// membersReliability rates the reliability of a report's list of agents, higher being better. Convergence of the soft
// state counts more than authority.
func membersReliability(report *pb.ControlStatusReport) int {
	points := 0
	if report.GetMembersSettled() {
		points += 2
	}
	if report.GetAuthoritative() {
		points++
	}
	return points
}

// findings accumulates the findings of a survey.
type findings struct {
	list []Finding
}

// add adds a finding, with its text formatted as by fmt.Sprintf.
func (f *findings) add(severity Severity, format string, values ...any) {
	f.list = append(f.list, Finding{Severity: severity, Text: fmt.Sprintf(format, values...)})
}

// addHosts adds a finding that names hosts, if there are any. The format has one verb, for their names.
func (f *findings) addHosts(severity Severity, hosts []string, format string) {
	if len(hosts) > 0 {
		f.add(severity, format, strings.Join(hosts, ", "))
	}
}

// milliseconds converts a duration to the milliseconds in which reports state times.
func milliseconds(duration time.Duration) uint64 { return uint64(duration.Milliseconds()) }
