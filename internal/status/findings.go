package status

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// staleListAge is the age from which the news of servers counts as old: several readings were missed.
	staleListAge = 5 * time.Second

	// startupDuration is the time after its start in which a machine may still be learning.
	startupDuration = 10 * time.Second
)

// Severity tells how bad a finding is.
type Severity int

const (
	// Notice: worth knowing; the system does its work.
	Notice Severity = iota
	// Warning: less may fail than should be borne, or something is behind.
	Warning
	// Alarm: orders are refused, or traffic suffers.
	Alarm
)

// String is the severity in capitals for the worse ones.
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

// Finding is one thing that is not as it should be.
type Finding struct {
	Severity Severity
	Text     string
}

// Findings judges a survey, the worst first. It is empty if nothing is wrong.
func (s *Survey) Findings() []Finding {
	var found findings
	reports := s.reports()
	found.checkViews(s, reports)
	found.checkPollingRole(reports, s.isComplete())
	found.lag(reports)
	if chosen := mostReliableMembers(reports); chosen.GetMembersSettled() {
		found.checkAgents(chosen)
	}
	slices.SortStableFunc(found.list, func(one, other Finding) int { return int(other.Severity) - int(one.Severity) })
	return found.list
}

// isComplete reports whether all voters of the newest view were asked, so that what none of them says is not the
// case.
func (s *Survey) isComplete() bool {
	return len(s.Machines) >= len(newestView(s.reports()).GetVoters())
}

// reports are those of the machines that answered.
func (s *Survey) reports() []*pb.ControlStatusReport {
	var reports []*pb.ControlStatusReport
	for _, machine := range s.Machines {
		if machine.Report != nil {
			reports = append(reports, machine.Report)
		}
	}
	return reports
}

// newestView is the latest view that any machine holds, nil if none does.
func newestView(reports []*pb.ControlStatusReport) *pb.View {
	var newest *pb.View
	for _, report := range reports {
		if report.GetView().GetNumber() > newest.GetNumber() {
			newest = report.GetView()
		}
	}
	return newest
}

// mostReliableMembers is the report whose agents can best be relied on: of a machine that has been up for long enough and
// is in touch with the others, if there is one. It is nil if there are no reports.
func mostReliableMembers(reports []*pb.ControlStatusReport) *pb.ControlStatusReport {
	var chosen *pb.ControlStatusReport
	for _, report := range reports {
		if chosen == nil || membersReliability(report) > membersReliability(chosen) {
			chosen = report
		}
	}
	return chosen
}

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

// findings collects.
type findings struct {
	list []Finding
}

func (f *findings) add(severity Severity, format string, values ...any) {
	f.list = append(f.list, Finding{Severity: severity, Text: fmt.Sprintf(format, values...)})
}

// agreement is about views, voters and the chain.
func (f *findings) checkViews(survey *Survey, reports []*pb.ControlStatusReport) {
	view := newestView(reports)
	if view == nil {
		f.add(Alarm, "no machine knows a view: the system was not founded, or these machines have not joined it")
		return
	}
	answered := make(map[string]*pb.ControlStatusReport)
	for _, report := range reports {
		answered[report.GetSelf().GetHost()] = report
	}
	f.checkUnreachable(survey, view)
	f.checkLostDisks(view, answered)
	f.checkStaleViews(view, reports)
	if survey.isComplete() {
		f.checkAuthority(reports)
	}
	if len(view.GetChain()) == 1 && len(view.GetVoters()) > 1 {
		f.add(Warning, "the chain is %s alone", view.GetChain()[0].GetHost())
	}
	f.checkChainLag(view, answered)
}

func (f *findings) checkUnreachable(survey *Survey, view *pb.View) {
	silent := 0
	for _, machine := range survey.Machines {
		if machine.Err != nil {
			silent++
			f.add(Warning, "%s: %v", machine.Host, machine.Err)
		}
	}
	if voters := len(view.GetVoters()); 2*(voters-silent) <= voters {
		f.add(Alarm, "only %d of %d voters answer: without more than half no order is acknowledged", voters-silent, voters)
	}
}

// identities finds voters whose disk was lost: the machine at the address is another replica now.
func (f *findings) checkLostDisks(view *pb.View, answered map[string]*pb.ControlStatusReport) {
	for _, voter := range view.GetVoters() {
		report := answered[voter.GetHost()]
		if report != nil && report.GetSelf().GetIdentity() != voter.GetIdentity() {
			f.add(Warning, "%s lost its disk and waits to be taken in as %s", voter.GetHost(), report.GetSelf().GetIdentity())
		}
	}
}

