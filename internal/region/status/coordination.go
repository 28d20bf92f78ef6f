package status

import (
	"fmt"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// checkRegisters checks that a majority of the voters holds the registers of the epoch in force. A voter that started less
// than startupDuration ago gets no finding of its own, since it may still be collecting them.
func (f *findings) checkRegisters(reports []*pb.ControlStatusReport) {
	view := newestView(reports)
	epoch := view.GetVotersEpoch()
	if view != nil && epoch == 0 {
		f.add(Warning, "view %d is of an earlier version: calls of applications get 503 until the next view", view.GetNumber())
	}
	lacking := 0
	for _, voter := range view.GetVoters() {
		report := reportOf(reports, voter)
		held := report.GetCoordination().GetEpoch()
		if report.GetCoordination() == nil || report.GetSelf().GetIdentity() == voter.GetIdentity() && held >= epoch {
			continue
		}
		lacking++
		hasLostDisk := report.GetSelf().GetIdentity() != voter.GetIdentity() // checkLostDisks reports a lost disk
		if !hasLostDisk && report.GetUptimeMs() >= milliseconds(startupDuration) {
			f.add(Warning, "%s holds the registers of epoch %d, epoch %d is in force: it does not vote on calls of applications",
				voter.GetHost(), held, epoch)
		}
	}
	if voters := len(view.GetVoters()); lacking > 0 && 2*(voters-lacking) <= voters {
		f.add(Alarm, "at most %d of %d voters hold the registers of epoch %d: without more than half no call of an application is executed",
			voters-lacking, voters, epoch)
	}
}

// reportOf returns the report of the machine on a replica's host, or nil if there is none.
func reportOf(reports []*pb.ControlStatusReport, replica *pb.Replica) *pb.ControlStatusReport {
	for _, report := range reports {
		if report.GetSelf().GetHost() == replica.GetHost() {
			return report
		}
	}
	return nil
}

// writeCoordination writes the table of the registers and the calls of applications at each control machine.
func (s *Survey) writeCoordination(text *strings.Builder) {
	view := newestView(s.reports())
	if view == nil {
		return
	}
	fmt.Fprintf(text, "\ncalls of applications, registers of epoch %d\n", view.GetVotersEpoch())
	rows := newTable(text)
	rows.row("CONTROL\tEPOCH\tREGISTERS\tPROPOSES\tPENDING\tWATCHES\tEXECUTED\tREFUSED\tNOT EXECUTED\tUNKNOWN")
	for _, machine := range s.Machines {
		status := machine.Report.GetCoordination()
		if status == nil {
			continue
		}
		calls := status.GetCalls()
		rows.row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d",
			machine.Host, status.GetEpoch(), status.GetRegisters(), status.GetProposing(), status.GetPending(), status.GetWatches(),
			calls.GetExecuted(), calls.GetRefused(), calls.GetNotExecuted(), calls.GetUnknown())
	}
	rows.flush()
}
