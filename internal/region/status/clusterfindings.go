package status

import (
	"slices"

	pb "fieldrelay/api/fieldrelay/v1"
)

// checkViews checks that the machines know the newest view, and checks its voters and its chain.
func (f *findings) checkViews(survey *Survey, reports []*pb.ControlStatusReport) {
	view := newestView(reports)
	if view == nil {
		f.add(Alarm, "no machine knows a view: the system was not founded, or these machines have not joined it")
		return
	}
	reportsByHost := make(map[string]*pb.ControlStatusReport)
	for _, report := range reports {
		reportsByHost[report.GetSelf().GetHost()] = report
	}
	f.checkUnreachable(survey, view)
	f.checkLostDisks(view, reportsByHost)
	f.checkStaleViews(view, reports)
	if survey.isComplete() {
		f.checkAuthority(reports)
	}
	if len(view.GetChain()) == 1 && len(view.GetVoters()) > 1 {
		f.add(Warning, "the chain is %s alone", view.GetChain()[0].GetHost())
	}
	f.checkChainLag(view, reportsByHost)
}

// checkUnreachable reports the machines that did not answer, and that too few answered for a majority if so.
func (f *findings) checkUnreachable(survey *Survey, view *pb.View) {
	unreachable := 0
	for _, machine := range survey.Machines {
		if machine.Err != nil {
			unreachable++
			f.add(Warning, "%s: %v", machine.Host, machine.Err)
		}
	}
	if voters := len(view.GetVoters()); 2*(voters-unreachable) <= voters {
		f.add(Alarm, "only %d of %d voters answer: without more than half no order is acknowledged and no call of an application executed",
			voters-unreachable, voters)
	}
}

// checkLostDisks reports voters that lost their disk: the machine on a voter's host then has another identity.
func (f *findings) checkLostDisks(view *pb.View, reportsByHost map[string]*pb.ControlStatusReport) {
	for _, voter := range view.GetVoters() {
		report := reportsByHost[voter.GetHost()]
		if report != nil && report.GetSelf().GetIdentity() != voter.GetIdentity() {
			f.add(Warning, "%s lost its disk and waits to be taken in as %s", voter.GetHost(), report.GetSelf().GetIdentity())
		}
	}
}

// checkStaleViews reports machines that do not know the newest view.
func (f *findings) checkStaleViews(view *pb.View, reports []*pb.ControlStatusReport) {
	for _, report := range reports {
		if known := report.GetView().GetNumber(); known < view.GetNumber() {
			f.add(Warning, "%s holds view %d, view %d is in force", report.GetSelf().GetHost(), known, view.GetNumber())
		}
	}
}

// checkAuthority reports if no machine is authoritative.
func (f *findings) checkAuthority(reports []*pb.ControlStatusReport) {
	if !slices.ContainsFunc(reports, (*pb.ControlStatusReport).GetAuthoritative) {
		f.add(Alarm, "no machine holds the agreed state and hears a majority: orders get 503, proxies serve on what they have")
	}
}

// checkChainLag reports replicas of the chain whose committed state lags. A lag of one change is ignored: a change that
// was acknowledged a moment ago may not have reached every replica.
func (f *findings) checkChainLag(view *pb.View, reportsByHost map[string]*pb.ControlStatusReport) {
	var newest uint64
	for _, report := range reportsByHost {
		newest = max(newest, report.GetCatalog().GetSequence())
	}
	for _, replica := range view.GetChain() {
		report := reportsByHost[replica.GetHost()]
		if report == nil || report.GetUptimeMs() < milliseconds(startupDuration) {
			continue
		}
		if committed := report.GetCatalog().GetSequence(); committed+1 < newest {
			f.add(Warning, "%s is in the chain and knows sequence %d committed, others %d", replica.GetHost(), committed, newest)
		}
	}
}