func (f *findings) checkStaleViews(view *pb.View, reports []*pb.ControlStatusReport) {
	for _, report := range reports {
		if known := report.GetView().GetNumber(); known < view.GetNumber() {
			f.add(Warning, "%s holds view %d, view %d is in force", report.GetSelf().GetHost(), known, view.GetNumber())
		}
	}
}

func (f *findings) checkAuthority(reports []*pb.ControlStatusReport) {
	if !slices.ContainsFunc(reports, (*pb.ControlStatusReport).GetAuthoritative) {
		f.add(Alarm, "no machine holds the agreed state and hears a majority: orders get 503, proxies serve on what they have")
	}
}

// sequences finds members of the chain whose committed state is behind. A change that was acknowledged a moment
// ago may be on its way, so that one behind is not worth a word.
func (f *findings) checkChainLag(view *pb.View, answered map[string]*pb.ControlStatusReport) {
	var newest uint64
	for _, report := range answered {
		newest = max(newest, report.GetCatalog().GetSequence())
	}
	for _, replica := range view.GetChain() {
		report := answered[replica.GetHost()]
		if report == nil || report.GetUptimeMs() < milliseconds(startupDuration) {
			continue
		}
		if committed := report.GetCatalog().GetSequence(); committed+1 < newest {
			f.add(Warning, "%s is in the chain and knows sequence %d committed, others %d", replica.GetHost(), committed, newest)
		}
	}
}

// duty is about the reading of the platform's list. complete tells that all voters were asked.
func (f *findings) checkPollingRole(reports []*pb.ControlStatusReport, complete bool) {
	var owners []string
	for _, report := range reports {
		if report.GetDuty().GetHolder() {
			owners = append(owners, report.GetSelf().GetHost())
		}
	}
	switch {
	case len(owners) == 0 && complete:
		f.add(Warning, "no machine that answers has the duty of reading the platform's list")
	case len(owners) > 1:
		f.add(Notice, "%s both take themselves for the holder of the list's duty; the higher epoch counts", strings.Join(owners, " and "))
	}
	f.checkListAge(reports)
}

func (f *findings) checkListAge(reports []*pb.ControlStatusReport) {
	known := false
	freshest := time.Duration(math.MaxInt64)
	for _, report := range reports {
		duty := report.GetDuty()
		if duty.GetList() != nil {
			known = true
			freshest = min(freshest, time.Duration(duty.GetListAgeMs())*time.Millisecond)
		}
	}
	switch {
	case !known:
		f.add(Alarm, "no machine that answers has a list of servers")
	case freshest >= staleListAge:
		f.add(Alarm, "the newest list of servers is %s old: the platform does not answer, or nobody reads it", freshest)
	}
}

// agents is about the edge machines, as one control machine knows them.
func (f *findings) checkAgents(report *pb.ControlStatusReport) {
	newest := report.GetCatalog().GetSequence()
	var lost, unready, behind []string
	for _, agent := range report.GetAgents() {
		record := agent.GetRecord()
		switch {
		case agent.GetLost():
			lost = append(lost, record.GetHost())
		case record.GetDraining():
		case !record.GetReady():
			unready = append(unready, record.GetHost())
		case record.GetSequence()+1 < newest:
			behind = append(behind, record.GetHost())
		}
	}
	f.addHosts(Warning, lost, "lost: %s")
	f.addHosts(Warning, unready, "live but not ready for clients: %s")
	f.addHosts(Warning, behind, "more than one change behind: %s")
	if len(report.GetAgents()) == len(lost) {
		f.add(Alarm, "no edge machine is live")
	}
}

// lateness is about changes that machines know to be committed and that proxies lack.
func (f *findings) lag(reports []*pb.ControlStatusReport) {
	for _, report := range reports {
		host, lag := report.GetSelf().GetHost(), report.GetLateness()
		if lag.GetAgentsBehind() > 0 {
			f.add(Warning, "%s: %d agents it hears have lacked a change for more than a second, %s for %s",
				host, lag.GetAgentsBehind(), lag.GetOldestHost(), duration(lag.GetOldestLagMs()))
		}
		if lag.GetLateProxies() > 0 {
			f.add(Notice, "%s: since its start, proxies in contact were late by more than the bound %d times",
				host, lag.GetLateProxies())
		}
	}
}

// hosts adds a finding about several machines, if there are any.
func (f *findings) addHosts(severity Severity, hosts []string, format string) {
	if len(hosts) > 0 {
		f.add(severity, format, strings.Join(hosts, ", "))
	}
}

func milliseconds(duration time.Duration) uint64 { return uint64(duration.Milliseconds()) }
