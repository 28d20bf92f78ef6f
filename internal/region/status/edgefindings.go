package status

import (
	"math"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// checkPollingRole checks that exactly one machine holds the polling role of the platform's server list, and checks the
// age of the list. That no machine holds the role is a finding only if complete, that is, if all voters were queried.
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

// checkListAge checks the age of the freshest server list.
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

// checkAgents checks the agents of the edge machines in the report of one control machine.
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

// checkAgentLag checks how far agents and their proxies lag behind the committed state of the control machines.
func (f *findings) checkAgentLag(reports []*pb.ControlStatusReport) {
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
